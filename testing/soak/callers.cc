// A caller gives up after kWaitTimeout, longer than every route's time limit,
// so a box that keeps its word has always answered by then.
#include "testing/soak/callers.h"

#include <array>

#include "platform/wire.h"
#include "sparbend/kernel/kernel.h"

namespace sparbend::testing {
namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(6);
constexpr Millis kPause = Millis(15);         // between two requests
constexpr Millis kPauseUnheard = Millis(50);  // after a connection that failed
constexpr int kMostBoxes = 64;
constexpr std::array<const char*, 4> kPaths = {"/once/x", "/again/x",
                                               "/stream/x", "/resumed/x"};

// How often a caller comes back for the rest of an interrupted stream.
constexpr int kMostReturns = 2;
// For how long it tries to reach a box for that.
constexpr Millis kReturnTime = Millis(5'000);
constexpr std::string_view kEventEnd = "\n\n";

auto EventsIn(std::string_view body) -> int {
  int events = 0;
  for (size_t at = body.find(kEventEnd); at != std::string_view::npos;
       at = body.find(kEventEnd, at + kEventEnd.size()))
    ++events;
  return events;
}

// The request for the rest of the stream of `asked`; nothing if there is no
// interrupted stream.
auto RestOf(const Asked& asked) -> std::optional<Asked> {
  const std::string begun = asked.begun + asked.body;
  if (asked.route != SoakRoute::kResumed || asked.status != 200 ||
      asked.whole || EventsIn(begun) == 0)
    return std::nullopt;
  Asked rest;
  rest.id = asked.id + "r";
  rest.route = asked.route;
  rest.key = asked.key;
  rest.path = asked.path;
  rest.token = asked.token;
  rest.resumes = asked.resumes.empty() ? asked.id : asked.resumes;
  rest.begun = begun.substr(0, begun.rfind(kEventEnd) + kEventEnd.size());
  return rest;
}

}  // namespace

struct SoakCallers::Link {
  explicit Link(asio::io_context& io) : stream(io) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  int box = -1;  // connected to; -1: to none
};

SoakCallers::SoakCallers(uint64_t seed,
                         int callers,
                         std::function<Millis()> now,
                         DrawRequest draw)
    : now_(std::move(now)), draw_(std::move(draw)), boxes_(kMostBoxes) {
  for (int caller = 0; caller < callers; ++caller)
    asio::co_spawn(io_, Ask(seed * 1'000 + static_cast<uint64_t>(caller)),
                   asio::detached);
  thread_ = std::thread([this] { io_.run(); });
}

SoakCallers::~SoakCallers() {
  Finish();
}

void SoakCallers::SetBox(int box, const std::string& address) {
  const std::lock_guard lock(mutex_);
  boxes_.at(static_cast<size_t>(box)) = address;
}

void SoakCallers::SetKey(int key) {
  const std::lock_guard lock(mutex_);
  key_ = key;
}

auto SoakCallers::Sofar() -> std::vector<Asked> {
  const std::lock_guard lock(mutex_);
  return asked_;
}

auto SoakCallers::Finish() -> std::vector<Asked> {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  if (thread_.joinable())
    thread_.join();
  return Sofar();
}

auto SoakCallers::Open(Link* link, int box) -> asio::awaitable<bool> {
  std::string address;
  {
    const std::lock_guard lock(mutex_);
    address = boxes_.at(static_cast<size_t>(box));
  }
  link->stream.close();
  link->buffer.clear();
  link->box = -1;
  const Result<tcp::endpoint> endpoint = ParseAddress(address);
  if (!endpoint)
    co_return false;
  link->stream.expires_after(std::chrono::seconds(1));
  const auto [error] = co_await link->stream.async_connect(*endpoint, kAwait);
  if (!error)
    link->box = box;
  co_return !error;
}

auto SoakCallers::AskOnce(Link* link, Asked* asked) -> asio::awaitable<void> {
  http::request<http::string_body> request(http::verb::post, asked->path, 11);
  request.set(http::field::host, "127.0.0.1");
  request.set(http::field::authorization, "Token " + asked->token);
  request.set(platform::kAttemptIdField, asked->id);
  request.set(platform::kDeadlineField, "5000");
  if (asked->route >= SoakRoute::kStream)
    request.set(platform::kTokensField, "100,10");
  if (!asked->resumes.empty()) {
    request.set(platform::kResumesField, asked->resumes);
    request.set(platform::kLastEventField,
                std::to_string(EventsIn(asked->begun)));
  }
  request.body() = "body of " + asked->id;
  request.prepare_payload();
  asked->sent = now_();
  link->stream.expires_after(kWaitTimeout);
  auto [error, size] =
      co_await http::async_write(link->stream, request, kAwait);
  http::response_parser<http::string_body> parser;
  if (!error) {
    const auto [unread, received] =
        co_await http::async_read(link->stream, link->buffer, parser, kAwait);
    error = unread;
  }
  asked->ended = now_();
  asked->gave_up = error == beast::error::timeout;
  if (parser.is_header_done()) {
    asked->status = parser.get().result_int();
    asked->signed_by_target = !parser.get()[platform::kSignatureField].empty();
    asked->body = parser.get().body();
    asked->whole = !error;
  }
  if (error || !parser.get().keep_alive()) {
    link->stream.close();
    link->box = -1;
  }
}

auto SoakCallers::AskAndKeep(Link* link, Asked* asked)
    -> asio::awaitable<void> {
  asked->box = link->box;
  co_await AskOnce(link, asked);
  const std::lock_guard lock(mutex_);
  asked_.push_back(*asked);
}

auto SoakCallers::Draw(std::mt19937_64* random, uint64_t number) -> Asked {
  Asked asked;
  const auto drawn = (*random)();
  const std::string id =
      std::to_string(number) + "-" + std::to_string(drawn % 1'000'000);
  if (draw_) {
    asked = draw_(random);
    asked.id = id;
    return asked;
  }
  asked.id = id;
  asked.route = static_cast<SoakRoute>(drawn >> 20 & 3);
  const std::lock_guard lock(mutex_);
  const bool behind = (drawn >> 22 & 3) == 0;  // has not heard of the newest
  asked.key = std::max(1, behind ? key_ - 1 : key_);
  asked.path = kPaths[static_cast<size_t>(asked.route)];
  asked.token = "key-" + std::to_string(asked.key);
  return asked;
}

auto SoakCallers::Ask(uint64_t seed) -> asio::awaitable<void> {
  std::mt19937_64 random(seed);
  Link link(io_);
  for (uint64_t number = 0;; ++number) {
    int boxes = 0;
    {
      const std::lock_guard lock(mutex_);
      if (ending_)
        co_return;
      while (boxes < kMostBoxes && !boxes_[static_cast<size_t>(boxes)].empty())
        ++boxes;
    }
    Asked asked = Draw(&random, seed * 10'000 + number);
    const bool open =
        link.box >= 0 ||
        (boxes > 0 &&
         co_await Open(
             &link, static_cast<int>(random() % static_cast<uint64_t>(boxes))));
    if (!open) {
      co_await Sleep(kPauseUnheard);
      continue;
    }
    co_await AskAndKeep(&link, &asked);
    const Millis until = now_() + kReturnTime;
    for (int returns = 0; returns < kMostReturns && now_() < until;) {
      std::optional<Asked> rest = RestOf(asked);
      // Another box than the one that the stream broke at.
      const auto others = static_cast<uint64_t>(std::max(1, boxes - 1));
      const int box = (asked.box + 1 + static_cast<int>(random() % others)) %
                      std::max(1, boxes);
      if (!rest)
        break;
      if (!co_await Open(&link, box)) {
        co_await Sleep(kPauseUnheard);
        continue;
      }
      co_await AskAndKeep(&link, &*rest);
      asked = *rest;
      ++returns;
    }
    co_await Sleep(kPause);
  }
}

}  // namespace sparbend::testing
