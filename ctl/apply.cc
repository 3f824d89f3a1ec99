// Applying is safe to repeat: what is in force already makes no step. Each
// step names the revision it was planned on, so a change somebody else made
// in between rejects it. When the answer to an append is lost, the log itself
// is read for the change id; only if that fails too is the outcome unknown.
#include "ctl/apply.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>
#include <thread>

namespace sparbend::ctl {
namespace {

constexpr std::chrono::milliseconds kLookInterval(100);
constexpr int kResolveTries = 20;

auto NewChangeId() -> std::string {
  std::random_device random;
  std::string id = "c";
  for (int i = 0; i < 4; ++i) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    uint32_t number = random();
    for (int digit = 0; digit < 6; ++digit, number >>= 4)
      id += kDigits[number & 15];
  }
  return id;
}

// Fields that differ, as "path: before -> after".
void DiffFields(const Json& before,
                const Json& after,
                const std::string& path,
                std::vector<std::string>* lines) {
  if (before == after)
    return;
  if (!before.is_object() || !after.is_object()) {
    lines->push_back(path + ": " + before.dump() + " -> " + after.dump());
    return;
  }
  Json names = before;
  names.update(after);
  for (const auto& [name, value] : names.items())
    DiffFields(before.value(name, Json()), after.value(name, Json()),
               path.empty() ? name : path + "." + name, lines);
}

// Workspaces that a step touches: itself, or those made from the template.
auto Touched(const Step& step, const ConfigFold& in_force)
    -> std::vector<std::string> {
  std::vector<std::string> names;
  const std::string name = step.document.substr(step.document.find('/') + 1);
  for (const auto& [document, state] : in_force.documents()) {
    if (document.starts_with("workspace/") &&
        state.content.value("template", "") == name &&
        step.document.starts_with("template/"))
      names.push_back(document.substr(document.find('/') + 1));
  }
  if (step.document.starts_with("workspace/"))
    names.push_back(name);
  return names;
}

auto ToJson(const Step& step, const ConfigFold& in_force) -> Json {
  std::vector<std::string> fields;
  DiffFields(step.before, step.after, "", &fields);
  return Json{{"document", step.document},
              {"base", step.base},
              {"fields", fields},
              {"workspaces", Touched(step, in_force)}};
}

void PrintStep(const Step& step, const ConfigFold& in_force) {
  const char* verb = step.before.is_null()  ? "add"
                     : step.after.is_null() ? "remove"
                                            : "change";
  std::cout << verb << " " << step.document;
  const std::vector<std::string> touched = Touched(step, in_force);
  if (!touched.empty() && step.document.starts_with("template/"))
    std::cout << " (touches " << touched.size() << " workspaces)";
  std::cout << "\n";
  std::vector<std::string> fields;
  if (!step.before.is_null() && !step.after.is_null())
    DiffFields(step.before, step.after, "", &fields);
  for (const std::string& field : fields)
    std::cout << "    " << field << "\n";
}

auto ReportUnreachable(const Error& error) -> int {
  std::cerr << "sparbendctl: " << error.code.message() << ": " << error.detail
            << "\n";
  return kExitUnreachable;
}

// Reads the log until the change is decided there.
auto Resolve(Session* session, const std::string& change_id)
    -> Result<Decision> {
  for (int i = 0; i < kResolveTries; ++i) {
    const Result<ConfigFold> fold = session->ReadFold();
    if (fold) {
      if (const Decision* decision = fold->FindDecision(change_id))
        return *decision;
    }
    std::this_thread::sleep_for(kLookInterval);
  }
  return MakeError(Errc::kUnknown, "the change is not in the log so far");
}

struct StepOutcome {
  int code = kExitOk;
  int64_t offset = 0;
  std::string text;
};

auto Publish(Session* session,
             const Step& step,
             const ApplyOptions& options,
             const std::string& change_id) -> StepOutcome {
  Change change;
  change.id = change_id;
  change.document = step.document;
  change.base = step.base;
  change.author = options.author;
  change.reason = options.reason;
  change.content = step.after;
  const Result<int64_t> appended = session->Append(change);
  if (!appended && appended.error().code != Errc::kUnknown)
    return {kExitUnreachable, 0, "not published: " + appended.error().detail};
  const Result<Decision> decision = Resolve(session, change_id);
  if (!decision)
    return {kExitUnknown, 0,
            "outcome unknown: look for it with `sparbendctl history --change " +
                change_id + "`"};
  if (decision->outcome != Outcome::kAccepted)
    return {kExitRejected, decision->offset,
            "rejected (" + std::string(ToString(decision->outcome)) +
                "): " + decision->cause};
  return {kExitOk, decision->offset,
          "accepted at offset " + std::to_string(decision->offset)};
}

// Waits until every live box folds past `offset`; prints progress.
auto WaitInForce(Session* session, int64_t offset, const ApplyOptions& options)
    -> int {
  const auto give_up = std::chrono::steady_clock::now() +
                       std::chrono::seconds(options.wait_seconds);
  size_t shown = SIZE_MAX;
  while (std::chrono::steady_clock::now() < give_up) {
    const Json nothing = Json::object();
    const Result<Json> status = session->CallBox("status", nothing);
    if (!status)
      return ReportUnreachable(status.error());
    size_t live = 0;
    size_t in_force = 0;
    for (const Json& box : status->at("boxes")) {
      if (!box.value("live", false))
        continue;
      ++live;
      in_force += box.value("offset", int64_t{0}) > offset ? 1 : 0;
    }
    if (in_force != shown && !options.json)
      std::cout << "in force on " << in_force << " of " << live
                << " live boxes\n";
    shown = in_force;
    if (in_force == live)
      return kExitOk;
    std::this_thread::sleep_for(kLookInterval);
  }
  std::cerr << "sparbendctl: accepted, but not yet in force everywhere\n";
  return kExitNotInForce;
}

}  // namespace

