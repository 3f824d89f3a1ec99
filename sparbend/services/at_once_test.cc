// A box that can't serve all who connect refused each after it had read and
// parsed the whole request, so that refusing put it further behind. An answer
// from what has arrived must be the same for the caller: whole, whatever its
// request's body, and never sent before the request is there.
#include "sparbend/services/at_once.h"

#include <functional>
#include <string>

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

// A connection over loopback: the caller's end and the box's.
struct Pair {
  Pair()
      : acceptor(io, {asio::ip::address_v4::loopback(), 0}),
        caller(io),
        box(io) {
    caller.connect(acceptor.local_endpoint());
    acceptor.accept(box);
  }

  // Sends `bytes` and waits until all of them lie at the box.
  void Send(const std::string& bytes) {
    asio::write(caller, asio::buffer(bytes));
    while (box.available() < bytes.size())
      box.wait(tcp::socket::wait_read);
  }

  asio::io_context io;
  tcp::acceptor acceptor;
  tcp::socket caller;
  tcp::socket box;
};

auto Request(const std::string& fields, const std::string& body)
    -> std::string {
  return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

auto WithBody(size_t size) -> std::string {
  return Request("Content-Length: " + std::to_string(size) + "\r\n",
                 std::string(size, 'b'));
}

TEST_GROUP(AtOnce){};

TEST(AtOnce, TellsWhatHasArrived) {
  using Kind = Arrived::Kind;
  struct Case {
    const char* what;
    std::string sent;
    bool closes;
    Kind kind;
  };
  const Case cases[] = {
      {"nothing yet", "", false, Kind::kNothing},
      {"closed before a word", "", true, Kind::kLeft},
      {"a request without a body", Request("", ""), false, Kind::kWhole},
      {"one with its body", WithBody(17'000), false, Kind::kWhole},
      {"half of a head", "POST /a HT", false, Kind::kPart},
      {"a head without its body", Request("Content-Length: 4\r\n", ""), false,
       Kind::kPart},
      {"half of a body", Request("Content-Length: 4\r\n", "bo"), false,
       Kind::kPart},
      {"chunked", Request("Transfer-Encoding: chunked\r\n", "0\r\n\r\n"), false,
       Kind::kPart},
      {"a body on demand",
       Request("Expect: 100-continue\r\nContent-Length: 0\r\n", ""), false,
       Kind::kPart},
      {"two requests", Request("", "") + Request("", ""), false, Kind::kPart},
      {"no HTTP", "hello\r\n\r\n", false, Kind::kPart},
      {"a request whose sender closed its side", Request("", ""), true,
       Kind::kWhole},
  };
  for (const Case& row : cases) {
    Pair pair;
    pair.Send(row.sent);
    if (row.closes) {
      pair.caller.shutdown(tcp::socket::shutdown_send);
      pair.box.wait(tcp::socket::wait_read);
    }
    const Arrived arrived = ReadArrived(&pair.box);
    CHECK_TEXT(row.kind == arrived.kind, row.what);
    if (!row.closes || !row.sent.empty())
      CHECK_TEXT(row.sent == arrived.bytes, row.what);
    if (arrived.kind == Kind::kWhole)
      CHECK_TEXT(arrived.head[http::field::host] == "h", row.what);
  }
}

TEST(AtOnce, TheAnswerReachesTheCallerWholeAndEndsTheConnection) {
  for (const size_t body : {0UL, 17'000UL, 60'000UL}) {
    Pair pair;
    pair.Send(WithBody(body));
    CHECK(ReadArrived(&pair.box).kind == Arrived::Kind::kWhole);
    StringResponse response(http::status::service_unavailable, 11);
    response.body() = "come back";
    CHECK(AnswerAndClose(&pair.box, response));
    beast::flat_buffer buffer;
    StringResponse seen;
    http::read(pair.caller, buffer, seen);
    LONGS_EQUAL(503, seen.result_int());
    STRCMP_EQUAL("come back", seen.body().c_str());
    CHECK(!seen.keep_alive());
    char byte = 0;
    boost::system::error_code end;
    pair.caller.read_some(asio::buffer(&byte, 1), end);
    CHECK(end == asio::error::eof);  // closed, not reset
  }
}

TEST(AtOnce, ACallerThatIsGoneIsTold) {
  Pair pair;
  pair.Send(WithBody(10));
  CHECK(ReadArrived(&pair.box).kind == Arrived::Kind::kWhole);
  pair.caller.set_option(asio::socket_base::linger(true, 0));
  pair.caller.close();  // resets
  pair.box.wait(tcp::socket::wait_read);
  CHECK(!AnswerAndClose(&pair.box, StringResponse(http::status::ok, 11)));
}

}  // namespace
}  // namespace sparbend
