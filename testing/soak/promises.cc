// Each promise is one function over everything that was seen; a request's id
// ties a caller's try to its arrivals.
#include "testing/soak/promises.h"

#include <algorithm>
#include <cstdlib>
#include <set>

namespace sparbend::testing {
namespace {

constexpr int kEvents = 5;
constexpr int kMostAttempts = 2;
// Statuses that say a request has not run and never will.
const std::set<int> kNotRunStatuses = {408, 421, 429, 503};
// After its caller has an answer or has left, for bytes on the way.
constexpr Millis kLatestArrival = Millis(500);

struct Seen {
  std::map<std::string, std::vector<Arrival>> arrivals;  // by request
  std::vector<std::string> broken;

  auto Runs(const std::string& id) const -> int {
    const auto found = arrivals.find(id);
    if (found == arrivals.end())
      return 0;
    return static_cast<int>(
        std::ranges::count_if(found->second, &Arrival::ran));
  }
  void Report(const std::string& promise, const Asked& asked) {
    broken.push_back(promise + ": request " + asked.id + " at box " +
                     std::to_string(asked.box) + ", status " +
                     std::to_string(asked.status) + ", ran " +
                     std::to_string(Runs(asked.id)) + " times, from " +
                     std::to_string(asked.sent.count()) + " to " +
                     std::to_string(asked.ended.count()) + " ms");
  }
};

// Streams may be resumed only where their route says so.
auto MayRepeat(SoakRoute route) -> bool {
  return route == SoakRoute::kAgain || route == SoakRoute::kResumed;
}

// Where the events of a stream come from, as the end of their data states.
struct Sources {
  std::set<std::string> versions;
  std::set<std::string> pools;
};

// Removes it from `body`, and from an event that is broken off within it.
auto TakeSources(std::string* body) -> Sources {
  constexpr std::string_view kMark = " v";
  constexpr std::string_view kData = "data: ";
  Sources sources;
  for (size_t at = body->find(kMark); at != std::string::npos;
       at = body->find(kMark, at)) {
    const size_t end = std::min(body->find('\n', at), body->size());
    const std::string source = body->substr(at, end - at);
    const size_t pool = source.find('@');
    if (end < body->size()) {
      sources.versions.insert(source.substr(0, pool));
      if (pool != std::string::npos)
        sources.pools.insert(source.substr(pool));
    }
    body->erase(at, end - at);
  }
  if (body->ends_with(' ') && body->rfind(kData) != std::string::npos &&
      body->rfind(kData) + kData.size() < body->size() &&
      body->rfind(kData) > body->rfind('\n'))
    body->pop_back();
  return sources;
}

// The ids of the events, those whose line is whole.
auto EventIds(const std::string& body) -> std::vector<int> {
  constexpr std::string_view kField = "id: ";
  std::vector<int> ids;
  for (size_t at = body.find(kField); at != std::string::npos;
       at = body.find(kField, at + 1)) {
    if (body.find('\n', at) != std::string::npos)
      ids.push_back(std::atoi(body.c_str() + at + kField.size()));
  }
  return ids;
}

// What is wrong with a stream that is not the beginning of what is expected.
auto OrderFault(const std::string& body) -> std::string {
  int last = 0;
  for (const int id : EventIds(body)) {
    if (id == last)
      return "ORDER: a stream repeats an event";
    if (id < last)
      return "ORDER: the ids of a stream go back";
    if (id > last + 1)
      return "ORDER: a stream lacks an event";
    last = id;
  }
  return "";
}

// The events of a stream over all of its caller's tries; what an earlier try
// broke is not reported again.
void JudgeSources(const Asked& asked, Seen* seen) {
  std::string begun = asked.begun;
  std::string body = asked.begun + asked.body;
  const Sources before = TakeSources(&begun);
  const Sources sources = TakeSources(&body);
  if (sources.versions.size() > 1 && before.versions.size() < 2)
    seen->Report("ORDER: events of two software versions", asked);
  if (sources.pools.size() > 1 && before.pools.size() < 2)
    seen->Report("ORDER: events of two pools", asked);
}

void JudgeAnswers(const std::vector<Asked>& all, Seen* seen) {
  for (const Asked& asked : all) {
    if (asked.status != 200)
      continue;
    const std::string expected = ExpectedBody(
        asked.resumes.empty() ? asked.id : asked.resumes, asked.route);
    std::string begun = asked.begun;
    std::string body = asked.begun + asked.body;
    TakeSources(&begun);
    TakeSources(&body);
    JudgeSources(asked, seen);
    if (!asked.signed_by_target)
      seen->Report("a success without a target's signature", asked);
    const bool stream = asked.route >= SoakRoute::kStream;
    const std::string fault = stream ? OrderFault(body) : "";
    if (!fault.empty() && expected.starts_with(begun))
      seen->Report(fault, asked);
    else if (stream && asked.whole && expected.starts_with(body) &&
             body != expected)
      seen->Report("ORDER: a stream ends as complete before its last event",
                   asked);
    else if (asked.whole && body != expected)
      seen->Report("not its own whole answer", asked);
    else if (!asked.whole && !expected.starts_with(body))
      seen->Report("a part of another answer", asked);
  }
}

void JudgeRuns(const std::vector<Asked>& all, Seen* seen) {
  for (const Asked& asked : all) {
    const int most = MayRepeat(asked.route) ? kMostAttempts : 1;
    if (seen->Runs(asked.id) > most)
      seen->Report(most == 1 ? "ran twice" : "more attempts than allowed",
                   asked);
    if (kNotRunStatuses.contains(asked.status) && !MayRepeat(asked.route) &&
        seen->Runs(asked.id) > 0)
      seen->Report("called not run, and ran", asked);
  }
}

// A box that neither was killed nor paused answers what it passed on.
void JudgeLosses(const std::vector<Asked>& all,
                 const std::vector<BoxOutage>& outages,
                 Seen* seen) {
  for (const Asked& asked : all) {
    if (asked.status != 0 || asked.gave_up || seen->Runs(asked.id) == 0)
      continue;
    const bool excused =
        std::ranges::any_of(outages, [&](const BoxOutage& outage) {
          return outage.loses && outage.box == asked.box &&
                 outage.from <= asked.ended && outage.to >= asked.sent;
        });
    if (!excused)
      seen->Report("passed on and never answered", asked);
  }
}

// Nobody waits for it any more. A box that stands still can't give it up.
void JudgeLateArrivals(const std::vector<Asked>& all,
                       const std::vector<BoxOutage>& outages,
                       Seen* seen) {
  for (const Asked& asked : all) {
    const auto is_late = [&](const Arrival& arrival) {
      return arrival.at > asked.ended + kLatestArrival &&
             std::ranges::none_of(outages, [&](const BoxOutage& outage) {
               return !outage.loses && outage.box == asked.box &&
                      outage.from <= arrival.at && outage.to >= asked.sent;
             });
    };
    if (std::ranges::any_of(seen->arrivals[asked.id], is_late))
      seen->Report("reached a target when nobody waited for it", asked);
  }
}

void JudgeBudget(const std::vector<Asked>& all,
                 const BudgetLimits& limits,
                 Seen* seen) {
  std::vector<Millis> repeats;
  for (const auto& [id, arrivals] : seen->arrivals) {
    for (size_t i = 1; i < arrivals.size(); ++i)
      repeats.push_back(arrivals[i].at);
  }
  std::ranges::sort(repeats);
  for (size_t i = 0; i < repeats.size(); ++i) {
    const Millis from = repeats[i];
    const auto within = std::ranges::count_if(repeats, [&](Millis at) {
      return at >= from && at < from + limits.window;
    });
    const auto fresh = std::ranges::count_if(all, [&](const Asked& asked) {
      return asked.sent >= from - limits.window &&
             asked.sent < from + limits.window;
    });
    const double most =
        limits.ratio * static_cast<double>(fresh) + limits.slack;
    if (static_cast<double>(within) <= most)
      continue;
    seen->broken.push_back(
        "more repeats than the budget: " + std::to_string(within) + " from " +
        std::to_string(from.count()) + " ms");
    return;
  }
}

// A box that once took a key never takes an older one again.
void JudgeVersions(const std::vector<Asked>& all,
                   const std::vector<BoxOutage>& outages,
                   Seen* seen) {
  // By box, what was served when: the first time a key was taken.
  std::map<int, std::map<int, Millis>> first_taken;
  for (const Asked& asked : all) {
    if (asked.status != 200)
      continue;
    const auto [found, added] =
        first_taken[asked.box].try_emplace(asked.key, asked.ended);
    found->second = std::min(found->second, asked.ended);
  }
  const auto same_life = [&](int box, Millis from, Millis to) {
    return std::ranges::none_of(outages, [&](const BoxOutage& outage) {
      return outage.box == box && outage.from <= to && outage.to >= from;
    });
  };
  for (const Asked& asked : all) {
    if (asked.status != 200)
      continue;
    for (const auto& [key, taken] : first_taken[asked.box]) {
      if (key > asked.key && taken < asked.sent &&
          same_life(asked.box, taken, asked.ended))
        seen->Report("an older configuration came back", asked);
    }
  }
}

}  // namespace

auto ExpectedBody(const std::string& id, SoakRoute route) -> std::string {
  if (route == SoakRoute::kOnce || route == SoakRoute::kAgain)
    return "answer to " + id;
  std::string body;
  for (int event = 1; event <= kEvents; ++event)
    body += "id: " + std::to_string(event) + "\ndata: " + id + "-" +
            std::to_string(event) + "\n\n";
  return body;
}

auto Judge(const std::vector<Asked>& asked,
           const std::vector<Arrival>& arrivals,
           const std::vector<BoxOutage>& outages,
           const std::optional<BudgetLimits>& limits)
    -> std::vector<std::string> {
  Seen seen;
  for (const Arrival& arrival : arrivals)
    seen.arrivals[arrival.id].push_back(arrival);
  JudgeAnswers(asked, &seen);
  JudgeRuns(asked, &seen);
  JudgeLosses(asked, outages, &seen);
  JudgeLateArrivals(asked, outages, &seen);
  if (limits)
    JudgeBudget(asked, *limits, &seen);
  JudgeVersions(asked, outages, &seen);
  return seen.broken;
}

}  // namespace sparbend::testing