auto PlanSteps(const std::map<std::string, Json>& declared,
               const ConfigFold& in_force,
               bool prune) -> std::vector<Step> {
  std::vector<Step> steps;
  // Names sort as pool, template, workspace: the order wanted.
  for (const auto& [document, content] : declared) {
    const auto found = in_force.documents().find(document);
    if (found == in_force.documents().end())
      steps.push_back({document, 0, Json(), content});
    else if (found->second.content != content)
      steps.push_back(
          {document, found->second.revision, found->second.content, content});
  }
  if (!prune)
    return steps;
  std::vector<Step> removals;
  for (const auto& [document, state] : in_force.documents()) {
    if (!declared.contains(document))
      removals.push_back({document, state.revision, state.content, Json()});
  }
  std::ranges::reverse(removals);
  steps.insert(steps.end(), removals.begin(), removals.end());
  return steps;
}

auto Diff(Session* session,
          const Declarations& declarations,
          bool prune,
          bool json) -> int {
  const Result<ConfigFold> fold = session->ReadFold();
  if (!fold)
    return ReportUnreachable(fold.error());
  const auto steps = PlanSteps(declarations.documents, *fold, prune);
  Json all = Json::array();
  for (const Step& step : steps) {
    if (json)
      all.push_back(ToJson(step, *fold));
    else
      PrintStep(step, *fold);
  }
  if (json)
    std::cout << all.dump(2) << "\n";
  else if (steps.empty())
    std::cout << "nothing to change\n";
  return kExitOk;
}

auto Apply(Session* session,
           const Declarations& declarations,
           const ApplyOptions& options) -> int {
  if (options.dry_run)
    return Diff(session, declarations, options.prune, options.json);
  const Result<ConfigFold> fold = session->ReadFold();
  if (!fold)
    return ReportUnreachable(fold.error());
  const auto steps = PlanSteps(declarations.documents, *fold, options.prune);
  int64_t last_offset = 0;
  Json all = Json::array();
  int code = kExitOk;
  for (const Step& step : steps) {
    const std::string id = NewChangeId();
    const StepOutcome outcome = Publish(session, step, options, id);
    last_offset = std::max(last_offset, outcome.offset);
    all.push_back({{"document", step.document},
                   {"change", id},
                   {"offset", outcome.offset},
                   {"outcome", outcome.text}});
    if (!options.json)
      std::cout << step.document << ": " << outcome.text << "\n";
    code = outcome.code;
    if (code != kExitOk)
      break;  // what follows may rest on it
  }
  if (options.json)
    std::cout << all.dump(2) << "\n";
  else if (steps.empty())
    std::cout << "nothing to change\n";
  if (code == kExitOk && options.wait && last_offset > 0)
    return WaitInForce(session, last_offset, options);
  return code;
}

}  // namespace sparbend::ctl
