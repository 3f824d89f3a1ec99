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
    case ContinuationOutcome::kNotResumable:
      return "not-resumable";
  }
  return "";
}

auto DecideContinuation(const ContinuationFacts& facts, const RouteRule& route)
    -> Continuation {
  if (!route.resumable)
    return {ContinuationOutcome::kNotResumable, std::nullopt};
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

auto VersionOf(const TargetVersionFacts& target) -> std::optional<VersionId> {
  const bool is_listed_process =
      target.read_since_connected || target.connected_before;
  return is_listed_process ? target.listed : std::nullopt;
}

}  // namespace sparbend
