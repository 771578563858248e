// Runs the tests of one program; Qt's event loop object exists for those that need it.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <QCoreApplication>

int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  doctest::Context context;
  context.applyCommandLine(argc, argv);
  return context.run();
}
