// A workspace is instantiated in two steps. First the parameters are bound: the
// given value or else the default, with type and bounds checked. Then the body
// of the template is copied with each "$name" replaced by its value, and the
// copy is read like any other table. Values are substituted as a whole, not as
// text, so they keep their types ("$share" becomes a number) and can't inject
// further fields.
//
// The texts of problems are part of the replicated state (Decision::cause in
// config_fold.h): boxes whose texts differ compute different digests.
#include "sparbend/core/catalog.h"

#include <algorithm>

namespace sparbend {
namespace {

constexpr int64_t kMaxShare = 1'000'000;
constexpr int64_t kMaxWeight = 1'000;
constexpr int64_t kMaxCallCost = 1'000'000;
constexpr Range kQueueRequestsRange = {1, 100'000};
constexpr Range kQueueBytesRange = {1'024, 1'073'741'824};
constexpr Range kQueueTimeMsRange = {1, 3'600'000};
constexpr int64_t kDefaultQueueRequests = 256;
constexpr int64_t kDefaultQueueBytes = 8'388'608;
constexpr int64_t kDefaultQueueTimeMs = 30'000;
constexpr size_t kSha256HexLength = 64;

auto TypeMatches(const std::string& type, const Json& value) -> bool {
  if (type == "integer")
    return value.is_number_integer();
  if (type == "string")
    return value.is_string();
  if (type == "boolean")
    return value.is_boolean();
  const auto is_string = [](const Json& item) { return item.is_string(); };
  return type == "strings" && value.is_array() &&
         std::ranges::all_of(value, is_string);
}

// Checks a parameter's declaration, and `value` against it unless it is null.
void CheckParameter(const Json& declaration,
                    const Json* value,
                    const std::string& declared_at,
                    const std::string& given_at,
                    std::vector<Problem>* problems) {
  FieldReader reader(declaration, declared_at, problems);
  const std::string type = reader.RequiredString("type");
  const int64_t min = reader.Integer("min", {INT64_MIN, INT64_MAX}, INT64_MIN);
  const int64_t max = reader.Integer("max", {INT64_MIN, INT64_MAX}, INT64_MAX);
  const std::vector<std::string> one_of = reader.Strings("one_of");
  reader.Any("default");
  reader.Finish();
  if (value == nullptr)
    return;
  if (!TypeMatches(type, *value)) {
    problems->push_back({given_at, "must be of type " + type, ""});
    return;
  }
  if (type == "integer" &&
      (value->get<int64_t>() < min || value->get<int64_t>() > max)) {
    problems->push_back(
        {given_at, "is out of bounds",
         "from " + std::to_string(min) + " to " + std::to_string(max)});
  }
  if (type == "string" && !one_of.empty() &&
      std::ranges::find(one_of, value->get<std::string>()) == one_of.end()) {
    problems->push_back({given_at, "is not one of the allowed values", ""});
  }
}

// Returns the value of each parameter: the given one, or else the default.
auto BindParameters(const Json& declared,
                    const Json& given,
                    const std::string& path,
                    std::vector<Problem>* problems) -> Json {
  Json bound = Json::object();
  for (const auto& [name, declaration] : declared.items()) {
    const Json* value = nullptr;
    if (given.contains(name))
      value = &given.at(name);
    else if (declaration.is_object() && declaration.contains("default"))
      value = &declaration.at("default");
    const std::string at = path + ".parameters." + name;
    CheckParameter(declaration, value, "template.parameters." + name, at,
                   problems);
    if (value != nullptr)
      bound[name] = *value;
    else
      problems->push_back({at, "has no value and no default", "give one"});
  }
  for (const auto& [name, value] : given.items()) {
    if (!declared.contains(name))
      problems->push_back(
          {path + ".parameters." + name, "is not a parameter", ""});
  }
  return bound;
}

// Returns a copy of `body` with each "$name" replaced by its bound value. A
// name that is not bound stays as text.
auto Substitute(const Json& body, const Json& bound) -> Json {
  if (body.is_string()) {
    const std::string text = body.get<std::string>();
    const bool is_parameter =
        text.starts_with("$") && bound.contains(text.substr(1));
    return is_parameter ? bound.at(text.substr(1)) : body;
  }
  if (!body.is_structured())
    return body;
  Json copy = body;
  for (Json& item : copy)
    item = Substitute(item, bound);
  return copy;
}

// Returns the table `name` of a template, or an empty table if either is not a
// table. CheckTemplate reports such a template.
auto TableOrEmpty(const Json& content, const char* name) -> Json {
  const bool is_table = content.is_object() && content.contains(name) &&
                        content.at(name).is_object();
  return is_table ? content.at(name) : Json::object();
}

auto ReadOnceRule(const Json& table,
                  const std::string& path,
                  std::vector<Problem>* problems) -> OnceRule {
  FieldReader reader(table, path, problems);
  OnceRule rule;
  rule.method = reader.String("method", "");
  rule.path_prefix = reader.String("path_prefix", "");
  rule.model = reader.String("model", "");
  reader.Finish();
  return rule;
}

void ReadBody(const Json& body,
              const std::string& path,
              Workspace* workspace,
              std::vector<Problem>* problems) {
  FieldReader reader(body, path, problems);
  workspace->share = reader.Integer("share", {1, kMaxShare}, 1);
  workspace->halls = reader.Strings("halls");
  workspace->pools = reader.Strings("pools");
  workspace->queue_requests = reader.Integer(
      "queue_requests", kQueueRequestsRange, kDefaultQueueRequests);
  workspace->queue_bytes =
      reader.Integer("queue_bytes", kQueueBytesRange, kDefaultQueueBytes);
  workspace->queue_time = Millis(
      reader.Integer("queue_time_ms", kQueueTimeMsRange, kDefaultQueueTimeMs));
  for (const Json* rule : reader.Objects("once"))
    workspace->once.push_back(
        ReadOnceRule(*rule, reader.PathOf("once"), problems));
  if (workspace->halls.empty())
    reader.Report("halls", "names no hall", "say where it may be served");
  if (workspace->pools.empty())
    reader.Report("pools", "names no pool", "");
  reader.Finish();
}

}  // namespace

Catalog::Catalog(Pools pools, Workspaces workspaces)
    : Catalog(std::move(pools), std::move(workspaces), {}, {}) {}

Catalog::Catalog(Pools pools,
                 Workspaces workspaces,
                 RouteTable routes,
                 ClientLimits limits)
    : pools_(std::move(pools)),
      workspaces_(std::move(workspaces)),
      routes_(std::move(routes)),
      limits_(limits) {
  for (const auto& [name, workspace] : workspaces_) {
    workspace_by_number_[workspace.number] = name;
    for (const std::string& key : workspace.keys_sha256)
      workspace_by_key_[key] = name;
  }
}

auto Catalog::FindPool(const std::string& name) const -> const Pool* {
  const auto found = pools_.find(name);
  return found == pools_.end() ? nullptr : &found->second;
}

auto Catalog::FindWorkspace(const std::string& name) const -> const Workspace* {
  const auto found = workspaces_.find(name);
  return found == workspaces_.end() ? nullptr : &found->second;
}

auto Catalog::FindWorkspace(uint32_t number) const -> const Workspace* {
  const auto found = workspace_by_number_.find(number);
  return found == workspace_by_number_.end() ? nullptr
                                             : FindWorkspace(found->second);
}

auto Catalog::FindWorkspaceByKey(const std::string& key_sha256) const
    -> const Workspace* {
  const auto found = workspace_by_key_.find(key_sha256);
  return found == workspace_by_key_.end() ? nullptr
                                          : FindWorkspace(found->second);
}

auto Catalog::FindPoolByModel(const std::string& model) const -> const Pool* {
  for (const auto& [name, pool] : pools_) {
    if (std::ranges::find(pool.models, model) != pool.models.end())
      return &pool;
  }
  return nullptr;
}

auto Catalog::FindPoolByPath(std::string_view path) const -> const Pool* {
  for (const auto& [name, pool] : pools_) {
    if (!pool.path_prefix.empty() && path.starts_with(pool.path_prefix))
      return &pool;
  }
  return nullptr;
}

auto MayBeServedIn(const Workspace& workspace, const std::string& hall)
    -> bool {
  return workspace.halls.empty() ||
         std::ranges::find(workspace.halls, hall) != workspace.halls.end();
}

auto ReadPool(const std::string& name,
              const Json& content,
              const std::string& path,
              std::vector<Problem>* problems) -> Pool {
  FieldReader reader(content, path, problems);
  Pool pool;
  pool.name = name;
  const std::string kind = reader.RequiredString("kind");
  if (kind != "engine" && kind != "service")
    reader.Report("kind", "is neither \"engine\" nor \"service\"", "");
  pool.kind = kind == "service" ? PoolKind::kService : PoolKind::kEngine;
  pool.models = reader.Strings("models");
  pool.path_prefix = reader.String("path_prefix", "");
  pool.input_weight = reader.Integer("input_weight", {0, kMaxWeight}, 1);
  pool.output_weight = reader.Integer("output_weight", {1, kMaxWeight}, 1);
  pool.call_cost = reader.Integer("call_cost", {1, kMaxCallCost}, 1);
  pool.can_resume = reader.Bool("can_resume", false);
  if (pool.kind == PoolKind::kService && !pool.path_prefix.starts_with("/"))
    reader.Report("path_prefix", "must begin with /", "");
  if (pool.kind == PoolKind::kEngine && pool.models.empty())
    reader.Report("models", "names no model", "");
  reader.Finish();
  return pool;
}

void CheckTemplate(const Json& content,
                   const std::string& path,
                   std::vector<Problem>* problems) {
  FieldReader reader(content, path, problems);
  const Json* parameters = reader.Object("parameters");
  if (reader.Object("workspace") == nullptr)
    reader.Report("workspace", "is missing", "add the table");
  reader.Finish();
  if (parameters == nullptr)
    return;
  for (const auto& [name, declaration] : parameters->items()) {
    const std::string at = path + ".parameters." + name;
    const bool has_default =
        declaration.is_object() && declaration.contains("default");
    CheckParameter(declaration,
                   has_default ? &declaration.at("default") : nullptr, at,
                   at + ".default", problems);
  }
}

auto ReadWorkspace(const std::string& name,
                   const Json& content,
                   const Json& template_content,
                   const std::string& path,
                   std::vector<Problem>* problems) -> Workspace {
  FieldReader reader(content, path, problems);
  Workspace workspace;
  workspace.name = name;
  reader.RequiredString("template");
  workspace.keys_sha256 = reader.Strings("keys_sha256");
  for (const std::string& key : workspace.keys_sha256) {
    if (key.size() != kSha256HexLength)
      reader.Report("keys_sha256", "holds something that is no SHA-256",
                    "64 hexadecimal digits");
  }
  const Json* given = reader.Object("parameters");
  reader.Finish();
  const Json empty = Json::object();
  const Json declared = TableOrEmpty(template_content, "parameters");
  const Json bound = BindParameters(declared, given == nullptr ? empty : *given,
                                    path, problems);
  const Json body =
      Substitute(TableOrEmpty(template_content, "workspace"), bound);
  ReadBody(body, path, &workspace, problems);
  return workspace;
}

auto Matches(const OnceRule& rule,
             std::string_view method,
             std::string_view path,
             std::string_view model) -> bool {
  return (rule.method.empty() || rule.method == method) &&
         (rule.path_prefix.empty() || path.starts_with(rule.path_prefix)) &&
         (rule.model.empty() || rule.model == model);
}

}  // namespace sparbend
