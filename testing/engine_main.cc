// sparbend-engine: one engine as a process (engine_process.h). Prints its
// address as one JSON line and serves until it is ended.
#include <sys/socket.h>

#include <cerrno>
#include <csignal>
#include <iostream>

#include <tclap/CmdLine.h>

#include "platform/wire.h"
#include "sparbend/core/answer_end.h"
#include "sparbend/core/digest.h"
#include "sparbend/kernel/kernel.h"
#include "testing/engine_process.h"
#include "testing/platform_world.h"
#include "testing/soak/answers.h"

namespace sparbend::testing {
namespace {

// The number that the query of `path` states for `name`, or `otherwise`.
auto QueryNumber(std::string_view path, const std::string& name, int otherwise)
    -> int {
  const size_t at = path.find(name + "=");
  return at == std::string_view::npos
             ? otherwise
             : std::atoi(
                   std::string(path.substr(at + name.size() + 1)).c_str());
}

auto FramingOf(std::string_view path) -> Framing {
  if (path.find("framing=close") != std::string_view::npos)
    return Framing::kUntilClose;
  return path.find("framing=length") != std::string_view::npos
             ? Framing::kLength
             : Framing::kChunked;
}

// What a target of a soak answers, each piece of it in two writes.
auto SoakScript(const SoakAnswer& answer, const SeenRequest& seen)
    -> TargetScript {
  TargetScript script = answer.script;
  std::vector<std::string> pieces;
  for (const std::string& piece : script.pieces) {
    const size_t cut = StableHash(seen.id + std::to_string(pieces.size())) %
                       (piece.size() + 1);
    pieces.push_back(piece.substr(0, cut));
    pieces.push_back(piece.substr(cut));
  }
  script.pieces = pieces;
  script.pause = Millis(script.pause.count() / 2);
  return script;
}

// Of the clock that all processes of the machine share.
auto MonotonicMillis() -> int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Whether the other end is gone: nobody waits for an answer.
auto IsClosed(tcp::socket* socket) -> bool {
  char byte = 0;
  const ssize_t got =
      recv(socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN);
}

class Engine {
 public:
  // `soak`: its name as a target of a soak; empty: answers follow from queries.
  Engine(std::string version, std::string soak)
      : version_(std::move(version)), soak_(std::move(soak)) {}

  auto Listen(const std::string& address) -> std::error_code {
    const Result<tcp::endpoint> endpoint = ParseAddress(address);
    if (!endpoint)
      return std::make_error_code(std::errc::invalid_argument);
    std::error_code error;
    acceptor_ = OpenAcceptor(io_, *endpoint, &error);
    return error;
  }
  auto address() const -> std::string {
    return FormatAddress(acceptor_.local_endpoint());
  }
  void Run() {
    asio::co_spawn(io_, Accept(), asio::detached);
    if (!soak_.empty())
      asio::co_spawn(io_, FollowSignals(), asio::detached);
    io_.run();
  }

 private:
  auto Accept() -> asio::awaitable<void> {
    while (true) {
      auto [error, socket] = co_await acceptor_.async_accept(kAwait);
      if (error)
        co_return;
      asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
    }
  }

  auto Serve(tcp::socket socket) -> asio::awaitable<void> {
    beast::flat_buffer buffer;
    for (bool open = true; open;) {
      http::request<http::string_body> request;
      const auto [error, size] =
          co_await http::async_read(socket, buffer, request, kAwait);
      if (error)
        co_return;
      open = soak_.empty() ? co_await Answer(request, &socket)
                           : co_await AnswerInSoak(request, &socket);
    }
  }

  auto FollowSignals() -> asio::awaitable<void> {
    while (true) {
      const auto [error, signal] = co_await signals_.async_wait(kAwait);
      if (error)
        co_return;
      cuts_heads_ = signal == SIGUSR1;
    }
  }

