// The guard must cancel operations that take too long, and no others: neither
// those that end in time nor those outside Begin and End. Spans differ widely,
// so that a slow machine changes no result.
#include "sparbend/services/idle_guard.h"

#include <CppUTest/TestHarness.h>

#include "sparbend/kernel/kernel.h"

namespace sparbend {
namespace {

struct Row {
  const char* what;
  Millis first_span;             // argument of Begin; zero: not called
  std::optional<Millis> second;  // of Begin after 50 ms; zero: End instead
  Millis byte_after;             // when the peer sends the byte
  bool cancelled;
};

auto IsReadCancelled(const Row& row) -> bool {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket near(io);
  near.connect(acceptor.local_endpoint());
  tcp::socket far = acceptor.accept();
  bool cancelled = false;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        IdleGuard guard(&near);
        if (row.first_span > Millis(0))
          guard.Begin(row.first_span);
        if (row.second) {
          co_await Sleep(Millis(50));
          if (*row.second > Millis(0))
            guard.Begin(*row.second);
          else
            guard.End();
        }
        char byte = 0;
        const auto [error, size] =
            co_await near.async_read_some(asio::buffer(&byte, 1), kAwait);
        cancelled = error == asio::error::operation_aborted;
      },
      asio::detached);
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        co_await Sleep(row.byte_after);
        co_await asio::async_write(far, asio::buffer("x", 1), kAwait);
      },
      asio::detached);
  io.run();
  return cancelled;
}

TEST_GROUP(IdleGuard){};

TEST(IdleGuard, CancelsOnlyOperationsThatTakeTooLong) {
  const std::vector<Row> rows = {
      {"in time", Millis(5'000), std::nullopt, Millis(10), false},
      {"too long", Millis(100), std::nullopt, Millis(1'500), true},
      {"renewed, in time", Millis(200), Millis(5'000), Millis(600), false},
      {"renewed, too long", Millis(200), Millis(300), Millis(2'000), true},
      {"ended by End", Millis(200), Millis(0), Millis(600), false},
      {"not guarded", Millis(0), std::nullopt, Millis(300), false},
      {"first Begin after 50 ms", Millis(0), Millis(100), Millis(1'500), true},
  };
  for (const Row& row : rows)
    CHECK_EQUAL_TEXT(row.cancelled, IsReadCancelled(row), row.what);
}

}  // namespace
}  // namespace sparbend
