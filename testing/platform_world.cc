#include "testing/platform_world.h"

#include <fcntl.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <future>
#include <ranges>
#include <set>
#include <sstream>
#include <stdexcept>

#include <openssl/evp.h>

#include "platform/store.h"
#include "platform/wire.h"

namespace sparbend::testing {
namespace {

namespace fs = std::filesystem;

constexpr Millis kWaitTimeout = Millis(20'000);
constexpr const char* kEraField = "Store-Era";
constexpr Millis kReadStep = Millis(5);
// Of a request at a target; the largest that boxes forward has 16 KB.
constexpr uint32_t kMaxHeaderBytes = 64 * 1024;
// A target that ended is back after that.
constexpr Millis kRestart = Millis(1'500);

auto Base64(const std::string& bytes) -> std::string {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

auto QueryField(std::string_view target, const std::string& name)
    -> std::string {
  const size_t query = target.find('?');
  if (query == std::string_view::npos)
    return "";
  std::string_view rest = target.substr(query + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    if (pair.starts_with(name + "="))
      return std::string(pair.substr(name.size() + 1));
  }
  return "";
}

auto BigEndian(int64_t number) -> std::string {
  std::string bytes;
  for (int shift = 56; shift >= 0; shift -= 8)
    bytes += static_cast<char>(number >> shift & 0xff);
  return bytes;
}

auto Status(http::status status, std::string body = "") -> StringResponse {
  StringResponse response(status, 11);
  response.body() = std::move(body);
  return response;
}

void Reset(tcp::socket* socket) {
  boost::system::error_code ignored;
  socket->set_option(asio::socket_base::linger(true, 0), ignored);
  socket->close(ignored);
}

// The answer to a request that is meant for an earlier life.
auto Misdirected(const SeenRequest& request) -> TargetScript {
  TargetScript script;
  script.pieces = {"HTTP/1.1 421 Misdirected Request\r\n" +
                   std::string(platform::kAttemptIdField) + ": " + request.id +
                   "\r\n" + platform::kNotRunField +
                   ": 1\r\nContent-Length: 0\r\n\r\n"};
  return script;
}

}  // namespace

struct PlatformWorld::Target {
  Target(std::string name,
         std::string pool,
         tcp::acceptor acceptor,
         Handler handler,
         bool reads_body)
      : first_name(name),
        name(std::move(name)),
        pool(std::move(pool)),
        acceptor(acceptor.get_executor()),
        handler(std::move(handler)),
        reads_body(reads_body) {
    Listen(std::move(acceptor));
  }
  // Boxes that are started later must not hold the port open.
  void Listen(tcp::acceptor opened) {
    acceptor = std::move(opened);
    fcntl(acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
  }
  std::string first_name;
  std::string name;  // of this life
  std::string pool;
  tcp::acceptor acceptor;
  Handler handler;
  bool reads_body;
  std::string version;    // of its software
  tcp::endpoint address;  // while it is cut off
  int lives = 1;
  std::set<tcp::socket*> sockets;  // of this life
};

PlatformWorld::PlatformWorld(const std::string& name)
    : work_(io_.get_executor()),
      store_(&io_,
             [this](StringRequest request) {
               return HandleInEra(std::move(request));
             }),
      folder_((fs::read_symlink("/proc/self/exe").parent_path() / "run" /
               (name + "-" + std::to_string(getpid())))
                  .string()) {
  fs::create_directories(folder_);
  if (store_.Listen({asio::ip::make_address("127.0.0.1"), 0}))
    throw std::runtime_error("no port for the stand-in of the store");
  thread_ = std::thread([this] { io_.run(); });
}

PlatformWorld::~PlatformWorld() {
  boxes_.clear();
  io_.stop();
  thread_.join();
}

void PlatformWorld::Put(const std::string& topic,
                        const std::string& key,
                        const std::string& value) {
  const std::lock_guard lock(mutex_);
  topics_[topic].push_back({key, value});
}

void PlatformWorld::ReturnFromOlderCopy(
    const std::string& topic,
    size_t lost,
    const std::vector<std::pair<std::string, std::string>>& again) {
  const std::lock_guard lock(mutex_);
  ++era_;
  std::vector<Record>& records = topics_[topic];
  records.resize(records.size() - std::min(lost, records.size()));
  for (const auto& [key, value] : again)
    records.push_back({key, value});
}

auto PlatformWorld::TopicSizes() -> std::map<std::string, size_t> {
  const std::lock_guard lock(mutex_);
  std::map<std::string, size_t> sizes;
  for (const auto& [topic, records] : topics_)
    sizes[topic] = records.size();
  return sizes;
}

void PlatformWorld::ReturnFromCopy(const std::map<std::string, size_t>& sizes) {
  const std::lock_guard lock(mutex_);
  ++era_;
  for (auto& [topic, records] : topics_) {
    const auto copied = sizes.find(topic);
    records.resize(copied == sizes.end() ? 0 : copied->second);
  }
}

auto PlatformWorld::HasRecord(const std::string& topic, const std::string& key)
    -> bool {
  const std::lock_guard lock(mutex_);
  const auto newest = std::ranges::find(topics_[topic] | std::views::reverse,
                                        key, &Record::key);
  return newest != topics_[topic].rend() && !newest->value.empty();
}

void PlatformWorld::SetFault(const StoreFault& fault) {
  const std::lock_guard lock(mutex_);
  fault_ = fault;
}

auto PlatformWorld::StoreProxy() -> TcpProxy& {
  if (!store_proxy_)
    store_proxy_ = std::make_unique<TcpProxy>(store_.address());
  return *store_proxy_;
}

auto PlatformWorld::store_calls() -> int {
  const std::lock_guard lock(mutex_);
  return store_calls_;
}

auto PlatformWorld::store_calls(const std::string& box,
                                const std::string& topic) -> int {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(std::ranges::count_if(calls_, [&](const auto& call) {
    return call.first.ends_with("/" + box) &&
           call.second.find("topic=" + topic) != std::string::npos;
  }));
}

auto PlatformWorld::HandleInEra(StringRequest request)
    -> asio::awaitable<StringResponse> {
  StringResponse response = co_await HandleStore(std::move(request));
  const std::lock_guard lock(mutex_);
  response.set(kEraField, std::to_string(era_));
  co_return response;
}

auto PlatformWorld::HandleStore(StringRequest request)
    -> asio::awaitable<StringResponse> {
  StoreFault fault;
  {
    const std::lock_guard lock(mutex_);
    ++store_calls_;
    calls_.emplace_back(request[http::field::user_agent], request.target());
    fault = fault_;
  }
  const std::string_view agent = request[http::field::user_agent];
  const std::string target(request.target());
  const std::string topic = QueryField(target, "topic");
  if (agent.find(fault.only_agent) == std::string_view::npos ||
      (!fault.only_topic.empty() && fault.only_topic != topic))
    fault = StoreFault();
  if (fault.silent)
    co_await Sleep(kWaitTimeout);
  if (fault.refuses || fault.silent)
    co_return Status(http::status::service_unavailable);
  if (target.starts_with(platform::kNewestPath)) {
    const std::lock_guard lock(mutex_);
    fault_.history_gone = false;
    co_return Newest(topic);
  }
  if (target.starts_with(platform::kAppendPath))
    co_return Append(topic, request.body());
  if (fault.history_gone)
    co_return Status(http::status::gone, "{\"first\":0}");
  const std::string wait = QueryField(target, "wait-ms");
  co_return co_await Read(topic, std::stoll(QueryField(target, "from")),
                          Millis(wait.empty() ? 0 : std::stoll(wait)));
}

auto PlatformWorld::Newest(const std::string& topic) -> StringResponse {
  const std::vector<Record>& records = topics_[topic];
  std::map<std::string, Json> newest;
  for (size_t i = 0; i < records.size(); ++i) {
    if (records[i].value.empty())
      newest.erase(records[i].key);
    else
      newest[records[i].key] = {{"key", records[i].key},
                                {"value", Base64(records[i].value)},
                                {"offset", i}};
  }
  Json items = Json::array();
  for (const auto& [key, item] : newest)
    items.push_back(item);
  return JsonResponse(
      http::status::ok,
      {{"items", items}, {"has-more", false}, {"end-offset", records.size()}});
}

auto PlatformWorld::Read(const std::string& topic, int64_t from, Millis wait)
    -> asio::awaitable<StringResponse> {
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(wait.count());
  while (true) {
    std::string records;
    int64_t end = 0;
    {
      const std::lock_guard lock(mutex_);
      const std::vector<Record>& kept = topics_[topic];
      end = static_cast<int64_t>(kept.size());
      if (from > end)
        co_return Status(http::status::gone, "{\"first\":0}");
      for (int64_t i = from; i < end; ++i) {
        const Record& record = kept[static_cast<size_t>(i)];
        records += platform::EncodeRecord(record.key, record.value);
      }
    }
    if (!records.empty() || std::chrono::steady_clock::now() >= until)
      co_return Status(http::status::ok,
                       BigEndian(end) + BigEndian(0) + records);
    co_await Sleep(kReadStep);
  }
}

auto PlatformWorld::Append(const std::string& topic, const std::string& body)
    -> StringResponse {
  const Result<KeyedPage> page =
      platform::DecodeRead(std::string(16, '\0') + body, 0);
  if (!page)
    return Status(http::status::bad_request, page.error().detail);
  const std::lock_guard lock(mutex_);
  std::vector<Record>& records = topics_[topic];
  const size_t offset = records.size();
  for (const KeyedRecord& record : page->records)
    records.push_back({record.key, record.value.value_or("")});
  return JsonResponse(http::status::ok,
                      {{"offset", offset}, {"end-offset", records.size()}});
}

auto PlatformWorld::AddTarget(const std::string& name,
                              const std::string& pool,
                              Handler handler,
                              bool reads_body,
                              const std::string& version) -> std::string {
  std::error_code error;
  auto target = std::make_shared<Target>(
      name, pool,
      OpenAcceptor(io_, {asio::ip::make_address("127.0.0.1"), 0}, &error),
      std::move(handler), reads_body);
  const std::string address = FormatAddress(target->acceptor.local_endpoint());
  {
    const std::lock_guard lock(mutex_);
    targets_.push_back(target);
  }
  asio::co_spawn(io_, Accept(target), asio::detached);
  target->version = version;
  ListTarget(name, pool, address, "ready", /*sign_of_life=*/1, version);
  return address;
}

void PlatformWorld::ListTarget(const std::string& name,
                               const std::string& pool,
                               const std::string& address,
                               const std::string& state,
                               int sign_of_life,
                               const std::string& version) {
  const Json record = {{"service", pool},     {"address", address},
                       {"zone", "h"},         {"version", version},
                       {"slots", 4},          {"state", state},
                       {"seq", sign_of_life}, {"cold-left-ms", 0}};
  Put(platform::kTargetsTopic, name, record.dump());
}

auto PlatformWorld::Accept(std::shared_ptr<Target> target)
    -> asio::awaitable<void> {
  while (true) {
    auto [error, socket] = co_await target->acceptor.async_accept(kAwait);
    if (error)
      co_return;
    asio::co_spawn(io_, Serve(target, std::move(socket)), asio::detached);
  }
}

// All its sockets close at once, and nobody listens until it is back.
void PlatformWorld::EndTarget(const std::shared_ptr<Target>& target) {
  if (!target->acceptor.is_open())
    return;
  {
    const std::lock_guard lock(mutex_);
    ++ended_;
  }
  const tcp::endpoint address = target->acceptor.local_endpoint();
  boost::system::error_code ignored;
  target->acceptor.close(ignored);
  for (tcp::socket* socket : target->sockets)
    socket->close(ignored);
  asio::co_spawn(io_, StartAgain(target, address), asio::detached);
}

auto PlatformWorld::StartAgain(std::shared_ptr<Target> target,
                               tcp::endpoint address) -> asio::awaitable<void> {
  co_await Sleep(kRestart);
  const std::string before = target->name;
  std::error_code error;
  target->Listen(OpenAcceptor(io_, address, &error));
  target->name =
      target->first_name + "-life-" + std::to_string(++target->lives);
  asio::co_spawn(io_, Accept(target), asio::detached);
  Put(platform::kTargetsTopic, before, "");
  ListTarget(target->name, target->pool, FormatAddress(address), "ready",
             /*sign_of_life=*/1, target->version);
}

void PlatformWorld::WithTarget(
    const std::string& name,
    const std::function<void(std::shared_ptr<Target>)>& action) {
  std::promise<void> done;
  asio::post(io_, [&] {
    std::shared_ptr<Target> target;
    {
      const std::lock_guard lock(mutex_);
      const auto found = std::ranges::find(targets_, name, &Target::name);
      if (found != targets_.end())
        target = *found;
    }
    if (target)
      action(target);
    done.set_value();
  });
  done.get_future().wait();
}

void PlatformWorld::StopTarget(const std::string& name) {
  WithTarget(name, [](const std::shared_ptr<Target>& target) {
    target->address = target->acceptor.local_endpoint();
    boost::system::error_code ignored;
    target->acceptor.close(ignored);
    for (tcp::socket* socket : target->sockets)
      Reset(socket);
  });
}

void PlatformWorld::StartTarget(const std::string& name) {
  WithTarget(name, [this](const std::shared_ptr<Target>& target) {
    std::error_code error;
    target->Listen(OpenAcceptor(io_, target->address, &error));
    asio::co_spawn(io_, Accept(target), asio::detached);
  });
}

void PlatformWorld::RestartTarget(const std::string& name,
                                  const std::string& version,
                                  Handler handler,
                                  bool recorded) {
  WithTarget(name, [&](const std::shared_ptr<Target>& target) {
    boost::system::error_code ignored;
    for (tcp::socket* socket : target->sockets)
      socket->close(ignored);
    target->version = version;
    target->handler = std::move(handler);
    if (!recorded)
      return;
    ListTarget(name, target->pool,
               FormatAddress(target->acceptor.local_endpoint()), "ready",
               /*sign_of_life=*/1, version);
  });
}

void PlatformWorld::SetCutOff(bool cut_off) {
  std::promise<void> done;
  asio::post(io_, [&] {
    cut_off_ = cut_off;
    for (const std::shared_ptr<Target>& target : targets_) {
      if (cut_off) {
        target->address = target->acceptor.local_endpoint();
        target->acceptor.close();
        continue;
      }
      std::error_code error;
      target->Listen(OpenAcceptor(io_, target->address, &error));
      asio::co_spawn(io_, Accept(target), asio::detached);
    }
    done.set_value();
  });
  done.get_future().wait();
}

auto PlatformWorld::Serve(std::shared_ptr<Target> target, tcp::socket socket)
    -> asio::awaitable<void> {
  beast::flat_buffer buffer;
  target->sockets.insert(&socket);
  const std::shared_ptr<void> leave(
      nullptr, [&](void*) { target->sockets.erase(&socket); });
  for (bool open = true; open;) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(boost::none);
    if (target->reads_body) {
      const auto [error, size] =
          co_await http::async_read(socket, buffer, parser, kAwait);
      resets_ += error == asio::error::connection_reset ? 1 : 0;
      if (error)
        co_return;
    } else {
      const auto [error, size] =
          co_await http::async_read_header(socket, buffer, parser, kAwait);
      if (error)
        co_return;
    }
    if (cut_off_) {
      Reset(&socket);
      co_return;
    }
    SeenRequest seen = ReadSeen(parser.get());
    seen.target = target->name;
    size_t place = 0;
    {
      const std::lock_guard lock(mutex_);
      place = seen_.size();
      seen_.push_back(seen);
    }
    const bool misdirected =
        target->lives > 1 &&
        parser.get()[platform::kExpectedTargetField] != target->name;
    const TargetScript script =
        misdirected ? Misdirected(seen) : target->handler(seen);
    open = co_await PlayScript(script, &socket);
    if (script.end) {
      EndTarget(target);
      co_return;
    }
    if (!open) {
      const std::lock_guard lock(mutex_);
      seen_[place].caller_left = true;
    }
  }
}

auto PlayScript(const TargetScript& script, tcp::socket* socket)
    -> asio::awaitable<bool> {
  for (const std::string& piece : script.pieces) {
    if (script.pause > Millis(0))
      co_await Sleep(script.pause);
    const auto [error, size] =
        co_await asio::async_write(*socket, asio::buffer(piece), kAwait);
    if (error)
      co_return false;
  }
  while (script.endless) {
    co_await Sleep(script.pause);
    const auto [error, size] = co_await asio::async_write(
        *socket, asio::buffer(script.pieces.back()), kAwait);
    if (error)
      co_return false;
  }
  boost::system::error_code ignored;
  if (script.hang) {
    char byte = 0;
    co_await socket->async_read_some(asio::buffer(&byte, 1), kAwait);
    co_return false;
  }
  if (script.reset)
    Reset(socket);
  else if (script.close)
    socket->close(ignored);
  co_return !script.reset && !script.close;
}

auto PlatformWorld::ended() -> int {
  const std::lock_guard lock(mutex_);
  return ended_;
}

auto PlatformWorld::Seen() -> std::vector<SeenRequest> {
  const std::lock_guard lock(mutex_);
  return seen_;
}

auto PlatformWorld::SeenOf(const std::string& id) -> std::vector<SeenRequest> {
  std::vector<SeenRequest> seen = Seen();
  std::erase_if(seen,
                [&](const SeenRequest& request) { return request.id != id; });
  return seen;
}

auto PlatformWorld::StartBox(const std::string& name,
                             const std::string& extra_settings,
                             Millis connect_time,
                             const std::string& program,
                             const std::string& hall) -> Box& {
  boxes_.erase(name);
  const std::string settings = folder_ + "/" + name + ".toml";
  std::ofstream(settings)
      << "name = \"" << name << "\"\nhall = \"" << hall << "\"\n"
      << "seeds = " << Json(seeds_).dump() << "\n"
      << "[listen]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n"
      << "peers = \"127.0.0.1:0\"\npeer_rpc = \"127.0.0.1:0\"\n"
      << "[platform]\nstore = \""
      << (store_proxy_ ? store_proxy_->address() : store_.address()) << "\"\n"
      << "[secrets]\npeer_key = \"a key of the tests' boxes\"\n"
      << "admin_token = \"" << kAdminToken << "\"\n"
      << "[scheduling]\npolicy = \"shared\"\n"
      << "[retry]\nratio = 0.2\nslack = 30\nwindow_s = 10\n"
      << "[limits]\nonce_rest_ms = 1000\nconnect_ms = " << connect_time.count()
      << "\n"
      << extra_settings;
  Box& box = boxes_[name];
  box.log_file = folder_ + "/" + name + ".log";
  fs::remove(box.log_file);  // of an earlier life, which told other addresses
  box.process = std::make_unique<Process>(
      std::vector<std::string>{
          program.empty() ? Cluster::Program("sparbendd") : program, "--config",
          settings},
      box.log_file);
  WaitFor(kWaitTimeout, [&] { return !Events(name, "started").empty(); });
  const std::vector<Json> started = Events(name, "started");
  if (!started.empty()) {
    box.callers = started.back().at("callers");
    box.admin = started.back().at("admin");
  }
  return box;
}

auto PlatformWorld::WaitReady(const std::string& name, bool ready) -> bool {
  return WaitFor(kWaitTimeout, [&] {
    const Reply reply = Call(boxes_.at(name).admin, "GET", "/readyz", "");
    return (reply.status == 200) == ready;
  });
}

auto PlatformWorld::Events(const std::string& name, const std::string& event)
    -> std::vector<Json> {
  std::vector<Json> events;
  std::ifstream log(boxes_.at(name).log_file);
  for (std::string line; std::getline(log, line);) {
    const Result<Json> json = ParseJson(line, SIZE_MAX);
    if (json && json->is_object() && json->value("event", "") == event)
      events.push_back(*json);
  }
  return events;
}

auto ReadSeen(const http::request<http::string_body>& request) -> SeenRequest {
  SeenRequest seen;
  seen.path = request.target();
  seen.body = request.body();
  for (const auto& field : request) {
    std::string name(field.name_string());
    std::ranges::transform(name, name.begin(), ::tolower);
    seen.fields[name] = field.value();
  }
  seen.id = request[platform::kAttemptIdField];
  return seen;
}

auto GoodAnswer(const SeenRequest& request, const std::string& body)
    -> std::string {
  return "HTTP/1.1 200 OK\r\n" + std::string(platform::kAttemptIdField) + ": " +
         request.id + "\r\n" + platform::kSignatureField +
         ": s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

auto AnswerHead(const SeenRequest& request,
                Framing framing,
                size_t size,
                const std::string& fields) -> std::string {
  std::string head =
      "HTTP/1.1 200 OK\r\n" + std::string(platform::kAttemptIdField) + ": " +
      request.id + "\r\n" + platform::kSignatureField + ": s\r\n" + fields;
  if (framing == Framing::kLength)
    head += "Content-Length: " + std::to_string(size) + "\r\n";
  if (framing == Framing::kChunked)
    head += "Transfer-Encoding: chunked\r\n";
  return head + "\r\n";
}

auto FramedPiece(Framing framing, const std::string& piece) -> std::string {
  if (framing != Framing::kChunked || piece.empty())
    return piece;
  std::ostringstream size;
  size << std::hex << piece.size();
  return size.str() + "\r\n" + piece + "\r\n";
}

auto FramedEnd(Framing framing) -> std::string {
  return framing == Framing::kChunked ? "0\r\n\r\n" : "";
}

auto StreamHead(const SeenRequest& request) -> std::string {
  return AnswerHead(request, Framing::kChunked, 0,
                    "Content-Type: text/event-stream\r\n");
}

auto StreamEvent(int id) -> std::string {
  return FramedPiece(Framing::kChunked, "id: " + std::to_string(id) +
                                            "\ndata: piece" +
                                            std::to_string(id) + "\n\n");
}

auto StreamEnd() -> std::string {
  return FramedEnd(Framing::kChunked);
}

}  // namespace sparbend::testing
