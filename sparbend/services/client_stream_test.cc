// Guards against a target that has to keep an answer because its client reads
// slowly, and against an answer that is damaged when the box reads ahead.
#include "sparbend/services/client_stream.h"

#include <sys/socket.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr int kSocketBytes = 4'096;
constexpr size_t kPieceBytes = 1'000;

// Sends answers to a client that reads only when told. The buffers of the
// sockets are small, so that the client's slowness shows after a few pieces.
TEST_GROUP(ClientStream) {
  asio::io_context io;
  std::unique_ptr<tcp::socket> client;
  std::unique_ptr<beast::tcp_stream> box;
  std::shared_ptr<SendBudget> budget;
  std::unique_ptr<ClientStream> stream;
  int sent = 0;  // pieces that Send returned true for
  bool failed = false;
  bool ended = false;
  bool interrupt = false;  // the end of the answer is never sent

  void setup() override {
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    acceptor.set_option(asio::socket_base::receive_buffer_size(kSocketBytes));
    client = std::make_unique<tcp::socket>(io);
    client->open(tcp::v4());
    client->set_option(asio::socket_base::receive_buffer_size(kSocketBytes));
    client->connect(acceptor.local_endpoint());
    box = std::make_unique<beast::tcp_stream>(acceptor.accept());
    box->socket().set_option(asio::socket_base::send_buffer_size(kSocketBytes));
  }

  static auto Piece(int number) -> std::string {
    return std::string(kPieceBytes, static_cast<char>('a' + number % 26));
  }

  // Starts to send `pieces` pieces as an answer without a length.
  void Start(int pieces, size_t total, Millis send_time = Millis(30'000),
             unsigned version = 11) {
    budget = std::make_shared<SendBudget>(total);
    stream = std::make_unique<ClientStream>(
        box.get(), ClientHttp{version, /*keep_alive=*/true}, send_time, budget);
    asio::co_spawn(io, Run(pieces), asio::detached);
  }
  auto Run(int pieces) -> asio::awaitable<void> {
    ClientStream::Header header;
    header.result(200);
    co_await stream->Begin(header, std::nullopt);
    for (int i = 0; i < pieces && !failed; ++i) {
      failed = !co_await stream->Send(Piece(i), true);
      sent += failed ? 0 : 1;
    }
    if (interrupt)
      co_return;
    if (!failed)
      failed = !co_await stream->Send({}, false);
    ended = true;
  }

  void RunFor(int64_t ms) {
    io.restart();
    io.run_for(std::chrono::milliseconds(ms));
  }

  // Reads the answer in small pieces while the box goes on.
  auto ReadAll(int pieces) -> std::string {
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    beast::flat_buffer buffer;
    boost::system::error_code error;
    client->non_blocking(true);
    for (int i = 0; i < 100'000 && !parser.is_done(); ++i) {
      RunFor(1);
      const size_t size = client->read_some(buffer.prepare(700), error);
      buffer.commit(size);
      error = {};
      while (buffer.size() > 0 && !parser.is_done()) {
        const size_t used = parser.put(buffer.data(), error);
        buffer.consume(used);
        if (error || used == 0)
          break;
      }
    }
    CHECK(parser.is_done());
    LONGS_EQUAL(pieces * kPieceBytes, parser.get().body().size());
    return parser.get().body();
  }
};

TEST(ClientStream, ReadsAheadOfASlowClientWithoutDamage) {
  constexpr int kPieces = 50;
  Start(kPieces, 1'000'000);
  RunFor(100);
  LONGS_EQUAL(kPieces, sent);  // the client has read nothing yet
  CHECK(!ended);
  CHECK(budget->used() > 0);
  std::string expected;
  for (int i = 0; i < kPieces; ++i)
    expected += Piece(i);
  CHECK(ReadAll(kPieces) == expected);
  RunFor(20);
  CHECK(ended);
  CHECK(!failed);
  CHECK(stream->reusable());
  LONGS_EQUAL(0, budget->used());
}

TEST(ClientStream, WaitsForTheClientBeyondTheBudget) {
  constexpr int kPieces = 400;
  for (const size_t total : {size_t{0}, size_t{10'000}, size_t{10'000'000}}) {
    sent = 0;
    ended = false;
    setup();
    Start(kPieces, total);
    RunFor(50);
    CHECK(sent < 200);  // the bound of one client is 64 KiB
    CHECK(budget->used() <= std::min(total, size_t{65'536}));
    CHECK(stream->backlog().refused() > 0);
    std::string expected;
    for (int i = 0; i < kPieces; ++i)
      expected += Piece(i);
    CHECK(ReadAll(kPieces) == expected);
    RunFor(20);
    CHECK(ended);
    LONGS_EQUAL(0, budget->used());
  }
}

TEST(ClientStream, AClientThatReadsNothingIsGoneAfterTheSendTime) {
  Start(50, 1'000'000, Millis(200));
  RunFor(100);
  CHECK(!ended);
  RunFor(400);
  CHECK(ended);
  CHECK(failed);
  CHECK(stream->gone());
  LONGS_EQUAL(0, budget->used());
}

// Without chunks a client can tell an interrupted answer only by a reset.
TEST(ClientStream, AnInterruptedAnswerToHttp10IsReset) {
  struct Case {
    const char* what;
    bool complete;
    std::function<void()> close;
  };
  const Case cases[] = {
      {"ended", true,
       [this] {
         stream.reset();
         box->close();
       }},
      {"interrupted", false, [this] { stream.reset(); }},
      {"the process exits", false, [this] { box->close(); }},
  };
  for (const Case& row : cases) {
    setup();
    interrupt = !row.complete;
    Start(1, 0, Millis(30'000), 10);
    RunFor(20);
    CHECK_EQUAL_TEXT(row.complete, stream->complete(), row.what);
    CHECK_TEXT(!stream->reusable(), row.what);
    row.close();
    boost::system::error_code error;
    std::string received;
    asio::read(*client, asio::dynamic_buffer(received), error);
    CHECK_EQUAL_TEXT(row.complete, error == asio::error::eof, row.what);
  }
}

TEST(ClientStream, ABacklogThatIsDroppedReturnsItsBudget) {
  Start(50, 1'000'000);
  RunFor(50);
  CHECK(budget->used() > 0);
  box->socket().close();
  RunFor(50);
  CHECK(ended);
  CHECK(failed);
  LONGS_EQUAL(0, budget->used());
}

}  // namespace
}  // namespace sparbend
