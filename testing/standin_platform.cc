#include "testing/standin_platform.h"

#include <charconv>

#include "sparbend/kernel/kernel.h"

namespace sparbend::testing {
namespace {

constexpr Millis kHang = Millis(120'000);

auto NumberIn(const std::string& query,
              const std::string& name,
              int64_t fallback) -> int64_t {
  const size_t at = query.find(name + "=");
  if (at == std::string::npos)
    return fallback;
  int64_t number = fallback;
  std::from_chars(query.data() + at + name.size() + 1,
                  query.data() + query.size(), number);
  return number;
}

auto Ok(const Json& body = Json::object()) -> StringResponse {
  return JsonResponse(http::status::ok, body);
}

auto Fail(http::status status) -> StringResponse {
  return JsonResponse(status, Json::object());
}

auto FaultFrom(const std::string& name) -> TargetFault {
  if (name == "garbage")
    return TargetFault::kGarbage;
  if (name == "refuse")
    return TargetFault::kRefuse;
  if (name == "hang")
    return TargetFault::kHang;
  if (name == "cut-short")
    return TargetFault::kCutShort;
  return TargetFault::kNone;
}

}  // namespace

StandinPlatform::StandinPlatform(asio::io_context* io)
    : io_(io), server_(io, [this](StringRequest request) {
        return Handle(std::move(request));
      }) {
  Publish();
}

auto StandinPlatform::Listen(const std::string& address) -> std::error_code {
  return server_.Listen(*ParseAddress(address));
}

auto StandinPlatform::Affects(const StringRequest& request) const -> bool {
  return fault_.only_agent.empty() ||
         std::string(request[http::field::user_agent])
                 .find(fault_.only_agent) != std::string::npos;
}

auto StandinPlatform::Handle(StringRequest request)
    -> asio::awaitable<StringResponse> {
  const std::string target(request.target());
  const size_t mark = target.find('?');
  const std::string path = target.substr(0, mark);
  const std::string query =
      mark == std::string::npos ? "" : target.substr(mark + 1);
  StringResponse response;
  if (path.starts_with("/log/")) {
    response = co_await HandleLog(request);
  } else if (path == "/list") {
    const bool down = fault_.list_down && Affects(request);
    response =
        down ? Fail(http::status::service_unavailable) : HandleList(query);
  } else if (path.starts_with("/control/")) {
    const Result<Json> body =
        ParseJson(request.body().empty() ? "{}" : request.body(), SIZE_MAX);
    response = body ? HandleControl(path.substr(9), query, *body)
                    : Fail(http::status::bad_request);
  } else {
    response = Fail(http::status::not_found);
  }
  // Bodies plus about the size of the header fields either way.
  constexpr int64_t kHeaders = 300;
  bytes_[std::string(request[http::field::user_agent])] +=
      static_cast<int64_t>(request.body().size() + response.body().size()) +
      kHeaders;
  co_return response;
}

auto StandinPlatform::HandleLog(const StringRequest& request)
    -> asio::awaitable<StringResponse> {
  const std::string target(request.target());
  const size_t mark = target.find('?');
  Stream& stream = streams_[target.substr(5, mark - 5)];
  const bool affected = Affects(request);
  if (affected && fault_.log_hangs)
    co_await Sleep(kHang);
  if (affected && fault_.log_down)
    co_return Fail(http::status::service_unavailable);
  if (affected && fault_.log_delay > Millis(0))
    co_await Sleep(fault_.log_delay);
  if (request.method() != http::verb::post)
    co_return co_await Read(&stream, target.substr(mark + 1));
  StringResponse response = co_await Append(&stream, request);
  if (affected && fault_.log_loses_answers)
    co_await Sleep(kHang);
  co_return response;
}

auto StandinPlatform::Append(Stream* stream, const StringRequest& request)
    -> asio::awaitable<StringResponse> {
  const Result<Json> body = ParseJson(request.body(), SIZE_MAX);
  if (!body || !body->contains("records"))
    co_return Fail(http::status::bad_request);
  const int64_t first = stream->next();
  for (const Json& record : body->at("records"))
    stream->records.push_back(record.get<std::string>());
  ++stream->appends;
  while (static_cast<int64_t>(stream->records.size()) > retention_) {
    stream->records.pop_front();
    ++stream->oldest;
  }
  co_return Ok({{"first", first}});
}

auto StandinPlatform::Read(Stream* stream, std::string query)
    -> asio::awaitable<StringResponse> {
  const int64_t from = NumberIn(query, "from", 1);
  const int64_t most = NumberIn(query, "max", 100);
  const auto give_up = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(NumberIn(query, "wait_ms", 0));
  while (from >= stream->next() && std::chrono::steady_clock::now() < give_up &&
         !fault_.log_down) {
    asio::steady_timer timer(*io_, std::chrono::milliseconds(20));
    co_await timer.async_wait(kAwait);
  }
  if (from < stream->oldest)
    co_return JsonResponse(http::status::gone, {{"oldest", stream->oldest}});
  Json records = Json::array();
  for (int64_t i = from; i < stream->next() && i < from + most; ++i)
    records.push_back(stream->records[static_cast<size_t>(i - stream->oldest)]);
  co_return Ok({{"oldest", stream->oldest},
                {"next", stream->next()},
                {"records", records}});
}

void StandinPlatform::Publish() {
  Json boxes = Json::array();
  for (const auto& [name, box] : boxes_)
    boxes.push_back(box);
  Json targets = Json::array();
  for (const auto& [name, target] : targets_)
    targets.push_back(target);
  const Json list = {
      {"version", ++version_}, {"boxes", boxes}, {"targets", targets}};
  if (fault_.list_lag == Millis(0)) {
    published_ = list;
    return;
  }
  const auto timer = std::make_shared<asio::steady_timer>(
      *io_, std::chrono::milliseconds(fault_.list_lag.count()));
  timer->async_wait([this, timer, list](boost::system::error_code error) {
    if (!error && list["version"] > published_["version"])
      published_ = list;
  });
}

auto StandinPlatform::HandleList(const std::string& query) -> StringResponse {
  if (NumberIn(query, "version", 0) == published_["version"]) {
    StringResponse same(http::status::not_modified, 11);
    return same;
  }
  return Ok(published_);
}

auto StandinPlatform::AddTarget(const Json& body) -> StringResponse {
  TargetOptions options;
  options.name = body.at("name").get<std::string>();
  options.hall = body.at("hall").get<std::string>();
  options.pool = body.at("pool").get<std::string>();
  options.engine = body.value("engine", options.engine);
  options.slots = body.value("slots", options.slots);
  options.first_token =
      Millis(body.value("first_token_ms", options.first_token.count()));
  options.token_us = body.value("token_us", options.token_us);
  options.prefill_us = body.value("prefill_us", options.prefill_us);
  options.cache_entries = body.value("cache_entries", options.cache_entries);
  options.service_time =
      Millis(body.value("service_ms", options.service_time.count()));
  options.resumes = body.value("resumes", options.resumes);
  // What the list shows may be a proxy before the target.
  auto target = std::make_unique<StandinTarget>(io_, options, &records_);
  if (const std::error_code error = target->Listen())
    return Fail(http::status::internal_server_error);
  const std::string address = target->address();
  targets_[options.name] = {
      {"name", options.name},   {"hall", options.hall},
      {"pool", options.pool},   {"address", body.value("shown", address)},
      {"slots", options.slots}, {"state", "live"}};
  standins_[options.name] = std::move(target);
  Publish();
  return Ok({{"address", address}});
}

auto StandinPlatform::SetFault(const Json& body) -> StringResponse {
  fault_.log_down = body.value("log_down", false);
  fault_.log_hangs = body.value("log_hangs", false);
  fault_.log_loses_answers = body.value("log_loses_answers", false);
  fault_.log_delay = Millis(body.value("log_delay_ms", 0));
  fault_.list_down = body.value("list_down", false);
  fault_.list_lag = Millis(body.value("list_lag_ms", 0));
  fault_.only_agent = body.value("only_agent", "");
  return Ok();
}

auto StandinPlatform::SetTargetFault(const Json& body) -> StringResponse {
  const auto found = standins_.find(body.at("name").get<std::string>());
  if (found == standins_.end())
    return Fail(http::status::not_found);
  StandinTarget& target = *found->second;
  const std::string fault = body.at("fault").get<std::string>();
  if (fault == "kill") {
    target.Kill();
  } else if (fault == "revive") {
    if (target.Revive())
      return Fail(http::status::internal_server_error);
  } else if (fault == "leaving") {
    target.SetLeaving(true);
  } else {
    target.SetFault(FaultFrom(fault));
  }
  return Ok();
}

void StandinPlatform::SetState(const std::string& name,
                               const std::string& state) {
  for (auto* entries : {&boxes_, &targets_}) {
    const auto found = entries->find(name);
    if (found == entries->end())
      continue;
    if (state == "gone")
      entries->erase(found);
    else
      found->second["state"] = state;
  }
  Publish();
}

auto StandinPlatform::Service() const -> Json {
  Json targets = Json::object();
  for (const auto& [name, target] : standins_)
    targets[name] = {{"pool", target->options().pool},
                     {"slots", target->options().slots},
                     {"running", target->running()},
                     {"busy_ms", target->busy_ms()}};
  return {{"service", records_.service()}, {"targets", targets}};
}

auto StandinPlatform::HandleControl(const std::string& path,
                                    const std::string& query,
                                    const Json& body) -> StringResponse {
  if (path == "target")
    return AddTarget(body);
  if (path == "fault")
    return SetFault(body);
  if (path == "target-fault")
    return SetTargetFault(body);
  if (path == "service")
    return Ok(Service());
  if (path == "bytes")
    return Ok(bytes_);
  if (path == "runs")
    return Ok(records_.Runs(static_cast<uint64_t>(NumberIn(query, "from", 1)),
                            100'000));
  if (path == "appends") {
    Json appends = Json::object();
    for (const auto& [name, stream] : streams_)
      appends[name] = stream.appends;
    return Ok(appends);
  }
  if (path == "cut") {
    // {"hall": H}: H is cut off from all other halls' targets; {}: healed.
    const std::string hall = body.value("hall", "");
    std::set<std::string> halls;
    for (const auto& [name, target] : standins_)
      halls.insert(target->options().hall);
    for (const auto& [name, target] : standins_) {
      std::set<std::string> others = halls;
      others.erase(target->options().hall);
      if (target->options().hall != hall)
        others = {hall};
      target->SetCutHalls(hall.empty() ? std::set<std::string>() : others);
    }
    return Ok();
  }
  if (path == "box") {
    boxes_[body.at("name").get<std::string>()] = body;
    Publish();
    return Ok();
  }
  if (path == "state") {
    SetState(body.at("name").get<std::string>(),
             body.at("state").get<std::string>());
    return Ok();
  }
  if (path == "retention") {
    retention_ = body.at("records").get<int64_t>();
    return Ok();
  }
  return Fail(http::status::not_found);
}

}  // namespace sparbend::testing
