// The policy kShared: no leases. Each box sends at once where Placement finds
// room; what finds none waits, and the flows that were served least lately go
// first. Passes over waiting requests are at least kPassInterval apart: under
// overload there is something to look at with every answer that ends, and a
// pass costs flows * scanned requests * targets.
#include <algorithm>

#include "sparbend/core/entry.h"

namespace sparbend {
namespace {

constexpr Millis kPassInterval = Millis(10);
// Waiting requests of one flow that are looked at in a pass: one that has no
// room must not keep back a smaller one behind it for long.
constexpr size_t kScanned = 8;

}  // namespace

auto Entry::ChooseShared(const QueuedRequest& request, Millis now) const
    -> std::optional<Choice> {
  return placement_.Choose(
      request,
      [&](const std::string& hall) { return Permitted(request.flow, hall); },
      now);
}

auto Entry::TryStartShared(const QueuedRequest& request, Millis now)
    -> std::optional<Dispatch> {
  const std::optional<Choice> choice = ChooseShared(request, now);
  if (!choice)
    return std::nullopt;
  Start(request, choice->target, now);
  placement_.Start(request, *choice, now);
  return Dispatch{request.id, choice->target, *choice};
}

auto Entry::StartFirstOf(Flow flow, Millis now) -> std::optional<Dispatch> {
  const auto& waiting = queues_.queues().at(flow);
  const size_t count = std::min(waiting.size(), kScanned);
  for (size_t i = 0; i < count; ++i) {
    const QueuedRequest request = waiting[i];
    const std::optional<Dispatch> dispatch = TryStartShared(request, now);
    if (!dispatch)
      continue;
    queues_.Remove(request.id);
    return dispatch;
  }
  return std::nullopt;
}

auto Entry::ScheduleShared(Millis now) -> std::vector<Dispatch> {
  std::vector<Dispatch> dispatches;
  if (queues_.total() == 0 || now - shared_pass_ < kPassInterval)
    return dispatches;
  shared_pass_ = now;
  std::vector<Flow> order = FlowsByService(now);
  for (size_t i = 0; i < order.size();) {
    const std::optional<Dispatch> dispatch = StartFirstOf(order[i], now);
    if (!dispatch) {
      ++i;  // nothing of this flow has room; nor will it in this pass
      continue;
    }
    dispatches.push_back(*dispatch);
    // The flow was served, so the order changed; those found without room
    // stay behind.
    const std::vector<Flow> tried(order.begin(),
                                  order.begin() + static_cast<ptrdiff_t>(i));
    order = FlowsByService(now);
    std::erase_if(order, [&](Flow flow) {
      return std::ranges::find(tried, flow) != tried.end();
    });
    i = 0;
  }
  return dispatches;
}

}  // namespace sparbend
