// Idle connections must be bounded over all targets, and closed in time even if
// their target is never used again: each takes a file descriptor.
#include "sparbend/services/connections.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr Millis kMaxIdleTime(4'000);

TEST_GROUP(Connections) {
  asio::io_context io;
  Connections connections{kMaxIdleTime};

  void Keep(TargetId target, Millis now) {
    connections.Keep(target, std::make_shared<Connection>(io.get_executor()),
                     now);
  }
};

TEST(Connections, IdleConnectionsAreBoundedOverAllTargets) {
  for (TargetId target = 0; target < 200; ++target) {
    for (int i = 0; i < 10; ++i)
      Keep(target, Millis(5'000));
  }
  LONGS_EQUAL(512, connections.idle());
}

TEST(Connections, ExpiredConnectionsAreClosedWhicheverTargetIsUsed) {
  for (TargetId target = 0; target < 100; ++target)
    Keep(target, Millis(5'000));
  LONGS_EQUAL(100, connections.idle());
  Keep(1'000, Millis(9'500));
  LONGS_EQUAL(1, connections.idle());
}

}  // namespace
}  // namespace sparbend
