#include "state/storage/data_folder.h"

#include <dirent.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace kumquat {
namespace {

constexpr mode_t kFolderMode = 0700;
constexpr mode_t kFileMode = 0600;
constexpr std::size_t kReadBytes = 1 << 20;

// Closes a descriptor at the end of the scope.
struct Descriptor {
  explicit Descriptor(int opened) : value(opened) {}
  ~Descriptor() {
    if (value >= 0) ::close(value);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int value;
};

}  // namespace

FileCalls SystemFileCalls() {
  return {[](int descriptor, const void* data, std::size_t size) {
            return ::write(descriptor, data, size);
          },
          [](int descriptor) { return ::fdatasync(descriptor); }};
}

namespace Internal {

DataFolder::DataFolder(std::string path, FileCalls calls)
    : path_(std::move(path)), calls_(std::move(calls)) {}

DataFolder::~DataFolder() {
  if (appended_ >= 0) ::close(appended_);
  if (lock_ >= 0) ::close(lock_);
}

bool DataFolder::Open() {
  if (::mkdir(path_.c_str(), kFolderMode) != 0 && errno != EEXIST) return Fail("create", "");
  lock_ = ::open(PathOf("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock_ < 0) return Fail("open", "lock");
  if (::flock(lock_, LOCK_EX | LOCK_NB) == 0) return SyncFolder();
  last_reason_ = fmt::format("Another process uses the data folder {}.", path_);
  return false;
}

std::vector<std::string> DataFolder::Names(std::string_view prefix) const {
  std::vector<std::string> names;
  DIR* folder = ::opendir(path_.c_str());
  if (!folder) return names;
  while (const dirent* entry = ::readdir(folder)) {
    const std::string name = entry->d_name;
    if (name.starts_with(prefix)) names.push_back(name);
  }
  ::closedir(folder);
  std::sort(names.begin(), names.end());
  return names;
}

std::optional<std::string> DataFolder::Read(const std::string& name) {
  last_reason_.clear();
  const Descriptor file(::open(PathOf(name).c_str(), O_RDONLY | O_CLOEXEC));
  if (file.value < 0) {
    if (errno != ENOENT) Fail("open", name);
    return std::nullopt;
  }
  std::string bytes;
  while (true) {
    const std::size_t length = bytes.size();
    bytes.resize(length + kReadBytes);
    const ssize_t count = ::read(file.value, bytes.data() + length, kReadBytes);
    bytes.resize(length + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    if (count == 0) return bytes;
    if (count > 0 || errno == EINTR) continue;
    Fail("read", name);
    return std::nullopt;
  }
}

bool DataFolder::Replace(const std::string& name, std::string_view bytes) {
  const std::string new_name = "new-" + name;
  const Descriptor file(
      ::open(PathOf(new_name).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
  if (file.value < 0) return Fail("create", new_name);
  if (!WriteAll(file.value, bytes)) return Fail("write", new_name);
  if (calls_.sync(file.value) != 0) return Fail("sync", new_name);
  if (::rename(PathOf(new_name).c_str(), PathOf(name).c_str()) != 0) return Fail("rename", name);
  return SyncFolder();
}

bool DataFolder::OpenForAppend(const std::string& name) {
  if (appended_ >= 0) ::close(appended_);
  appended_name_ = name;
  appended_ = ::open(PathOf(name).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  return appended_ >= 0 || Fail("open", name);
}

bool DataFolder::Append(std::string_view bytes) {
  return WriteAll(appended_, bytes) || Fail("write", appended_name_);
}

bool DataFolder::Sync() { return calls_.sync(appended_) == 0 || Fail("sync", appended_name_); }

bool DataFolder::Cut(const std::string& name, std::size_t length) {
  const Descriptor file(::open(PathOf(name).c_str(), O_WRONLY | O_CLOEXEC));
  if (file.value < 0) return Fail("open", name);
  if (::ftruncate(file.value, static_cast<off_t>(length)) != 0) return Fail("cut", name);
  return calls_.sync(file.value) == 0 || Fail("sync", name);
}

bool DataFolder::Remove(const std::string& name) {
  return ::unlink(PathOf(name).c_str()) == 0 || Fail("remove", name);
}

std::string DataFolder::PathOf(std::string_view name) const {
  return fmt::format("{}/{}", path_, name);
}

bool DataFolder::Fail(std::string_view what, std::string_view name) {
  last_reason_ = fmt::format("Can't {} {}: {}.", what, PathOf(name), std::strerror(errno));
  return false;
}

bool DataFolder::WriteAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = calls_.write(descriptor, bytes.data(), bytes.size());
    if (count > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(count));
    } else if (count == 0 || errno != EINTR) {
      return false;
    }
  }
  return true;
}

bool DataFolder::SyncFolder() {
  const Descriptor folder(::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder.value < 0) return Fail("open", "");
  return ::fsync(folder.value) == 0 || Fail("sync", "");
}

}  // namespace Internal
}  // namespace kumquat
