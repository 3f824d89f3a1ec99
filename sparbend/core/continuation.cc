#include "sparbend/core/continuation.h"

#include <algorithm>

namespace sparbend {

auto ToString(ContinuationOutcome outcome) -> std::string_view {
  switch (outcome) {
    case ContinuationOutcome::kKnown:
      return "known";
    case ContinuationOutcome::kOnlyOne:
      return "only-one";
    case ContinuationOutcome::kUnknown:
      return "unknown";
    case ContinuationOutcome::kMoved:
      return "moved";
  }
  return "";
}

auto DecideContinuation(const ContinuationFacts& facts, const RouteRule& route)
    -> Continuation {
  const bool only_one = !facts.known && facts.possible.size() == 1;
  if (!facts.known && (!only_one || facts.incomplete))
    return {ContinuationOutcome::kUnknown, std::nullopt};
  const StreamOrigin origin = only_one ? *facts.possible.begin() : *facts.known;
  const bool serves_route =
      std::ranges::any_of(route.pools, [&](const PoolWeight& part) {
        return PoolIdOf(part.pool) == origin.pool;
      });
  if (!serves_route)
    return {ContinuationOutcome::kMoved, std::nullopt};
  return {
      only_one ? ContinuationOutcome::kOnlyOne : ContinuationOutcome::kKnown,
      origin};
}

auto MayContinueAt(VersionId version, const TargetVersionFacts& target)
    -> bool {
  return target.listed == version &&
         (target.read_since_connected || target.store_unavailable);
}

}  // namespace sparbend
