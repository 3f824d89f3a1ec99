// What the readers of the log's answers make of one that ends early. Guards
// against an append that is reported as refused although it took effect.
#include <vector>

#include <CppUTest/TestHarness.h>

#include "platform/store.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/platform/log_client.h"

namespace sparbend::testing {
namespace {

// Answers one call with `bytes` and closes the connection.
class OneAnswer {
 public:
  OneAnswer(asio::io_context* io, std::string bytes)
      : acceptor_(*io, {asio::ip::address_v4::loopback(), 0}) {
    asio::co_spawn(*io, Serve(std::move(bytes)), asio::detached);
  }
  auto address() const -> tcp::endpoint { return acceptor_.local_endpoint(); }

 private:
  auto Serve(std::string bytes) -> asio::awaitable<void> {
    auto [error, socket] = co_await acceptor_.async_accept(kAwait);
    beast::flat_buffer buffer;
    StringRequest request;
    const auto [unread, size] =
        co_await http::async_read(socket, buffer, request, kAwait);
    if (!error && !unread)
      co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
  }

  tcp::acceptor acceptor_;
};

TEST_GROUP(AppendAnswerCutShort){};

TEST(AppendAnswerCutShort, LeavesTheOutcomeUnknown) {
  struct Case {
    const char* what;
    std::string answer;
    std::error_code error;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n\r\n";
  const Case cases[] = {
      {"complete", ok + R"({"first":7,"offset":7})", {}},
      {"no body", ok, Errc::kOutcomeUnknown},
      {"cut in the body", ok + R"({"fir)", Errc::kOutcomeUnknown},
      {"without the offset", ok + "{}", Errc::kOutcomeUnknown},
      {"shorter than its length",
       "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"first\":7",
       Errc::kOutcomeUnknown},
      {"refused, without a body", "HTTP/1.1 503 Busy\r\n\r\n", Errc::kRefused},
  };
  for (const Case& row : cases) {
    asio::io_context io;
    OneAnswer own(&io, row.answer);
    OneAnswer users(&io, row.answer);
    LogClient log(own.address(), "test");
    platform::Store store(users.address(), "test", [](bool, int64_t) {});
    const std::vector<std::string> records = {"record"};
    std::vector<Result<int64_t>> offsets;
    const auto append = [&]() -> asio::awaitable<void> {
      offsets.push_back(co_await log.Append("stream", records));
      offsets.push_back(co_await store.Write("topic", "key", "value"));
    };
    asio::co_spawn(io, append(), asio::detached);
    io.run();
    LONGS_EQUAL_TEXT(2, offsets.size(), row.what);
    for (const Result<int64_t>& offset : offsets) {
      const std::error_code error =
          offset ? std::error_code() : offset.error().code;
      CHECK_TEXT(error == row.error, row.what);
      if (offset)
        LONGS_EQUAL_TEXT(7, *offset, row.what);
    }
  }
}

}  // namespace
}  // namespace sparbend::testing
