#include "testing/harness.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "sparbend/core/config_fold.h"
#include "sparbend/kernel/rpc.h"

namespace sparbend::testing {
namespace {

namespace fs = std::filesystem;
using SteadyClock = std::chrono::steady_clock;

constexpr Millis kStartPatience = Millis(20'000);
constexpr std::chrono::milliseconds kLook(5);

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// The first line of `path` that is a JSON object with `field`.
auto FindLine(const std::string& path,
              const std::string& field,
              const std::string& value) -> std::optional<Json> {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    const Result<Json> parsed = ParseJson(line, SIZE_MAX);
    if (parsed && parsed->is_object() && parsed->contains(field) &&
        (value.empty() || parsed->at(field) == value))
      return *parsed;
  }
  return std::nullopt;
}

void Exec(const std::vector<std::string>& arguments,
          const std::string& output) {
  // The child must not outlive the tests, however they end.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  const int nothing = open("/dev/null", O_RDONLY);
  dup2(nothing, STDIN_FILENO);
  std::vector<char*> argv;
  for (const std::string& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  execv(argv[0], argv.data());
  _exit(127);
}

}  // namespace

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& output) {
  pid_ = fork();
  if (pid_ == 0)
    Exec(arguments, output);
}

Process::~Process() {
  if (exit_code_ || pid_ <= 0)
    return;
  kill(pid_, SIGKILL);
  kill(pid_, SIGCONT);
  waitpid(pid_, nullptr, 0);
}

void Process::Signal(int signal) {
  if (!exit_code_)
    kill(pid_, signal);
}

auto Process::Wait(Millis patience) -> std::optional<int> {
  WaitFor(patience, [this] {
    int status = 0;
    if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_)
      exit_code_ =
          WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return exit_code_.has_value();
  });
  return exit_code_;
}

