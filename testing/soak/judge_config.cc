// Each arrival at a target, and each 401 or 404 of a box, is evidence of the
// version by which a box handled a request: the versions that allow it. A
// request is judged by the least and the greatest of them.
#include "testing/soak/judge_config.h"

#include <algorithm>
#include <optional>

namespace sparbend::testing {
namespace {

// On a box that stood still or was slow.
constexpr int kSlowFactor = 8;

struct Evidence {
  const Asked* asked = nullptr;
  Millis at;         // when it was seen
  std::string pool;  // that ran it; empty: it was refused
};

// Indices of versions.
struct Consistent {
  size_t first = 0;
  size_t last = 0;
};

auto Allows(const ConfigVersion& version, const Evidence& evidence) -> bool {
  const auto route = version.pools.find(evidence.asked->path);
  const bool has_route = route != version.pools.end();
  const bool has_token = version.tokens.contains(evidence.asked->token);
  if (!evidence.pool.empty())
    return has_route && has_token && route->second.contains(evidence.pool);
  constexpr int kUnauthorized = 401;
  constexpr int kNotFound = 404;
  return (evidence.asked->status == kUnauthorized && !has_token) ||
         (evidence.asked->status == kNotFound && !has_route);
}

auto ConsistentWith(const std::vector<ConfigVersion>& versions,
                    const Evidence& evidence) -> std::optional<Consistent> {
  std::optional<Consistent> found;
  for (size_t i = 0; i < versions.size(); ++i) {
    if (versions[i].sent > evidence.at || !Allows(versions[i], evidence))
      continue;
    if (!found)
      found = Consistent{i, i};
    found->last = i;
  }
  return found;
}

auto Line(const std::string& promise, const Evidence& evidence) -> std::string {
  const Asked& asked = *evidence.asked;
  return promise + ": request " + asked.id + " at box " +
         std::to_string(asked.box) + ", status " +
         std::to_string(asked.status) + ", " + asked.path + " with " +
         asked.token + ", " +
         (evidence.pool.empty() ? "refused" : "ran at " + evidence.pool) +
         ", from " + std::to_string(asked.sent.count()) + " to " +
         std::to_string(asked.ended.count()) + " ms";
}

// In the order of time.
auto AllEvidence(const SoakRecord& record) -> std::vector<Evidence> {
  std::map<std::string, const Asked*> by_id;
  std::vector<Evidence> all;
  for (const Asked& asked : record.asked) {
    by_id[asked.id] = &asked;
    const bool refused = asked.status >= 400 && asked.status < 500 &&
                         asked.status != 408 && asked.status != 421 &&
                         asked.status != 429;
    if (refused && !asked.signed_by_target)
      all.push_back({&asked, asked.ended, ""});
  }
  for (const Arrival& arrival : record.arrivals) {
    const auto found = by_id.find(arrival.id);
    if (found != by_id.end() && arrival.ran)
      all.push_back({found->second, arrival.at, arrival.service});
  }
  std::ranges::sort(all, {}, &Evidence::at);
  return all;
}

// Without trouble at the box for `contact` before the request, and at the
// store for so long that it counts as stable in all of that time.
auto InTouch(const SoakRecord& record, const Evidence& evidence, Millis contact)
    -> bool {
  const Millis from = evidence.asked->sent - contact;
  const Millis stable_from = from - contact;
  return std::ranges::none_of(record.outages,
                              [&](const BoxOutage& outage) {
                                return outage.box == evidence.asked->box &&
                                       outage.from <= evidence.at &&
                                       outage.to >= from;
                              }) &&
         std::ranges::none_of(record.store_trouble, [&](const SoakSpan& span) {
           return span.from <= evidence.at && span.to >= stable_from;
         });
}

// A box and when a target saw that it goes by a version.
struct Effect {
  Millis at;
  size_t version = 0;
};

auto CameBack(const SoakRecord& record,
              const Evidence& evidence,
              size_t version,
              const std::vector<Effect>& effects,
              Millis rollback) -> bool {
  const auto disturbed = [&](Millis from, bool only_new_process) {
    return std::ranges::any_of(record.outages, [&](const BoxOutage& outage) {
      return outage.box == evidence.asked->box && outage.from <= evidence.at &&
             outage.to >= from && !(only_new_process && outage.same_process);
    });
  };
  return std::ranges::any_of(effects, [&](const Effect& effect) {
    if (effect.version <= version || disturbed(effect.at, true))
      return false;
    const Millis slack = disturbed(effect.at, false)
                             ? Millis(rollback.count() * kSlowFactor)
                             : rollback;
    return evidence.asked->sent > effect.at + slack;
  });
}

}  // namespace

auto JudgeConfig(const SoakRecord& record, const ConfigBounds& bounds)
    -> std::vector<std::string> {
  std::vector<std::string> broken;
  std::map<int, std::vector<Effect>> effects;  // by box, versions rising
  for (const Evidence& evidence : AllEvidence(record)) {
    const Asked& asked = *evidence.asked;
    const std::optional<Consistent> versions =
        ConsistentWith(record.versions, evidence);
    if (!versions) {
      broken.push_back(Line(evidence.pool.empty()
                                ? "DENIED: refused what all versions allow"
                                : "ROUTE: no version allows this",
                            evidence));
      continue;
    }
    size_t due = 0;
    while (due + 1 < record.versions.size() &&
           record.versions[due + 1].acked + bounds.in_force < asked.sent)
      ++due;
    if (versions->last < due && InTouch(record, evidence, bounds.contact))
      broken.push_back(
          Line("CONFIG: a version is not in force in time", evidence));
    std::vector<Effect>& seen = effects[asked.box];
    if (CameBack(record, evidence, versions->last, seen, bounds.rollback))
      broken.push_back(Line("CONFIG: an older version is back", evidence));
    if (!evidence.pool.empty() &&
        (seen.empty() || seen.back().version < versions->first))
      seen.push_back({evidence.at, versions->first});
  }
  return broken;
}

auto JudgePoolBudgets(const SoakRecord& record, const BudgetLimits& limits)
    -> std::vector<std::string> {
  std::map<std::string, std::vector<Millis>> fresh;    // by pool
  std::map<std::string, std::vector<Millis>> repeats;  // by pool
  for (const Asked& asked : record.asked) {
    std::set<std::string> pools;  // of the versions that may be in force
    for (size_t i = 0; i < record.versions.size(); ++i) {
      const bool replaced =
          i + 1 < record.versions.size() &&
          record.versions[i + 1].acked + limits.window < asked.sent;
      const auto route = record.versions[i].pools.find(asked.path);
      if (route != record.versions[i].pools.end() && !replaced &&
          record.versions[i].sent <= asked.ended)
        pools.insert(route->second.begin(), route->second.end());
    }
    for (const std::string& pool : pools)
      fresh[pool].push_back(asked.sent);
  }
  std::set<std::string> arrived;
  std::vector<Arrival> arrivals = record.arrivals;
  std::ranges::sort(arrivals, {}, &Arrival::at);
  for (const Arrival& arrival : arrivals) {
    if (!arrived.insert(arrival.id).second)
      repeats[arrival.service].push_back(arrival.at);
  }
  std::vector<std::string> broken;
  for (auto& [pool, times] : repeats) {
    std::vector<Millis>& asked = fresh[pool];
    std::ranges::sort(asked);
    const auto count = [&](const std::vector<Millis>& all, Millis from) {
      return std::ranges::lower_bound(all, from + limits.window) -
             std::ranges::lower_bound(all, from);
    };
    for (const Millis from : times) {
      const Millis half(limits.window.count() / 2);
      const auto requests =
          std::max({count(asked, from), count(asked, from - half),
                    count(asked, from - limits.window)});
      const auto within = count(times, from);
      if (static_cast<double>(within) <=
          limits.ratio * static_cast<double>(requests) + limits.slack)
        continue;
      broken.push_back("BUDGET: " + std::to_string(within) + " repeats for " +
                       std::to_string(requests) + " requests at " + pool +
                       " from " + std::to_string(from.count()) + " ms");
      break;
    }
  }
  return broken;
}

}  // namespace sparbend::testing
