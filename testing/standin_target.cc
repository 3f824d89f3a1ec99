// Tokens appear on a fixed schedule from a generation's start, whether or not
// somebody reads them; a slot is held from start to end. The number of tokens
// of an answer stands in the request's field "user" ("cost=N"), which the
// system under test has no reason to read.
#include "testing/standin_target.h"

#include <charconv>

#include "sparbend/core/digest.h"
#include "sparbend/kernel/kernel.h"

namespace sparbend::testing {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int64_t kDefaultTokens = 8;
constexpr size_t kPrefixBytes = 256;
constexpr int64_t kBytesPerToken = 4;

auto NowMs() -> Millis {
  return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                    SteadyClock::now().time_since_epoch())
                    .count());
}

auto StringAt(const Json& object, const char* name) -> std::string {
  const bool present =
      object.is_object() && object.contains(name) && object[name].is_string();
  return present ? object[name].get<std::string>() : "";
}

auto NumberAfter(const std::string& text, std::string_view label) -> int64_t {
  const size_t at = text.find(label);
  if (at == std::string::npos)
    return -1;
  int64_t number = -1;
  std::from_chars(text.data() + at + label.size(), text.data() + text.size(),
                  number);
  return number;
}

}  // namespace

struct StandinTarget::Generation {
  uint64_t run = 0;
  std::string flow;
  std::string digest;
  std::string request_id;
  bool streaming = false;
  int64_t input = 0;
  int64_t total = 0;
  int64_t produced = 0;
  int64_t first_us = 0;
  SteadyClock::time_point start;
  bool ended = false;
  uint64_t life = 0;
};

struct StandinTarget::Connection {
  explicit Connection(tcp::socket socket) : stream(std::move(socket)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

StandinTarget::StandinTarget(asio::io_context* io,
                             TargetOptions options,
                             Records* records)
    : io_(io),
      options_(std::move(options)),
      records_(records),
      acceptor_(*io),
      address_(options_.address),
      busy_counted_(SteadyClock::now()),
      load_reported_(SteadyClock::now()) {}

StandinTarget::~StandinTarget() = default;

auto StandinTarget::Listen() -> std::error_code {
  std::error_code error;
  acceptor_ = OpenAcceptor(*io_, *ParseAddress(address_), &error);
  if (error)
    return error;
  address_ = FormatAddress(acceptor_.local_endpoint());
  asio::co_spawn(*io_, Accept(life_), asio::detached);
  return error;
}

void StandinTarget::Kill() {
  ++life_;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  CountBusy();
  running_ = 0;
  waiting_.clear();
  resumable_.clear();
  cache_.clear();
  DropConnections();
}

void StandinTarget::DropConnections() {
  boost::system::error_code ignored;
  for (const auto& connection : connections_) {
    // A zero linger resets instead of closing in an orderly way.
    connection->stream.socket().set_option(asio::socket_base::linger(true, 0),
                                           ignored);
    connection->stream.socket().close(ignored);
  }
}

auto StandinTarget::Revive() -> std::error_code {
  return Listen();
}

void StandinTarget::CountBusy() {
  const auto now = SteadyClock::now();
  busy_us_ += running_ * std::chrono::duration_cast<std::chrono::microseconds>(
                             now - busy_counted_)
                             .count();
  busy_counted_ = now;
}

auto StandinTarget::busy_ms() const -> int64_t {
  const auto since = std::chrono::duration_cast<std::chrono::microseconds>(
      SteadyClock::now() - busy_counted_);
  return (busy_us_ + running_ * since.count()) / 1'000;
}

auto StandinTarget::Accept(uint64_t life) -> asio::awaitable<void> {
  while (life == life_) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwait);
    if (error)
      co_return;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto connection = std::make_shared<Connection>(std::move(socket));
    connections_.insert(connection);
    asio::co_spawn(*io_, Serve(connection, life), asio::detached);
  }
}