auto Process::cpu_seconds() const -> double {
  const std::string stat = ReadFile("/proc/" + std::to_string(pid_) + "/stat");
  const size_t after_name = stat.rfind(')');
  if (after_name == std::string::npos)
    return 0;
  std::istringstream fields(stat.substr(after_name + 2));
  std::string skipped;
  constexpr int kFieldsBeforeTimes = 11;
  for (int i = 0; i < kFieldsBeforeTimes; ++i)
    fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

auto Process::resident_bytes() const -> int64_t {
  std::istringstream fields(
      ReadFile("/proc/" + std::to_string(pid_) + "/statm"));
  int64_t size = 0;
  int64_t resident = 0;
  fields >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

auto Call(const std::string& address,
          const std::string& method,
          const std::string& target,
          const std::string& body,
          const std::map<std::string, std::string>& fields,
          Millis patience) -> Reply {
  asio::io_context io;
  Reply reply;
  const auto exchange = [&]() -> asio::awaitable<void> {
    beast::tcp_stream stream(io);
    stream.expires_after(std::chrono::milliseconds(patience.count()));
    const auto [unconnected] =
        co_await stream.async_connect(*ParseAddress(address), kAwait);
    if (unconnected)
      co_return;
    StringRequest request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, address);
    request.set(http::field::user_agent, "harness");
    request.keep_alive(false);
    for (const auto& [name, value] : fields)
      request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    const auto [unsent, sent] =
        co_await http::async_write(stream, request, kAwait);
    if (unsent)
      co_return;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    const auto [error, size] =
        co_await http::async_read(stream, buffer, parser, kAwait);
    if (error)
      co_return;
    reply.status = static_cast<int>(parser.get().result_int());
    reply.body = parser.get().body();
    for (const auto& field : parser.get()) {
      std::string name(field.name_string());
      std::ranges::transform(name, name.begin(), ::tolower);
      reply.fields[name] = field.value();
    }
  };
  asio::co_spawn(io, exchange(), asio::detached);
  io.run();
  return reply;
}

auto WaitFor(Millis patience, const std::function<bool()>& condition) -> bool {
  const auto give_up =
      SteadyClock::now() + std::chrono::milliseconds(patience.count());
  while (!condition()) {
    if (SteadyClock::now() >= give_up)
      return false;
    std::this_thread::sleep_for(kLook);
  }
  return true;
}

auto Cluster::Program(const std::string& name) -> std::string {
  return (fs::read_symlink("/proc/self/exe").parent_path() / name).string();
}

Cluster::Cluster(ClusterOptions options) : options_(std::move(options)) {
  folder_ = (fs::read_symlink("/proc/self/exe").parent_path() / "run" /
             (options_.name + "-" + std::to_string(getpid())))
                .string();
  fs::remove_all(folder_);
  fs::create_directories(folder_);
  if (options_.peer_net) {
    peer_net_ = std::make_unique<PeerNet>();
    peer_net_->SetDelay(options_.hall_delay);
  }
  const std::string output = folder_ + "/standin.log";
  standin_ = std::make_unique<Process>(
      std::vector<std::string>{Program("sparbend-standin")}, output);
  WaitFor(kStartPatience, [&] {
    const auto line = FindLine(output, "address", "");
    if (line)
      platform_ = line->at("address").get<std::string>();
    return line.has_value();
  });
}

Cluster::~Cluster() {
  // Boxes first, so that none logs an outage that is only the end.
  boxes_.clear();
  standin_.reset();
}

auto Cluster::Control(const std::string& path, const Json& body) -> Json {
  const bool reads = path.starts_with("runs") || path == "service" ||
                     path == "bytes" || path == "appends";
  const Reply reply = Call(platform_, reads ? "GET" : "POST",
                           "/control/" + path, reads ? "" : body.dump());
  const Result<Json> answer = ParseJson(reply.body, SIZE_MAX);
  return answer ? *answer : Json();
}

auto Cluster::AddTarget(const Json& body) -> std::string {
  return Control("target", body).value("address", "");
}

void Cluster::Publish(const std::map<std::string, Json>& documents) {
  Json records = Json::array();
  for (const auto& [document, content] : documents) {
    Change change;
    change.id = "published-" + std::to_string(++published_);
    change.document = document;
    change.author = "harness";
    change.content = content;
    records.push_back(EncodeChange(change));
  }
  const Json body = {{"records", records}};
  Call(platform_, "POST", "/log/config", body.dump());
}

auto Cluster::WriteSettings(const std::string& name, const std::string& hall)
    -> std::string {
  const std::string path = folder_ + "/" + name + ".toml";
  std::ofstream file(path);
  file << "name = \"" << name << "\"\nhall = \"" << hall << "\"\n"
       << "[listen]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n"
       << "peers = \"127.0.0.1:0\"\n"
       << "[platform]\nlog = \"" << platform_ << "\"\nlist = \"" << platform_
       << "\"\n"
       << "[secrets]\npeer_key = \"" << kPeerKey << "\"\nadmin_token = \""
       << kAdminToken << "\"\n"
       << "[scheduling]\npolicy = \"" << options_.policy << "\"\n"
       << options_.extra_settings;
  return path;
}

void Cluster::StartBox(const std::string& name, const std::string& hall) {
  Box& box = boxes_[name];
  box.name = name;
  box.hall = hall;
  box.log_file = folder_ + "/" + name + ".log";
  const std::string settings = WriteSettings(name, hall);
  box.process = std::make_unique<Process>(
      std::vector<std::string>{Program("sparbendd"), "--config", settings},
      box.log_file);
  WaitFor(kStartPatience, [&] {
    const auto line = FindLine(box.log_file, "event", "started");
    if (!line)
      return false;
    box.callers = line->at("callers").get<std::string>();
    box.admin = line->at("admin").get<std::string>();
    box.peers = line->at("peers").get<std::string>();
    return true;
  });
  const std::string shown =
      peer_net_ ? peer_net_->Add(name, hall, box.peers) : box.peers;
  Control("box", {{"name", name},
                  {"hall", hall},
                  {"peers", shown},
                  {"admin", box.admin},
                  {"state", "live"}});
}

auto Cluster::ReadyNow(const std::string& name) -> bool {
  return Call(box(name).admin, "GET", "/readyz", "").status == 200;
}

auto Cluster::WaitReady(Millis patience) -> bool {
  return WaitFor(patience, [this] {
    return std::ranges::all_of(
        boxes_, [this](const auto& entry) { return ReadyNow(entry.first); });
  });
}

auto Cluster::caller_addresses() const -> std::vector<std::string> {
  std::vector<std::string> addresses;
  for (const auto& [name, box] : boxes_)
    addresses.push_back(box.callers);
  return addresses;
}

auto Cluster::Rpc(const std::string& name,
                  const std::string& method,
                  const Json& params) -> Json {
  const Reply reply = Call(
      box(name).admin, "POST", "/rpc", EncodeRpcRequest(method, params.dump()),
      {{"Authorization", std::string("Bearer ") + kAdminToken}});
  const Result<Json> answer = ParseJson(reply.body, SIZE_MAX);
  return answer && answer->is_object() && answer->contains("result")
             ? answer->at("result")
             : Json();
}

auto Cluster::Metric(const std::string& name, const std::string& metric)
    -> double {
  std::istringstream lines(Call(box(name).admin, "GET", "/metrics", "").body);
  std::string line;
  double sum = 0;
  while (std::getline(lines, line)) {
    const bool own =
        line.starts_with(metric + " ") || line.starts_with(metric + "{");
    if (own)
      sum += std::stod(line.substr(line.rfind(' ') + 1));
  }
  return sum;
}

auto Cluster::RunProgram(const std::vector<std::string>& arguments,
                         Millis patience) -> Finished {
  const std::string output =
      folder_ + "/program-" + std::to_string(++programs_) + ".log";
  Process process(arguments, output);
  const std::optional<int> code = process.Wait(patience);
  return {code.value_or(-1), ReadFile(output)};
}

}  // namespace sparbend::testing