  auto AnswerInSoak(const http::request<http::string_body>& request,
                    tcp::socket* socket) -> asio::awaitable<bool> {
    if (IsClosed(socket))
      co_return false;
    SeenRequest seen = ReadSeen(request);
    seen.target = soak_;
    SoakAnswer answer = DrawAnswer(seen, version_);
    if (cuts_heads_) {
      answer.ran = true;
      answer.script = AnswerCutInHead(seen);
    }
    std::cout << Json{{"request", seen.id},
                      {"at", MonotonicMillis()},
                      {"ran", answer.ran}}
                     .dump()
              << std::endl;
    co_return co_await PlayScript(SoakScript(answer, seen), socket);
  }

  // The pieces of the body: events, or parts of one of them.
  auto Pieces(const http::request<http::string_body>& request) const
      -> std::vector<std::string> {
    const std::string_view path = request.target();
    const int last = QueryNumber(path, "events", 6);
    const bool plain = QueryNumber(path, "plain", 0) != 0;
    const bool split = QueryNumber(path, "split", 0) != 0;
    const std::string after(request[platform::kLastEventField]);
    std::vector<std::string> pieces;
    for (int id = std::atoi(after.c_str()) + 1; id <= last; ++id) {
      const std::string piece = plain ? "piece" + std::to_string(id) + " "
                                      : EngineEvent(id, version_);
      const size_t cut = split ? piece.size() / 2 : 0;
      if (split)
        pieces.push_back(piece.substr(0, cut));
      pieces.push_back(piece.substr(cut));
    }
    return pieces;
  }

  // Whether the connection stays open.
  auto Answer(const http::request<http::string_body>& request,
              tcp::socket* socket) -> asio::awaitable<bool> {
    const std::string_view path = request.target();
    const Framing framing = FramingOf(path);
    const bool plain = QueryNumber(path, "plain", 0) != 0;
    std::vector<std::string> pieces = Pieces(request);
    size_t size = 0;
    for (std::string& piece : pieces) {
      size += piece.size();
      piece = FramedPiece(framing, piece);
    }
    pieces.push_back(FramedEnd(framing));
    std::string head =
        AnswerHead(ReadSeen(request), framing, size,
                   plain ? "" : "Content-Type: text/event-stream\r\n");
    const Millis pause(QueryNumber(path, "pause", 20));
    if (!co_await Write(head, socket))
      co_return false;
    for (const std::string& piece : pieces) {
      co_await Sleep(pause);
      if (!co_await Write(piece, socket))
        co_return false;
    }
    co_return framing != Framing::kUntilClose;
  }

  static auto Write(const std::string& bytes, tcp::socket* socket)
      -> asio::awaitable<bool> {
    const auto [error, size] =
        co_await asio::async_write(*socket, asio::buffer(bytes), kAwait);
    co_return !error;
  }

  std::string version_;
  std::string soak_;
  bool cuts_heads_ = false;
  asio::io_context io_{1};
  tcp::acceptor acceptor_{io_};
  // Caught before the process tells its address.
  asio::signal_set signals_{io_, SIGUSR1, SIGUSR2};
};

}  // namespace
}  // namespace sparbend::testing

auto main(int argc, char** argv) -> int {
  TCLAP::CmdLine line("sparbend-engine: a stand-in of one engine", ' ',
                      SPARBEND_VERSION);
  TCLAP::ValueArg<std::string> listen("l", "listen", "Its address", false,
                                      "127.0.0.1:0", "IP:PORT", line);
  TCLAP::ValueArg<std::string> version(
      "s", "software", "Version of its software", false, "v1", "VERSION", line);
  TCLAP::ValueArg<std::string> soak(
      "", "soak", "Answers as the target of that name in a soak", false, "",
      "NAME", line);
  line.parse(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  sparbend::testing::Engine engine(version.getValue(), soak.getValue());
  if (const std::error_code error = engine.Listen(listen.getValue())) {
    std::cerr << "cannot listen: " << error.message() << "\n";
    return 1;
  }
  std::cout << sparbend::Json{{"address", engine.address()}}.dump()
            << std::endl;
  engine.Run();
  return 0;
}
