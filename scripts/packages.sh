# Debian's packages of the build, for the scripts that source this file.
build_tools=(g++ cmake ninja-build ccache clang-format clang-tidy python3)
libraries=(qt6-base-dev libjsonrpccpp-dev libjsoncpp-dev libgflags-dev libfmt-dev libboost-dev
  librapidcheck-dev libxxhash-dev)
# Packages of headers alone, which are the same for every kind of machine.
header_libraries=(libtoml11-dev doctest-dev)
