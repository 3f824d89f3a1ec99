// What clients have of answers that a box relays when it is killed, stopped or
// suspended, or when they close their side: no answer that looks complete is
// short.
#include <csignal>
#include <functional>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr char kLimits[] = "grace_s = 1\ndrain_notice_ms = 50\n";
constexpr char kDeclarations[] = R"({"version": 1,
  "routes": [
    {"name": "stream", "host": "127.0.0.1", "path-prefix": "/stream/",
     "kind": "streaming", "max-attempts": 1, "timeout-ms": 20000,
     "target-latency-ms": 5000, "service": "engines"},
    {"name": "plain", "host": "127.0.0.1", "path-prefix": "/plain/",
     "kind": "idempotent", "max-attempts": 1, "timeout-ms": 20000,
     "target-latency-ms": 5000, "service": "plain"}],
  "services": [{"name": "plain", "max-conns": 200},
               {"name": "engines", "max-conns": 200,
                "engine": {"kv-capacity": 1000000, "stride": 1}}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";
// Answers of a few pieces end before the disturbance, those of the most after
// it.
constexpr int kShort = 4;
constexpr int kLong = 150;
constexpr Millis kPause(15);            // between the pieces
constexpr size_t kPieceBytes = 20'000;  // more than a slow client's buffers
constexpr int kReceiveBuffer = 4'096;   // of a slow client
constexpr Millis kUntilDisturbed(700);
constexpr Millis kSuspended(700);
constexpr Millis kExit(5'000);

void SleepFor(Millis span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(span.count()));
}

auto Piece(int id, bool stream) -> std::string {
  const std::string fill(kPieceBytes, 'x');
  const std::string number = std::to_string(id);
  return stream ? "id: " + number + "\ndata: " + fill + "\n\n" : number + fill;
}

auto Whole(int pieces, bool stream) -> std::string {
  std::string body;
  for (int id = 1; id <= pieces; ++id)
    body += Piece(id, stream);
  return body;
}

// The path of a request: /ROUTE/FRAMING/PIECES.
auto Answer(const SeenRequest& request) -> TargetScript {
  const bool stream = request.path.starts_with("/stream/");
  const Framing framing =
      request.path.find("/until-close/") != std::string::npos
          ? Framing::kUntilClose
          : Framing::kChunked;
  const int pieces =
      std::stoi(request.path.substr(request.path.rfind('/') + 1));
  TargetScript script;
  script.pieces = {
      AnswerHead(request, framing, 0,
                 stream ? "Content-Type: text/event-stream\r\n" : "")};
  for (int id = 1; id <= pieces; ++id)
    script.pieces.push_back(FramedPiece(framing, Piece(id, stream)));
  script.pieces.push_back(FramedEnd(framing));
  script.pause = kPause;
  script.close = framing == Framing::kUntilClose;
  return script;
}

// One that has sent its request and reads its answer when it is told to, or
// from the beginning.
class Client {
 public:
  struct Kind {
    std::string route;
    std::string framing;  // of the target's answer
    int pieces = 0;
    std::string http;  // version
    bool slow = false;
  };

  Client(const std::string& address, const std::string& id, Kind kind)
      : kind_(std::move(kind)) {
    const tcp::endpoint endpoint = *ParseAddress(address);
    socket_.open(endpoint.protocol());
    if (kind_.slow)
      socket_.set_option(
          asio::socket_base::receive_buffer_size(kReceiveBuffer));
    socket_.connect(endpoint);
    asio::write(
        socket_,
        asio::buffer("POST /" + kind_.route + "/" + kind_.framing + "/" +
                     std::to_string(kind_.pieces) + " " + kind_.http +
                     "\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
                     "Authorization: Token the-key\r\n" +
                     platform::kAttemptIdField + ": " + id + "\r\n" +
                     platform::kTokensField + ": 100,10\r\n" +
                     platform::kDeadlineField +
                     ": 20000\r\nContent-Length: 4\r\n\r\nbody"));
    if (!kind_.slow)
      reader_ = std::thread([this] { reply_ = ReadToEnd(&socket_); });
  }
  ~Client() { Finish(); }
  Client(const Client&) = delete;
  auto operator=(const Client&) -> Client& = delete;

  auto kind() const -> const Kind& { return kind_; }
  void CloseSending() {
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
  // Reads the rest.
  auto Finish() -> const RawReply& {
    if (kind_.slow && !std::exchange(read_, true))
      reply_ = ReadToEnd(&socket_);
    if (reader_.joinable())
      reader_.join();
    return reply_;
  }
  auto what() const -> std::string {
    return kind_.route + " " + kind_.framing + " " +
           std::to_string(kind_.pieces) + " " + kind_.http +
           (kind_.slow ? " slow" : "");
  }

 private:
  Kind kind_;
  asio::io_context io_;
  tcp::socket socket_{io_};
  RawReply reply_;
  bool read_ = false;
  std::thread reader_;
};

class Crowd {
 public:
  explicit Crowd(const std::string& name) : world_(name) {
    world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
               kDeclarations);
    for (const std::string number : {"1", "2", "3", "4", "5", "6"}) {
      world_.AddTarget("engine-" + number, "engines", Answer);
      world_.AddTarget("plain-" + number, "plain", Answer);
    }
    world_.StartBox("box-1", kLimits);
    CHECK(world_.WaitReady("box-1"));
    int id = 0;
    for (const std::string route : {"stream", "plain"}) {
      for (const std::string framing : {"chunked", "until-close"}) {
        for (const std::string http : {"HTTP/1.0", "HTTP/1.1"}) {
          for (const bool slow : {false, true}) {
            for (const int pieces : {kShort, kLong})
              clients_.push_back(std::make_unique<Client>(
                  box().callers, "client-" + std::to_string(++id),
                  Client::Kind{route, framing, pieces, http, slow}));
          }
        }
      }
    }
    SleepFor(kUntilDisturbed);
  }

  auto world() -> PlatformWorld& { return world_; }
  auto box() -> PlatformWorld::Box& { return world_.box("box-1"); }
  auto clients() -> std::vector<std::unique_ptr<Client>>& { return clients_; }

  // No answer looks complete and is short; some answers are interrupted, and
  // some not.
  void Check(const char* what) {
    int complete = 0;
    int interrupted = 0;
    for (const std::unique_ptr<Client>& client : clients_) {
      const RawReply& reply = client->Finish();
      const bool answered = reply.bytes.starts_with("HTTP/1.1 200") ||
                            reply.bytes.starts_with("HTTP/1.0 200");
      const Client::Kind& kind = client->kind();
      const bool whole =
          reply.body == Whole(kind.pieces, kind.route == "stream");
      CHECK_TEXT(!answered || !reply.complete || whole,
                 (std::string(what) + ": " + client->what()).c_str());
      complete += answered && reply.complete ? 1 : 0;
      interrupted += answered && !reply.complete ? 1 : 0;
    }
    CHECK_TEXT(complete > 0, what);
    CHECK_TEXT(interrupted > 0, what);
  }

 private:
  PlatformWorld world_;
  std::vector<std::unique_ptr<Client>> clients_;
};

TEST_GROUP(DisturbedAnswers){};

// Guards against an answer that looks complete and is short.
TEST(DisturbedAnswers, AreWholeOrLookInterrupted) {
  struct Case {
    const char* name;
    std::function<void(Crowd*)> disturb;
  };
  const Case cases[] = {
      {"box-killed",
       [](Crowd* crowd) {
         crowd->box().process->Signal(SIGKILL);
         crowd->box().process->Wait(kExit);
       }},
      {"box-stopped",
       [](Crowd* crowd) {
         crowd->box().process->Signal(SIGTERM);
         CHECK(crowd->box().process->Wait(kExit).has_value());
       }},
      {"box-suspended-and-killed",
       [](Crowd* crowd) {
         crowd->box().process->Signal(SIGSTOP);
         SleepFor(kSuspended);
         crowd->box().process->Signal(SIGKILL);
         crowd->box().process->Wait(kExit);
       }},
      {"targets-reset-while-box-suspended",
       [](Crowd* crowd) {
         crowd->box().process->Signal(SIGSTOP);
         SleepFor(kSuspended);
         for (const std::string number : {"1", "2", "3", "4", "5", "6"}) {
           crowd->world().StopTarget("engine-" + number);
           crowd->world().StopTarget("plain-" + number);
         }
         crowd->box().process->Signal(SIGCONT);
       }},
      {"clients-close-their-side",
       [](Crowd* crowd) {
         for (const std::unique_ptr<Client>& client : crowd->clients())
           client->CloseSending();
       }},
  };
  for (const Case& row : cases) {
    Crowd crowd(row.name);
    row.disturb(&crowd);
    crowd.Check(row.name);
  }
}

}  // namespace
}  // namespace sparbend::testing
