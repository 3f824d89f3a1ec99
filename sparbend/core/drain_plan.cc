// A refusal costs a client little, as long as other boxes serve: it returns
// elsewhere at once. An answer that is broken off costs what its target has
// done, and a request that must not be repeated may be lost. So a request is
// sent only if its answer is likely to end in time; where that is not known, if
// at least half of the stop is left.
//
// Which request is sent next depends on shares, slots and targets. The order
// here only estimates how many can be sent, so that most of the others are
// refused at once. The rest is refused when it is too late to send them.
#include "sparbend/core/drain_plan.h"

#include <algorithm>
#include <map>

namespace sparbend {
namespace {

// The last refusals reach their clients within this time.
constexpr Millis kLastRefusalsTime = Millis(300);

}  // namespace

DrainPlan::DrainPlan(Millis begin, Millis end)
    : last_start_(begin + Millis((end - begin).count() / 2)),
      last_send_(std::max(last_start_, end - kLastRefusalsTime)),
      end_(end) {}

auto DrainPlan::MayStart(std::optional<Millis> answer_time, Millis at) const
    -> bool {
  return at < last_start_ && at + answer_time.value_or(Millis(0)) < last_send_;
}

auto DrainPlan::FindUnservable(const FlowQueues& queues,
                               const AnswerTimes& times,
                               const std::function<bool(RequestId)>& is_retry,
                               Millis now) const -> std::vector<RequestId> {
  std::vector<RequestId> unservable;
  std::map<AnswerTimes::Kind, std::optional<Millis>> percentiles;
  const auto may_start = [&](const QueuedRequest& request, Millis at) {
    const AnswerTimes::Kind kind = {request.flow.pool, request.route};
    const auto [entry, added] = percentiles.try_emplace(kind);
    if (added)
      entry->second = times.Percentile90(kind, now);
    return MayStart(entry->second, at);
  };
  std::map<PoolId, std::vector<const std::deque<QueuedRequest>*>> pools;
  for (const auto& [flow, queue] : queues.queues())
    pools[flow.pool].push_back(&queue);
  for (const auto& [pool, flows] : pools) {
    const double rate = times.CompletionRate(pool, now);
    size_t longest = 0;
    for (const auto* queue : flows)
      longest = std::max(longest, queue->size());
    int64_t sent_before = 0;
    for (size_t turn = 0; turn < longest; ++turn) {
      for (const auto* queue : flows) {
        if (turn >= queue->size())
          continue;
        const QueuedRequest& request = (*queue)[turn];
        const Millis wait = rate > 0
                                ? Millis(static_cast<int64_t>(
                                      static_cast<double>(sent_before) / rate))
                                : Millis(0);
        const bool keep = is_retry(request.id) ? now < last_send_
                                               : may_start(request, now + wait);
        if (keep)
          ++sent_before;
        else
          unservable.push_back(request.id);
      }
    }
  }
  return unservable;
}

}  // namespace sparbend
