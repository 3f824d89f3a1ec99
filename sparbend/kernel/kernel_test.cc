// What counts as work without rest: the sign by which a box judges itself
// overloaded.
#include "sparbend/kernel/kernel.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

TEST_GROUP(Kernel) {
  Kernel kernel;
  asio::steady_timer timer{kernel.io()};

  // Handlers that are each ready as soon as the one before has run, `left` of
  // them; each takes 10 ms. The last one tells how long there was no rest.
  void RunInARow(int left, Millis* without_rest) {
    const Millis end = kernel.Now() + Millis(10);
    while (kernel.Now() < end) {
    }
    if (left > 1) {
      asio::post(kernel.io(), [=, this] { RunInARow(left - 1, without_rest); });
      return;
    }
    *without_rest = kernel.without_rest();
    kernel.Stop();
  }
};

TEST(Kernel, WaitingIsRest) {
  for (const int wait_ms : {1, 30, 250}) {
    Kernel idle;
    asio::steady_timer wait(idle.io());
    Millis without_rest(-1);
    wait.expires_after(std::chrono::milliseconds(wait_ms));
    wait.async_wait([&](boost::system::error_code) {
      without_rest = idle.without_rest();
      idle.Stop();
    });
    idle.Run();
    LONGS_EQUAL(0, without_rest.count());
  }
}

TEST(Kernel, HandlersInARowAreNot) {
  Millis without_rest(-1);
  timer.expires_after(std::chrono::milliseconds(20));
  // The handler that ends the wait is not counted, the five after it are.
  timer.async_wait(
      [&](boost::system::error_code) { RunInARow(6, &without_rest); });
  kernel.Run();
  CHECK(without_rest >= Millis(45));
}

}  // namespace
}  // namespace sparbend