auto StandinTarget::Serve(std::shared_ptr<Connection> connection, uint64_t life)
    -> asio::awaitable<void> {
  bool open = true;
  while (open && life == life_) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    const auto [error, size] = co_await http::async_read(
        connection->stream, connection->buffer, parser, kAwait);
    if (error)
      break;
    const StringRequest request = parser.release();
    open = request.keep_alive();
    const bool answered = co_await Answer(connection.get(), request);
    open = open && answered;
  }
  boost::system::error_code ignored;
  connection->stream.socket().close(ignored);
  connections_.erase(connection);
}

void StandinTarget::Decorate(http::response_header<>* header) {
  const auto now = SteadyClock::now();
  if (now - load_reported_ >=
      std::chrono::milliseconds(options_.load_lag.count())) {
    load_reported_ = now;
    reported_load_ = running_ + static_cast<int>(waiting_.size());
  }
  header->set("X-Target-Load", std::to_string(reported_load_));
  if (leaving_)
    header->set("X-Target-State", "leaving");
}

auto StandinTarget::IsCut(const std::string& request_id) const -> bool {
  return std::ranges::any_of(cut_, [&](const std::string& hall) {
    return request_id.starts_with(hall);
  });
}

auto StandinTarget::Refuse(Connection* connection) -> asio::awaitable<bool> {
  StringResponse response(http::status::service_unavailable, 11);
  Decorate(&response.base());
  response.set("X-Not-Run", "1");
  response.prepare_payload();
  const auto [error, size] =
      co_await http::async_write(connection->stream, response, kAwait);
  co_return !error;
}

auto StandinTarget::Answer(Connection* connection, const StringRequest& request)
    -> asio::awaitable<bool> {
  if (IsCut(std::string(request["X-Request-Id"]))) {
    boost::system::error_code ignored;
    connection->stream.socket().set_option(asio::socket_base::linger(true, 0),
                                           ignored);
    co_return false;
  }
  if (fault_ == TargetFault::kRefuse)
    co_return co_await Refuse(connection);
  if (fault_ == TargetFault::kGarbage) {
    const std::string garbage = "\x01\x02 this is no HTTP \xff\r\n\r\n";
    co_await asio::async_write(connection->stream, asio::buffer(garbage),
                               kAwait);
    co_return false;
  }
  if (options_.engine)
    co_return co_await AnswerEngine(connection, request);
  co_return co_await AnswerService(connection, request);
}

