// Runs all tests: CppUTest's command line (`-g GROUP`, `-n NAME`, `-v`).
#include <CppUTest/CommandLineTestRunner.h>

#include <csignal>

auto main(int argc, char** argv) -> int {
  std::signal(SIGPIPE, SIG_IGN);
  // Coroutine frames and library singletons outlive a test on purpose.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
