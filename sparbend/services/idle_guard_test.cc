// Operations that take too long end; those in time, and those not guarded, go
// on. Spans are wide apart, so that a slow machine changes no row.
#include "sparbend/services/idle_guard.h"

#include <CppUTest/TestHarness.h>

#include "sparbend/kernel/kernel.h"

namespace sparbend {
namespace {

struct Row {
  const char* what;
  Millis first;                // of Begin; zero: not called
  std::optional<Millis> then;  // called again after 50 ms; zero: End
  Millis byte_after;           // the peer's byte
  bool cut;
};

auto Play(const Row& row) -> bool {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket near(io);
  near.connect(acceptor.local_endpoint());
  tcp::socket far = acceptor.accept();
  bool cut = false;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        IdleGuard guard(&near);
        if (row.first > Millis(0))
          guard.Begin(row.first);
        if (row.then) {
          co_await Sleep(Millis(50));
          if (*row.then > Millis(0))
            guard.Begin(*row.then);
          else
            guard.End();
        }
        char byte = 0;
        const auto [error, size] =
            co_await near.async_read_some(asio::buffer(&byte, 1), kAwait);
        cut = error == asio::error::operation_aborted;
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
  return cut;
}

TEST_GROUP(IdleGuard){};

TEST(IdleGuard, EndsWhatTakesTooLongAndNothingElse) {
  const std::vector<Row> rows = {
      {"in time", Millis(5'000), std::nullopt, Millis(10), false},
      {"too long", Millis(100), std::nullopt, Millis(1'500), true},
      {"renewed, in time", Millis(200), Millis(5'000), Millis(600), false},
      {"renewed, too long", Millis(200), Millis(300), Millis(2'000), true},
      {"ended before", Millis(200), Millis(0), Millis(600), false},
      {"not guarded", Millis(0), std::nullopt, Millis(300), false},
      {"begun after a rest", Millis(0), Millis(100), Millis(1'500), true},
  };
  for (const Row& row : rows)
    CHECK_EQUAL_TEXT(row.cut, Play(row), row.what);
}

}  // namespace
}  // namespace sparbend