auto StandinTarget::AnswerService(Connection* connection,
                                  const StringRequest& request)
    -> asio::awaitable<bool> {
  const Result<Json> body = ParseJson(request.body(), SIZE_MAX);
  Run run;
  run.tag = body ? StringAt(*body, "tag") : "";
  run.workspace = request["X-Workspace"];
  run.target = options_.name;
  run.hall = options_.hall;
  run.began = NowMs();
  run.input = 1;
  // A plain service does its work as soon as it has the whole request.
  const uint64_t number = records_->Begin(run);
  records_->AddService(options_.pool + "/" + run.workspace, 1);
  CountBusy();
  ++running_;
  const uint64_t life = life_;
  co_await Sleep(options_.service_time);
  if (life != life_)
    co_return false;
  ReleaseSlot();
  records_->End(number);
  if (fault_ == TargetFault::kHang)
    co_await Sleep(Millis(60'000));
  StringResponse response =
      JsonResponse(http::status::ok,
                   {{"digest", Sha256Hex(request.body())}, {"run", number}});
  Decorate(&response.base());
  const auto [error, size] =
      co_await http::async_write(connection->stream, response, kAwait);
  co_return !error && fault_ != TargetFault::kCutShort;
}

auto StandinTarget::WaitForSlot(int priority) -> asio::awaitable<void> {
  while (running_ >= options_.slots) {
    const auto timer = std::make_shared<asio::steady_timer>(
        *io_, SteadyClock::time_point::max());
    const auto place = waiting_.emplace(-priority, timer);
    const uint64_t life = life_;
    co_await timer->async_wait(kAwait);
    if (life != life_)
      co_return;
    waiting_.erase(place);
  }
  CountBusy();
  ++running_;
}

void StandinTarget::ReleaseSlot() {
  CountBusy();
  --running_;
  if (!waiting_.empty())
    waiting_.begin()->second->cancel();
}

auto StandinTarget::CachedTokens(const std::string& prompt, int64_t tokens)
    -> int64_t {
  const std::string prefix = prompt.substr(0, kPrefixBytes);
  const auto found = std::ranges::find(cache_, prefix);
  const bool hit = found != cache_.end();
  if (hit)
    cache_.erase(found);
  cache_.push_front(prefix);
  if (cache_.size() > options_.cache_entries)
    cache_.pop_back();
  const auto prefix_tokens =
      static_cast<int64_t>(prefix.size()) / kBytesPerToken;
  return hit ? std::min(tokens, prefix_tokens) : 0;
}

auto StandinTarget::NewGeneration(const StringRequest& request)
    -> std::shared_ptr<Generation> {
  const Result<Json> body = ParseJson(request.body(), SIZE_MAX);
  const Json fields = body ? *body : Json::object();
  const std::string prompt = StringAt(fields, "prompt");
  const int64_t cost = NumberAfter(StringAt(fields, "user"), "cost=");
  auto generation = std::make_shared<Generation>();
  generation->digest = Sha256Hex(request.body());
  generation->request_id = request["X-Request-Id"];
  generation->streaming = fields.value("stream", false);
  generation->input = std::max<int64_t>(
      1, static_cast<int64_t>(prompt.size()) / kBytesPerToken);
  generation->total = cost > 0 ? cost : kDefaultTokens;
  generation->life = life_;
  const int64_t cached = CachedTokens(prompt, generation->input);
  generation->first_us = options_.first_token.count() * 1'000 +
                         (generation->input - cached) * options_.prefill_us;
  Run run;
  run.tag = StringAt(fields, "tag");
  run.workspace = request["X-Workspace"];
  run.target = options_.name;
  run.hall = options_.hall;
  run.began = NowMs();
  run.input = generation->input;
  generation->flow = options_.pool + "/" + run.workspace;
  generation->run = records_->Begin(run);
  records_->AddService(generation->flow, generation->input);
  generation->start = SteadyClock::now();
  return generation;
}

auto StandinTarget::WaitForToken(const Generation& generation, int64_t index)
    -> asio::awaitable<void> {
  asio::steady_timer timer(*io_);
  timer.expires_at(generation.start +
                   std::chrono::microseconds(generation.first_us +
                                             index * options_.token_us));
  co_await timer.async_wait(kAwait);
}

void StandinTarget::Produce(Generation* generation, int64_t index) {
  if (index < generation->produced || generation->life != life_)
    return;
  generation->produced = index + 1;
  records_->AddOutput(generation->run, 1);
  records_->AddService(generation->flow, 1);
}

void StandinTarget::EndGeneration(Generation* generation, bool whole) {
  if (generation->ended || generation->life != life_)
    return;
  generation->ended = true;
  ReleaseSlot();
  if (whole)
    records_->End(generation->run);
}

auto StandinTarget::KeepForResume(std::shared_ptr<Generation> generation)
    -> asio::awaitable<void> {
  resumable_[generation->request_id] = generation;
  co_await Sleep(options_.resume_time);
  const auto found = resumable_.find(generation->request_id);
  if (found == resumable_.end() || found->second != generation)
    co_return;
  resumable_.erase(found);
  EndGeneration(generation.get(), false);
}

auto StandinTarget::Stream(Connection* connection,
                           std::shared_ptr<Generation> generation,
                           int64_t from) -> asio::awaitable<bool> {
  http::response<http::empty_body> response(http::status::ok, 11);
  response.set(http::field::content_type, "text/event-stream");
  response.chunked(true);
  Decorate(&response.base());
  http::response_serializer<http::empty_body> serializer(response);
  auto [error, sent] =
      co_await http::async_write_header(connection->stream, serializer, kAwait);
  std::string event;
  for (int64_t i = from; i < generation->total && !error; ++i) {
    co_await WaitForToken(*generation, i);
    if (generation->life != life_)
      co_return false;
    Produce(generation.get(), i);
    if (IsCut(generation->request_id)) {
      error = asio::error::connection_reset;
      boost::system::error_code ignored;
      connection->stream.socket().set_option(asio::socket_base::linger(true, 0),
                                             ignored);
      break;
    }
    event = "id: " + std::to_string(i) + "\ndata: {\"choices\":[{\"text\":\"" +
            TokenText(generation->digest, i) + "\"}]}\n\n";
    const bool cut =
        fault_ == TargetFault::kCutShort && i >= generation->total / 2;
    if (cut)
      event.resize(event.size() / 2);
    std::tie(error, sent) = co_await asio::async_write(
        connection->stream, http::make_chunk(asio::buffer(event)), kAwait);
    if (cut)
      error = asio::error::connection_reset;
  }
  if (!error) {
    event =
        "id: " + std::to_string(generation->total) +
        "\ndata: {\"choices\":[],\"digest\":\"" + generation->digest +
        "\",\"usage\":{\"prompt_tokens\":" + std::to_string(generation->input) +
        ",\"completion_tokens\":" + std::to_string(generation->total) +
        "}}\n\ndata: [DONE]\n\n";
    EndGeneration(generation.get(), true);
    std::tie(error, sent) = co_await asio::async_write(
        connection->stream, http::make_chunk(asio::buffer(event)), kAwait);
    std::tie(error, sent) = co_await asio::async_write(
        connection->stream, http::make_chunk_last(), kAwait);
    co_return !error;
  }
  if (options_.resumes)
    asio::co_spawn(*io_, KeepForResume(generation), asio::detached);
  else
    EndGeneration(generation.get(), false);
  co_return false;
}

auto StandinTarget::Whole(Connection* connection,
                          std::shared_ptr<Generation> generation)
    -> asio::awaitable<bool> {
  std::string text;
  for (int64_t i = 0; i < generation->total; ++i) {
    co_await WaitForToken(*generation, i);
    if (generation->life != life_)
      co_return false;
    Produce(generation.get(), i);
    text += TokenText(generation->digest, i);
  }
  EndGeneration(generation.get(), true);
  StringResponse response = JsonResponse(
      http::status::ok, {{"choices", Json::array({{{"text", text}}})},
                         {"digest", generation->digest},
                         {"usage",
                          {{"prompt_tokens", generation->input},
                           {"completion_tokens", generation->total}}}});
  Decorate(&response.base());
  const auto [error, sent] =
      co_await http::async_write(connection->stream, response, kAwait);
  co_return !error;
}

auto StandinTarget::AnswerEngine(Connection* connection,
                                 const StringRequest& request)
    -> asio::awaitable<bool> {
  const std::string_view last_event = request["Last-Event-ID"];
  if (!last_event.empty()) {
    const auto found = resumable_.find(std::string(request["X-Request-Id"]));
    if (found == resumable_.end())
      co_return co_await Refuse(connection);
    const std::shared_ptr<Generation> generation = found->second;
    resumable_.erase(found);
    const int64_t from = NumberAfter(std::string(last_event), "") + 1;
    co_return co_await Stream(connection, generation, from);
  }
  const uint64_t life = life_;
  const int64_t priority =
      NumberAfter("p=" + std::string(request["X-Priority"]), "p=");
  co_await WaitForSlot(static_cast<int>(priority));
  if (life != life_)
    co_return false;
  const std::shared_ptr<Generation> generation = NewGeneration(request);
  if (fault_ == TargetFault::kHang) {
    co_await Sleep(Millis(60'000));
    EndGeneration(generation.get(), false);
    co_return false;
  }
  if (generation->streaming)
    co_return co_await Stream(connection, generation, 0);
  co_return co_await Whole(connection, generation);
}

}  // namespace sparbend::testing
