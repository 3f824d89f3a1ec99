// TOML is converted to JSON first, so that settings and configuration documents
// are checked by the same FieldReader. Line numbers are kept separately, by
// path.
#include "sparbend/kernel/settings.h"

#include <cmath>
#include <sstream>

#include <toml++/toml.h>

#include "sparbend/kernel/http.h"

namespace sparbend {
namespace {

constexpr Range kMillisRange = {1, 86'400'000};
constexpr size_t kMinSecretBytes = 16;
// A planned stop ends this long before its grace period, so that the process is
// not killed.
constexpr Millis kGraceMargin = Millis(500);

void CollectLines(const toml::node& node,
                  const std::string& path,
                  std::map<std::string, int>* lines) {
  (*lines)[path] = static_cast<int>(node.source().begin.line);
  if (const toml::table* table = node.as_table()) {
    for (const auto& [key, child] : *table) {
      const std::string name(key.str());
      CollectLines(child, path.empty() ? name : path + "." + name, lines);
      // For dotted tables, the line of the key is closer than that of the
      // value.
      (*lines)[path.empty() ? name : path + "." + name] =
          static_cast<int>(key.source().begin.line);
    }
  }
}

void ReadAddress(FieldReader* reader, const char* name, std::string* address) {
  *address = reader->RequiredString(name);
  if (!address->empty() && !ParseAddress(*address))
    reader->Report(name, "is not an address",
                   "IP:PORT, such as 127.0.0.1:8080");
}

void ReadSecret(FieldReader* reader,
                const char* name,
                bool required,
                std::string* secret) {
  *secret = required ? reader->RequiredString(name) : reader->String(name, "");
  if (!secret->empty() && secret->size() < kMinSecretBytes)
    reader->Report(name, "is too short", "at least 16 characters");
}

auto ReadMillis(FieldReader* reader, const char* name, int64_t fallback)
    -> Millis {
  return Millis(reader->Integer(name, kMillisRange, fallback));
}

// Reads a number of seconds, with or without a fraction; 0 if absent.
auto ReadSeconds(FieldReader* reader, const char* name) -> Millis {
  constexpr double kMaxSeconds = 86'400;
  constexpr double kMillisPerSecond = 1'000;
  return Millis(
      std::llround(reader->Number(name, kMaxSeconds, 0) * kMillisPerSecond));
}

constexpr double kMaxCores = 1'000;
constexpr double kMillicoresPerCore = 1'000;

// Returns the number of client connections for which the memory of the process
// suffices; no limit if `memory_mb` is zero.
auto ConnectionsWithin(int64_t memory_mb) -> int64_t {
  // The process without clients takes 15 MB; the rest is for tables and
  // buffers.
  constexpr int64_t kBaseMemoryMb = 48;
  // A request of usual size and its answer in transit, with unread bytes.
  constexpr int64_t kMemoryPerConnectionKb = 80;
  if (memory_mb == 0)
    return INT64_MAX;
  return std::max<int64_t>(
      64, (memory_mb - kBaseMemoryMb) * 1'024 / kMemoryPerConnectionKb);
}

void ReadLimits(FieldReader* reader, Settings* settings) {
  settings->connections = reader->Integer("connections", {1, 100'000}, 4'096);
  settings->memory_mb = reader->Integer("memory_mb", {0, 1'000'000}, 0);
  settings->connections =
      std::min(settings->connections, ConnectionsWithin(settings->memory_mb));
  settings->max_fds = reader->Integer("max_fds", {0, 1'000'000'000}, 0);
  settings->processor = static_cast<int>(std::llround(
      reader->Number("processor", kMaxCores, 0) * kMillicoresPerCore));
  settings->header_bytes =
      reader->Integer("header_bytes", {1'024, 1 << 20}, 16'384);
  settings->body_bytes =
      reader->Integer("body_bytes", {1'024, 1 << 30}, 4 << 20);
  settings->queue.requests =
      reader->Integer("queue_requests", {1, 1'000'000}, 20'000);
  settings->queue.bytes =
      reader->Integer("queue_bytes", {1'024, INT64_MAX}, 64 << 20);
  settings->idle_time = ReadMillis(reader, "idle_ms", 60'000);
  settings->receive_time = ReadMillis(reader, "receive_ms", 10'000);
  settings->send_time = ReadMillis(reader, "send_ms", 30'000);
  settings->request_time = ReadMillis(reader, "request_ms", 600'000);
  settings->connect_time = ReadMillis(reader, "connect_ms", 1'000);
  settings->target_drain =
      Millis(reader->Integer("target_drain_ms", {0, 86'400'000}, 0));
  settings->response_stall_timeout = ReadMillis(reader, "silence_ms", 120'000);
  settings->drain_time = ReadMillis(reader, "drain_ms", 300'000);
  settings->target_idle_time = ReadMillis(reader, "rest_ms", 60'000);
  settings->once_target_idle_time =
      Millis(reader->Integer("once_rest_ms", {0, 86'400'000}, 0));
  settings->drain_notice = ReadMillis(reader, "drain_notice_ms", 200);
  const Millis grace = ReadSeconds(reader, "grace_s");
  if (grace > Millis(0))
    settings->drain_time = std::max(Millis(1), grace - kGraceMargin);
}

// Reads the address of the platform's store, or else those of the separate
// configuration log and target list, which it replaces.
void ReadPlatform(FieldReader* platform, Settings* settings) {
  settings->store_address = platform->String("store", "");
  if (settings->store_address.empty()) {
    ReadAddress(platform, "log", &settings->log_address);
    ReadAddress(platform, "list", &settings->list_address);
    return;
  }
  if (!ParseAddress(settings->store_address))
    platform->Report("store", "is not an address",
                     "IP:PORT, such as 127.0.0.1:8080");
  if (platform->Any("log") != nullptr || platform->Any("list") != nullptr)
    platform->Report("store", "replaces log and list, which must be absent",
                     "");
}

void ReadSeeds(FieldReader* reader, Settings* settings) {
  settings->seeds = reader->Strings("seeds");
  for (const std::string& seed : settings->seeds) {
    if (!ParseAddress(seed))
      reader->Report("seeds", "holds an entry that is not an address",
                     "IP:PORT");
  }
}

void ReadRetryLimits(FieldReader* retry, Settings* settings) {
  constexpr double kMaxRatio = 10;
  constexpr double kMaxSlack = 1'000'000;
  settings->retry_limits.ratio = retry->Number("ratio", kMaxRatio, 0);
  settings->retry_limits.slack = retry->Number("slack", kMaxSlack, 0);
  settings->retry_limits.window = ReadSeconds(retry, "window_s");
}

// Reads table `name` with `read`. A missing table is read as an empty one, so
// that its required fields are reported.
void ReadTable(FieldReader* parent,
               const char* name,
               std::vector<Problem>* problems,
               const std::function<void(FieldReader*)>& read) {
  const Json* table = parent->Object(name);
  const Json empty = Json::object();
  FieldReader reader(table == nullptr ? empty : *table, name, problems);
  read(&reader);
  reader.Finish();
}

auto ReadSettings(const Json& root, std::vector<Problem>* problems)
    -> Settings {
  Settings settings;
  FieldReader reader(root, "", problems);
  settings.name = reader.RequiredString("name");
  settings.hall = reader.RequiredString("hall");
  ReadTable(&reader, "listen", problems, [&](FieldReader* listen) {
    ReadAddress(listen, "callers", &settings.client_address);
    ReadAddress(listen, "admin", &settings.admin_address);
    ReadAddress(listen, "peers", &settings.peer_address);
    settings.peer_rpc_address = listen->String("peer_rpc", "");
    if (!settings.peer_rpc_address.empty() &&
        !ParseAddress(settings.peer_rpc_address))
      listen->Report("peer_rpc", "is not an address", "IP:PORT");
  });
  ReadSeeds(&reader, &settings);
  ReadTable(&reader, "platform", problems,
            [&](FieldReader* platform) { ReadPlatform(platform, &settings); });
  ReadTable(&reader, "secrets", problems, [&](FieldReader* secrets) {
    ReadSecret(secrets, "peer_key", true, &settings.peer_key);
    // Without a token operators can't call a box.
    ReadSecret(secrets, "admin_token", settings.store_address.empty(),
               &settings.admin_token);
  });
  ReadTable(&reader, "scheduling", problems, [&](FieldReader* scheduling) {
    const std::string policy = scheduling->String("policy", "hybrid");
    if (const auto parsed = ParsePolicy(policy))
      settings.policy = *parsed;
    else
      scheduling->Report("policy", "is not a known policy",
                         "hybrid, grants, leases, independent or shared");
    settings.queue.admission = scheduling->Bool("admission", false);
  });
  ReadTable(&reader, "retry", problems,
            [&](FieldReader* retry) { ReadRetryLimits(retry, &settings); });
  ReadTable(&reader, "log", problems, [&](FieldReader* log) {
    settings.log_level = log->String("level", "info");
  });
  ReadTable(&reader, "limits", problems,
            [&](FieldReader* limits) { ReadLimits(limits, &settings); });
  reader.Finish();
  return settings;
}

}  // namespace

auto ReadToml(const std::string& path) -> Result<TomlFile> {
  toml::table table;
  try {
    table = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    const auto line = error.source().begin.line;
    return MakeError(line == 0 ? Errc::kUnreachable : Errc::kMalformed,
                     path + ":" + std::to_string(line) + ": " +
                         std::string(error.description()));
  }
  std::ostringstream text;
  text << toml::json_formatter(table);
  Result<Json> root = ParseJson(text.str(), SIZE_MAX);
  if (!root)
    return root.error();
  TomlFile file{std::move(*root), {}};
  CollectLines(table, "", &file.lines);
  return file;
}

auto FormatProblem(const std::string& path,
                   const TomlFile& file,
                   const Problem& problem) -> std::string {
  std::string path_with_line = problem.path;
  while (!path_with_line.empty() && !file.lines.contains(path_with_line)) {
    const size_t dot = path_with_line.rfind('.');
    path_with_line =
        dot == std::string::npos ? "" : path_with_line.substr(0, dot);
  }
  const auto line = file.lines.find(path_with_line);
  std::string text = path + ":";
  if (line != file.lines.end())
    text += std::to_string(std::max(1, line->second)) + ":";
  text += " " + problem.path + " " + problem.message;
  return problem.hint.empty() ? text : text + " (" + problem.hint + ")";
}

auto LoadSettings(const std::string& path) -> Result<Settings> {
  const Result<TomlFile> file = ReadToml(path);
  if (!file)
    return file.error();
  std::vector<Problem> problems;
  Settings settings = ReadSettings(file->root, &problems);
  settings.path = path;
  if (problems.empty())
    return settings;
  std::string detail;
  for (const Problem& problem : problems)
    detail += FormatProblem(path, *file, problem) + "\n";
  return MakeError(Errc::kInvalid, detail);
}

}  // namespace sparbend
