// A caller behaves like a careful client: a refusal is waited out as told, a
// broken answer to a repeatable request is asked for again (a few times), and
// only what then still has no whole answer counts as lost.
#include "testing/load.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "sparbend/core/digest.h"
#include "sparbend/kernel/kernel.h"

namespace sparbend::testing {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int kMaxResends = 5;
constexpr int64_t kBytesPerToken = 4;
constexpr std::chrono::seconds kPatience(60);
constexpr Millis kPauseAfterRefusal = Millis(100);

auto MsSince(SteadyClock::time_point start) -> double {
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - start)
      .count();
}

}  // namespace

auto NewKey(uint64_t random) -> std::string {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  char text[40];
  std::snprintf(text, sizeof(text), "%08llx-%04llx-7%03llx-8%03llx-%012llx",
                static_cast<unsigned long long>(now >> 16),
                static_cast<unsigned long long>(now & 0xffff),
                static_cast<unsigned long long>(random & 0xfff),
                static_cast<unsigned long long>((random >> 12) & 0xfff),
                static_cast<unsigned long long>(random >> 16));
  return text;
}

struct Load::Draft {
  StringRequest request;
  std::string tag;
  int64_t input = 0;
  int64_t output = 0;
  bool engine = false;
  bool stream = false;
};

struct Load::Reply {
  int status = 0;
  std::string body;
  Verdict verdict = Verdict::kMayHaveRun;
  bool whole = false;
  bool connected = false;
  double first_ms = 0;
};

Load::Load(asio::io_context* io, std::vector<std::string> boxes, uint64_t seed)
    : io_(io), boxes_(std::move(boxes)), random_(seed) {}

void Load::Add(Workload workload) {
  workloads_.push_back(std::make_unique<Workload>(std::move(workload)));
}

void Load::SetBox(size_t box, const std::string& address) {
  boxes_[box] = address;
}

auto Load::elapsed_ms() const -> double {
  return MsSince(start_);
}

auto Load::Cost(const Workload& workload) -> int64_t {
  // Bounded Pareto by inversion.
  const double low = static_cast<double>(workload.cost_min);
  const double high = static_cast<double>(workload.cost_max);
  const double uniform =
      std::uniform_real_distribution<double>(0.0, 1.0)(random_);
  const double ratio = std::pow(low / high, workload.cost_shape);
  const double cost =
      low / std::pow(1.0 - uniform * (1.0 - ratio), 1.0 / workload.cost_shape);
  return std::clamp<int64_t>(std::llround(cost), workload.cost_min,
                             workload.cost_max);
}

auto Load::Compose(const Workload& workload) -> Draft {
  Draft draft;
  draft.tag = workload.workspace + "#" + std::to_string(next_tag_++);
  draft.engine = !workload.model.empty();
  draft.stream = workload.stream;
  Json body = {{"tag", draft.tag}};
  if (draft.engine) {
    std::string prompt =
        workload.workspace + ":" +
        std::to_string(random_() % static_cast<uint64_t>(workload.prompts)) +
        ":";
    prompt.resize(std::max(prompt.size(), workload.prompt_bytes), 'x');
    draft.output = Cost(workload);
    draft.input = static_cast<int64_t>(prompt.size()) / kBytesPerToken;
    body["model"] = workload.model;
    body["prompt"] = prompt;
    body["stream"] = workload.stream;
    body["user"] = "cost=" + std::to_string(draft.output);
  }
  draft.request = StringRequest(http::verb::post, workload.path, 11);
  draft.request.set(http::field::host, "sparbend");
  draft.request.set(http::field::content_type, "application/json");
  draft.request.set(http::field::authorization, "Bearer " + workload.key);
  if (workload.once)
    draft.request.set("Sparbend-Once", "true");
  draft.request.body() = body.dump();
  draft.request.prepare_payload();
  return draft;
}

auto Load::PickBox(const Workload& workload) -> size_t {
  if (workload.spread.empty())
    return random_() % boxes_.size();
  std::discrete_distribution<size_t> choose(workload.spread.begin(),
                                            workload.spread.end());
  return choose(random_);
}

auto ExpectedStream(const std::string& body, int64_t input, int64_t output)
    -> std::string {
  const std::string digest = Sha256Hex(body);
  std::string expected;
  for (int64_t i = 0; i < output; ++i)
    expected += "id: " + std::to_string(i) +
                "\ndata: {\"choices\":[{\"text\":\"" + TokenText(digest, i) +
                "\"}]}\n\n";
  expected += "id: " + std::to_string(output) +
              "\ndata: {\"choices\":[],\"digest\":\"" + digest +
              "\",\"usage\":{\"prompt_tokens\":" + std::to_string(input) +
              ",\"completion_tokens\":" + std::to_string(output) +
              "}}\n\ndata: [DONE]\n\n";
  return expected;
}

auto Load::Judge(const Draft& draft, const Reply& reply) const -> Seen {
  if (!reply.whole)
    return Seen::kLost;
  if (reply.status != 200)
    return reply.verdict == Verdict::kNotRun ? Seen::kRefused
                                             : Seen::kUncertain;
  if (draft.engine && draft.stream)
    return reply.body == ExpectedStream(draft.request.body(), draft.input,
                                        draft.output)
               ? Seen::kAnswered
               : Seen::kWrong;
  const Result<Json> body = ParseJson(reply.body, SIZE_MAX);
  const bool own = body && body->is_object() &&
                   body->value("digest", "") == Sha256Hex(draft.request.body());
  return own ? Seen::kAnswered : Seen::kWrong;
}

