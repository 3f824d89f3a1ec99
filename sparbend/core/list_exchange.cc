// Cold times are stated as of the time at which the list was read, and the age
// of the list is added to an answer last, so an answer can be used again until
// the list changes.
//
// The digest of the sender's targets is the check of what was applied: a caller
// that has another one afterwards requests the whole list.
#include "sparbend/core/list_exchange.h"

#include <algorithm>
#include <utility>

#include "sparbend/core/digest.h"
#include "sparbend/core/errors.h"

namespace sparbend {
namespace {

// Callers ask from few different positions: that of the last change, and those
// of boxes that missed one or have just started.
constexpr size_t kMaxEncoded = 16;
constexpr int64_t kMaxProcessorMillicores = 1'000'000;
constexpr size_t kMaxRequestBytes = 1'024;
constexpr const char* kVersionKey = "version";
// In a target's entry only if it differs from that of the list.
constexpr const char* kEraKey = "era";
// Followed by the target's name.
constexpr const char* kUnknownVersionPrefix = "unknown of ";

auto DigestText(const TargetTable& targets) -> std::string {
  std::string text;
  for (const auto& [name, known] : targets.known()) {
    text += name;
    text += known.entry.leaving ? "-" : "+";
    text += std::to_string(known.entry.started_at_ms);
    text += known.entry.cold_left > Millis(0) ? "c" : "";
  }
  return text;
}

auto NamesOf(const BoxEntries& boxes) -> std::string {
  std::string names;
  for (const auto& [name, box] : boxes)
    names += name;
  return names;
}

auto ToJson(const TargetTable::Known& known, const OwnList& list) -> Json {
  const TargetEntry& entry = known.entry;
  // Never zero while the target's record says that it is cold, since that is a
  // part of the digest.
  const bool cold = entry.cold_left > Millis(0);
  const Millis cold_left =
      cold ? std::max(Millis(1), known.cold_until - list.read_at) : Millis(0);
  Json json = {{"name", entry.name},
               {"hall", entry.hall},
               {"pool", entry.pool},
               {"address", entry.address},
               {kVersionKey, entry.version},
               {"slots", entry.slots},
               {"leaving", entry.leaving},
               {"born", entry.started_at_ms},
               {"beat", entry.beat},
               {"cold_ms", cold_left.count()},
               {"offset", known.position.offset},
               {"lapsed", known.record_expired}};
  if (known.position.era != list.end.era)
    json[kEraKey] = known.position.era;
  return json;
}

auto TargetFrom(const Json& json, int64_t list_era)
    -> std::optional<ListedTarget> {
  std::vector<Problem> problems;
  FieldReader reader(json, "target", &problems);
  ListedTarget target;
  TargetEntry& entry = target.entry;
  entry.name = reader.RequiredString("name");
  entry.hall = reader.RequiredString("hall");
  entry.pool = reader.RequiredString("pool");
  entry.address = reader.RequiredString("address");
  // No two targets of unknown versions count as one version.
  target.has_version = json.contains(kVersionKey);
  entry.version =
      reader.String(kVersionKey, kUnknownVersionPrefix + entry.name);
  entry.slots =
      static_cast<int>(reader.Integer("slots", {1, kMaxTargetSlots}, 1));
  entry.leaving = reader.Bool("leaving", false);
  entry.started_at_ms = reader.Integer("born", {0, INT64_MAX}, 0);
  entry.cold_left = Millis(reader.Integer("cold_ms", {0, INT64_MAX}, 0));
  entry.beat = reader.Integer("beat", {0, INT64_MAX}, 0);
  target.position = {reader.Integer(kEraKey, {0, INT64_MAX}, list_era),
                     reader.Integer("offset", {0, INT64_MAX}, 0)};
  target.record_expired = reader.Bool("lapsed", false);
  return problems.empty() ? std::optional(target) : std::nullopt;
}

auto Encode(const ListRequest& request, const OwnList& list) -> Json {
  const uint32_t digest = DigestOf(*list.targets);
  const bool same_targets =
      request.from != LogPosition() && request.targets_digest == digest;
  const std::optional<TargetTable::Changes> changes =
      list.targets->ChangesSince(same_targets ? list.end : request.from);
  Json targets = Json::array();
  Json answer = {{"known", list.known},
                 {kEraKey, list.end.era},
                 {"end", list.end.offset},
                 {"targets_digest", digest}};
  if (changes) {
    answer["from_era"] = request.from.era;
    answer["from"] = request.from.offset;
    answer["removed"] = changes->removed;
    for (const TargetTable::Known* known : changes->targets)
      targets.push_back(ToJson(*known, list));
  } else {
    for (const auto& [name, known] : list.targets->known())
      targets.push_back(ToJson(known, list));
  }
  answer["targets"] = std::move(targets);
  if (request.boxes_digest != DigestOf(*list.boxes)) {
    Json boxes = Json::object();
    for (const auto& [name, box] : *list.boxes)
      boxes[name] = ToJson(box);
    answer["boxes"] = std::move(boxes);
  }
  return answer;
}

}  // namespace

auto DigestOf(const TargetTable& targets) -> uint32_t {
  return static_cast<uint32_t>(StableHash(DigestText(targets)));
}

auto DigestOf(const TargetTable& targets, const BoxEntries& boxes) -> uint32_t {
  return static_cast<uint32_t>(
      StableHash(DigestText(targets) + NamesOf(boxes)));
}

auto DigestOf(const BoxEntries& boxes) -> uint32_t {
  return static_cast<uint32_t>(StableHash(NamesOf(boxes)));
}

auto ToJson(const BoxEntry& box) -> Json {
  return Json{{"hall", box.hall},
              {"peers", box.peer_address},
              {"rpc", box.admin_address},
              {"processor", box.processor}};
}

auto BoxFrom(const std::string& name, const Json& json)
    -> std::optional<BoxEntry> {
  if (!IsUtf8(name))
    return std::nullopt;
  std::vector<Problem> problems;
  FieldReader reader(json, "box", &problems);
  BoxEntry entry;
  entry.name = name;
  entry.hall = reader.RequiredString("hall");
  entry.peer_address = reader.RequiredString("peers");
  entry.admin_address = reader.RequiredString("rpc");
  entry.processor = static_cast<int>(
      reader.Integer("processor", {0, kMaxProcessorMillicores}, 0));
  return problems.empty() ? std::optional(entry) : std::nullopt;
}

auto ToJson(const ListRequest& request) -> Json {
  return Json{{"from_era", request.from.era},
              {"from", request.from.offset},
              {"boxes", request.boxes_digest},
              {"targets", request.targets_digest}};
}

auto ListRequestFrom(const std::string& params) -> ListRequest {
  const Result<Json> json = ParseJson(params, kMaxRequestBytes);
  if (!json || !json->is_object())
    return {};
  std::vector<Problem> problems;
  FieldReader reader(*json, "list", &problems);
  ListRequest request;
  request.from = {reader.Integer("from_era", {0, INT64_MAX}, 0),
                  reader.Integer("from", {0, INT64_MAX}, 0)};
  request.boxes_digest =
      static_cast<uint32_t>(reader.Integer("boxes", {0, UINT32_MAX}, 0));
  request.targets_digest =
      static_cast<uint32_t>(reader.Integer("targets", {0, UINT32_MAX}, 0));
  return problems.empty() ? request : ListRequest{};
}

auto ListAnswers::Answer(const ListRequest& request,
                         const OwnList& list,
                         Millis age) -> std::string {
  auto found = encoded_.find(request);
  if (found == encoded_.end()) {
    if (encoded_.size() >= kMaxEncoded)
      encoded_.clear();
    found = encoded_.emplace(request, Encode(request, list).dump()).first;
  }
  std::string answer = found->second;
  answer.back() = ',';
  return answer + "\"age_ms\":" + std::to_string(age.count()) + "}";
}

auto ListAnswerFrom(const Json& json) -> std::optional<ListAnswer> {
  std::vector<Problem> problems;
  FieldReader reader(json, "directory", &problems);
  if (!reader.Bool("known", false))
    return std::nullopt;
  ListAnswer answer;
  answer.age = Millis(reader.Integer("age_ms", {0, INT64_MAX}, 0));
  answer.from = {reader.Integer("from_era", {0, INT64_MAX}, 0),
                 reader.Integer("from", {0, INT64_MAX}, 0)};
  answer.end = {reader.Integer(kEraKey, {0, INT64_MAX}, 0),
                reader.Integer("end", {0, INT64_MAX}, 0)};
  for (const Json* target : reader.Objects("targets")) {
    if (auto listed = TargetFrom(*target, answer.end.era))
      answer.targets.push_back(std::move(*listed));
  }
  answer.removed = reader.Strings("removed");
  if (const Json* boxes = reader.Object("boxes"); boxes != nullptr) {
    for (const auto& [name, box] : boxes->items()) {
      if (auto entry = BoxFrom(name, box))
        answer.boxes.emplace(name, std::move(*entry));
    }
  }
  if (json.contains("targets_digest"))
    answer.targets_digest = static_cast<uint32_t>(
        reader.Integer("targets_digest", {0, UINT32_MAX}, 0));
  return answer;
}

auto Apply(const ListAnswer& answer,
           Millis read_at,
           Removal earlier_era,
           TargetTable* targets) -> bool {
  bool changed = false;
  std::set<std::string> names;
  std::set<std::string> expired;
  for (const ListedTarget& listed : answer.targets) {
    TargetEntry entry = listed.entry;
    const auto known = targets->known().find(entry.name);
    if (!listed.has_version && known != targets->known().end())
      entry.version = known->second.entry.version;
    names.insert(entry.name);
    changed = targets->PutFromPeer(entry, listed.position, read_at) || changed;
    if (!listed.record_expired)
      continue;
    targets->SetRecordExpired(entry.name, listed.position);
    expired.insert(entry.name);
  }
  if (answer.from == LogPosition())
    return targets->RetainFromPeer(names, answer.end, earlier_era) || changed;
  for (const std::string& name : answer.removed)
    changed = targets->DropFromPeer(name, answer.end.Previous(), earlier_era) ||
              changed;
  targets->RetainExpired(expired);
  return changed;
}

}  // namespace sparbend
