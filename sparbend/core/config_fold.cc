// Invariants: state depends on nothing but the records applied, in order;
// next_offset only rises; documents_ is always a valid set (each workspace's
// template exists and accepts its parameters), because a change that would
// make it invalid is rejected. Validity is checked against the whole set and
// not the document alone: removing a template in use must be refused by all.
//
// The catalog is rebuilt from all documents after each accepted change. That
// is the simple way; docs/CAPACITY.md has the measured cost at full size.
#include "sparbend/core/config_fold.h"

#include <algorithm>
#include <array>

#include "sparbend/core/digest.h"

namespace sparbend {
namespace {

constexpr size_t kDecisionsKept = 4'096;
constexpr std::string_view kPoolPrefix = "pool/";
constexpr std::string_view kTemplatePrefix = "template/";
constexpr std::string_view kWorkspacePrefix = "workspace/";
constexpr std::string_view kSnapshotField = "snapshot";

constexpr std::array<std::string_view, 6> kOutcomeNames = {
    "accepted", "stale-base", "invalid", "repeated", "malformed", "snapshot"};

auto NameOf(const std::string& document) -> std::string {
  return document.substr(document.find('/') + 1);
}

auto KindIs(const std::string& document, std::string_view prefix) -> bool {
  return document.starts_with(prefix) && document.size() > prefix.size();
}

auto TemplateOf(const Json& workspace) -> std::string {
  const bool named = workspace.is_object() && workspace.contains("template") &&
                     workspace.at("template").is_string();
  return named ? std::string(kTemplatePrefix) +
                     workspace.at("template").get<std::string>()
               : "";
}

// A model or path must lead to one pool only.
void CheckPool(const std::string& name,
               const Json& content,
               const std::string& path,
               const Catalog& catalog,
               std::vector<Problem>* problems) {
  const Pool pool = ReadPool(name, content, path, problems);
  for (const auto& [other_name, other] : catalog.pools()) {
    if (other_name == name)
      continue;
    for (const std::string& model : pool.models) {
      if (std::ranges::find(other.models, model) != other.models.end())
        problems->push_back(
            {path + ".models",
             "names " + model + ", served by pool " + other_name,
             "a model belongs to one pool"});
    }
    if (!pool.path_prefix.empty() && pool.path_prefix == other.path_prefix)
      problems->push_back(
          {path + ".path_prefix", "is that of pool " + other_name, ""});
  }
}

// A key must lead to one workspace only.
void CheckWorkspace(const std::string& name,
                    const Json& content,
                    const Json& made_from,
                    const std::string& path,
                    const Catalog& catalog,
                    std::vector<Problem>* problems) {
  const Workspace workspace =
      ReadWorkspace(name, content, made_from, path, problems);
  for (const std::string& key : workspace.keys_sha256) {
    const Workspace* holder = catalog.WorkspaceOfKey(key);
    if (holder != nullptr && holder->name != name)
      problems->push_back({path + ".keys_sha256",
                           "holds a key of workspace " + holder->name,
                           "each key belongs to one workspace"});
  }
}

auto ToJson(const Decision& decision) -> Json {
  return Json::array({decision.offset, static_cast<int>(decision.outcome),
                      decision.change_id, decision.document, decision.author,
                      decision.reason, decision.cause, decision.revision});
}

auto DecisionFrom(const Json& json) -> Decision {
  return Decision{json.at(0).get<int64_t>(),
                  static_cast<Outcome>(json.at(1).get<int>()),
                  json.at(2).get<std::string>(),
                  json.at(3).get<std::string>(),
                  json.at(4).get<std::string>(),
                  json.at(5).get<std::string>(),
                  json.at(6).get<std::string>(),
                  json.at(7).get<int64_t>()};
}

}  // namespace

auto ToString(Outcome outcome) -> std::string_view {
  return kOutcomeNames[static_cast<size_t>(outcome)];
}

auto EncodeChange(const Change& change) -> std::string {
  return Json{{"fold", change.fold_version}, {"id", change.id},
              {"document", change.document}, {"base", change.base},
              {"author", change.author},     {"reason", change.reason},
              {"content", change.content}}
      .dump();
}

auto DecodeChange(std::string_view record) -> Result<Change> {
  const Result<Json> parsed = ParseJson(record, kMaxRecordBytes);
  if (!parsed)
    return parsed.error();
  std::vector<Problem> problems;
  FieldReader reader(*parsed, "", &problems);
  Change change;
  change.fold_version = reader.Integer("fold", {1, INT64_MAX}, 0);
  change.id = reader.RequiredString("id");
  change.document = reader.RequiredString("document");
  change.base = reader.Integer("base", {0, INT64_MAX}, 0);
  change.author = reader.RequiredString("author");
  change.reason = reader.String("reason", "");
  if (const Json* content = reader.Any("content"))
    change.content = *content;
  reader.Finish();
  if (!problems.empty())
    return MakeError(Errc::kMalformed, Describe(problems));
  return change;
}

ConfigFold::ConfigFold() : catalog_(std::make_shared<Catalog>()) {}

auto ConfigFold::Apply(int64_t offset, std::string_view record) -> Decision {
  next_offset_ = std::max(next_offset_, offset + 1);
  Decision decision;
  decision.offset = offset;
  const Result<Change> change = DecodeChange(record);
  if (!change) {
    const Result<Json> parsed = ParseJson(record, SIZE_MAX);
    const bool snapshot = parsed && IsSnapshotRecord(*parsed);
    decision.outcome = snapshot ? Outcome::kSnapshot : Outcome::kMalformed;
    decision.cause = snapshot ? "" : change.error().detail;
    return decision;
  }
  decision.change_id = change->id;
  decision.document = change->document;
  decision.author = change->author;
  decision.reason = change->reason;
  decision.outcome = Decide(*change, &decision);
  if (decision.outcome == Outcome::kAccepted)
    Accept(*change, offset);
  const auto found = documents_.find(change->document);
  decision.revision = found == documents_.end() ? 0 : found->second.revision;
  if (decision.outcome != Outcome::kRepeated)
    Remember(decision);
  return decision;
}

auto ConfigFold::Decide(const Change& change, Decision* decision) -> Outcome {
  if (const Decision* earlier = FindDecision(change.id)) {
    decision->cause = "the same change was decided at offset " +
                      std::to_string(earlier->offset) + ": " +
                      std::string(ToString(earlier->outcome));
    return Outcome::kRepeated;
  }
  if (change.fold_version != kFoldVersion) {
    decision->cause = "made for another version of the fold";
    return Outcome::kInvalid;
  }
  const auto found = documents_.find(change.document);
  const int64_t current =
      found == documents_.end() ? 0 : found->second.revision;
  if (change.base != current) {
    decision->cause = "based on revision " + std::to_string(change.base) +
                      ", but the current one is " + std::to_string(current);
    return Outcome::kStaleBase;
  }
  const std::vector<Problem> problems = CheckContent(change);
  decision->cause = Describe(problems);
  return problems.empty() ? Outcome::kAccepted : Outcome::kInvalid;
}

auto ConfigFold::CheckContent(const Change& change) const
    -> std::vector<Problem> {
  std::vector<Problem> problems;
  const std::string& document = change.document;
  const bool removes = change.content.is_null();
  if (KindIs(document, kPoolPrefix)) {
    if (!removes)
      CheckPool(NameOf(document), change.content, document, *catalog_,
                &problems);
  } else if (KindIs(document, kTemplatePrefix)) {
    if (!removes)
      CheckTemplate(change.content, document, &problems);
    for (const auto& [name, other] : documents_) {
      if (TemplateOf(other.content) != document)
        continue;
      if (removes)
        problems.push_back({document, "is still used by " + name, ""});
      else
        ReadWorkspace(NameOf(name), other.content, change.content, name,
                      &problems);
    }
  } else if (KindIs(document, kWorkspacePrefix)) {
    if (removes)
      return problems;
    const auto found = documents_.find(TemplateOf(change.content));
    if (found == documents_.end())
      problems.push_back({document + ".template", "does not exist", ""});
    else
      CheckWorkspace(NameOf(document), change.content, found->second.content,
                     document, *catalog_, &problems);
  } else {
    problems.push_back({document, "is no document name",
                        "pool/NAME, template/NAME or workspace/NAME"});
  }
  return problems;
}

void ConfigFold::Accept(const Change& change, int64_t offset) {
  if (change.content.is_null())
    documents_.erase(change.document);
  else
    documents_[change.document] = {offset, change.content};
  const std::string name = NameOf(change.document);
  if (KindIs(change.document, kWorkspacePrefix) && !numbers_.contains(name))
    numbers_[name] = next_number_++;
  RebuildCatalog();
}

void ConfigFold::Remember(const Decision& decision) {
  decisions_.push_back(decision);
  if (decisions_.size() > kDecisionsKept)
    decisions_.pop_front();
}

auto ConfigFold::FindDecision(const std::string& change_id) const
    -> const Decision* {
  const auto found =
      std::ranges::find(decisions_, change_id, &Decision::change_id);
  return found == decisions_.end() ? nullptr : &*found;
}

void ConfigFold::RebuildCatalog() {
  std::vector<Problem> problems;
  Catalog::Pools pools;
  Catalog::Workspaces workspaces;
  for (const auto& [document, state] : documents_) {
    const std::string name = NameOf(document);
    if (KindIs(document, kPoolPrefix))
      pools[name] = ReadPool(name, state.content, document, &problems);
    if (!KindIs(document, kWorkspacePrefix))
      continue;
    const Document& made_from = documents_.at(TemplateOf(state.content));
    Workspace workspace = ReadWorkspace(name, state.content, made_from.content,
                                        document, &problems);
    workspace.number = numbers_.at(name);
    workspaces[name] = std::move(workspace);
  }
  catalog_ = std::make_shared<Catalog>(std::move(pools), std::move(workspaces));
}

auto ConfigFold::Snapshot() const -> Json {
  Json documents = Json::object();
  for (const auto& [name, document] : documents_)
    documents[name] = {{"revision", document.revision},
                       {"content", document.content}};
  Json decisions = Json::array();
  for (const Decision& decision : decisions_)
    decisions.push_back(ToJson(decision));
  return Json{{"fold", kFoldVersion},        {"next_offset", next_offset_},
              {"next_number", next_number_}, {"documents", documents},
              {"numbers", numbers_},         {"decisions", decisions}};
}

auto ConfigFold::Digest() const -> std::string {
  return Sha256Hex(Snapshot().dump());
}

auto ConfigFold::Restore(const Json& snapshot) -> Result<ConfigFold> {
  // The digest was checked by the caller, so a shape that does not fit means
  // another build's snapshot; nlohmann reports it by exception, kept inside.
  try {
    if (snapshot.at("fold").get<int64_t>() != kFoldVersion)
      return MakeError(Errc::kInvalid, "snapshot of another fold version");
    ConfigFold fold;
    fold.next_offset_ = snapshot.at("next_offset").get<int64_t>();
    fold.next_number_ = snapshot.at("next_number").get<uint32_t>();
    fold.numbers_ =
        snapshot.at("numbers").get<std::map<std::string, uint32_t>>();
    for (const auto& [name, document] : snapshot.at("documents").items())
      fold.documents_[name] = {document.at("revision").get<int64_t>(),
                               document.at("content")};
    for (const Json& decision : snapshot.at("decisions"))
      fold.decisions_.push_back(DecisionFrom(decision));
    fold.RebuildCatalog();
    return fold;
  } catch (const std::exception& error) {
    return MakeError(Errc::kMalformed, error.what());
  }
}

auto CheckDocuments(const std::map<std::string, Json>& documents)
    -> std::vector<Problem> {
  std::vector<Problem> problems;
  Catalog::Pools pools;
  Catalog::Workspaces workspaces;
  for (const auto& [document, content] : documents) {
    const std::string name = NameOf(document);
    const Catalog before(pools, workspaces);
    if (KindIs(document, kPoolPrefix)) {
      CheckPool(name, content, document, before, &problems);
      std::vector<Problem> reported;
      pools[name] = ReadPool(name, content, document, &reported);
    } else if (KindIs(document, kTemplatePrefix)) {
      CheckTemplate(content, document, &problems);
    } else if (KindIs(document, kWorkspacePrefix)) {
      const auto made_from = documents.find(TemplateOf(content));
      if (made_from == documents.end()) {
        problems.push_back({document + ".template", "does not exist", ""});
        continue;
      }
      CheckWorkspace(name, content, made_from->second, document, before,
                     &problems);
      std::vector<Problem> reported;
      workspaces[name] =
          ReadWorkspace(name, content, made_from->second, document, &reported);
      for (const std::string& pool : workspaces[name].pools) {
        if (!documents.contains(std::string(kPoolPrefix) + pool))
          problems.push_back(
              {document, "uses pool " + pool + ", which is not declared", ""});
      }
    } else {
      problems.push_back({document, "is no document name",
                          "pool/NAME, template/NAME or workspace/NAME"});
    }
  }
  return problems;
}

auto EncodeSnapshotRecord(const ConfigFold& fold) -> std::string {
  const Json snapshot = fold.Snapshot();
  return Json{{kSnapshotField, snapshot},
              {"digest", Sha256Hex(snapshot.dump())}}
      .dump();
}

auto IsSnapshotRecord(const Json& record) -> bool {
  return record.is_object() && record.contains(kSnapshotField);
}

auto DecodeSnapshotRecord(const Json& record) -> Result<ConfigFold> {
  if (!IsSnapshotRecord(record) || !record.contains("digest"))
    return MakeError(Errc::kMalformed, "not a snapshot record");
  const Json& snapshot = record.at(std::string(kSnapshotField));
  if (record.at("digest") != Sha256Hex(snapshot.dump()))
    return MakeError(Errc::kInvalid, "the snapshot's digest differs");
  return ConfigFold::Restore(snapshot);
}

}  // namespace sparbend