auto Load::Exchange(size_t box, const StringRequest& request, Reply* reply)
    -> asio::awaitable<bool> {
  const std::string address = boxes_[box];
  std::vector<Stream>& idle = idle_[address];
  Stream stream;
  if (!idle.empty()) {
    stream = std::move(idle.back());
    idle.pop_back();
  } else {
    stream = std::make_unique<beast::tcp_stream>(*io_);
    stream->expires_after(std::chrono::seconds(2));
    const auto [error] =
        co_await stream->async_connect(*ParseAddress(address), kAwait);
    if (error)
      co_return false;
    stream->socket().set_option(tcp::no_delay(true));
  }
  reply->connected = true;
  stream->expires_after(kPatience);
  const auto start = SteadyClock::now();
  const auto [unsent, sent] =
      co_await http::async_write(*stream, request, kAwait);
  if (unsent)
    co_return true;
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  while (!parser.is_done()) {
    const auto [error, size] =
        co_await http::async_read_some(*stream, buffer, parser, kAwait);
    if (error)
      co_return true;
    if (reply->first_ms == 0 && !parser.get().body().empty())
      reply->first_ms = MsSince(start);
  }
  reply->whole = true;
  reply->status = static_cast<int>(parser.get().result_int());
  reply->body = parser.get().body();
  if (const auto verdict = ParseVerdict(parser.get()["Sparbend-Verdict"]))
    reply->verdict = *verdict;
  if (parser.get().keep_alive() && buffer.size() == 0) {
    stream->expires_never();
    idle_[address].push_back(std::move(stream));
  }
  co_return true;
}

auto Load::OneRequest(const Workload* workload) -> asio::awaitable<Sample> {
  ++outstanding_[workload->workspace];
  Draft draft = Compose(*workload);
  if (workload->once)
    draft.request.set("Idempotency-Key", NewKey(random_()));
  Sample sample;
  sample.workspace = workload->workspace;
  sample.tag = draft.tag;
  sample.once = workload->once;
  sample.tokens = draft.engine ? draft.input + draft.output : 1;
  sample.began_ms = elapsed_ms();
  const auto start = SteadyClock::now();
  while (true) {
    Reply reply;
    const bool connected =
        co_await Exchange(PickBox(*workload), draft.request, &reply);
    if (connected) {
      sample.seen = Judge(draft, reply);
      sample.verdict = reply.whole ? reply.verdict : Verdict::kMayHaveRun;
      sample.status = reply.status;
      sample.first_ms = reply.first_ms;
    }
    const bool broken = !connected || sample.seen == Seen::kLost ||
                        sample.seen == Seen::kUncertain;
    // What never left this caller may always be sent again.
    const bool again = broken && (!workload->once || !connected) &&
                       sample.resent < kMaxResends;
    if (!again)
      break;
    ++sample.resent;
    co_await Sleep(kPauseAfterRefusal);
  }
  sample.total_ms = MsSince(start);
  --outstanding_[workload->workspace];
  samples_.push_back(sample);
  co_return sample;
}

auto Load::ClosedLoop(const Workload* workload) -> asio::awaitable<void> {
  ++running_;
  co_await Sleep(workload->begin);
  while (!stopping_ && elapsed_ms() < workload->end.count()) {
    const Sample sample = co_await OneRequest(workload);
    if (sample.seen == Seen::kRefused)
      co_await Sleep(kPauseAfterRefusal);
  }
  --running_;
}

auto Load::OpenArrivals(const Workload* workload) -> asio::awaitable<void> {
  ++running_;
  co_await Sleep(workload->begin);
  std::exponential_distribution<double> gap(workload->rate);
  asio::steady_timer timer(*io_, SteadyClock::now());
  while (!stopping_ && elapsed_ms() < workload->end.count()) {
    timer.expires_at(
        timer.expiry() +
        std::chrono::microseconds(static_cast<int64_t>(gap(random_) * 1e6)));
    co_await timer.async_wait(kAwait);
    if (stopping_)
      break;
    ++running_;
    asio::co_spawn(*io_, OneRequest(workload),
                   [this](std::exception_ptr, Sample) { --running_; });
  }
  --running_;
}

auto Load::Run(Millis duration, Millis patience) -> asio::awaitable<void> {
  start_ = SteadyClock::now();
  for (const auto& workload : workloads_) {
    for (int i = 0; i < workload->callers; ++i)
      asio::co_spawn(*io_, ClosedLoop(workload.get()), asio::detached);
    if (workload->rate > 0)
      asio::co_spawn(*io_, OpenArrivals(workload.get()), asio::detached);
  }
  co_await Sleep(duration);
  stopping_ = true;
  const auto give_up =
      SteadyClock::now() + std::chrono::milliseconds(patience.count());
  while (running_ > 0 && SteadyClock::now() < give_up)
    co_await Sleep(Millis(20));
}

}  // namespace sparbend::testing
