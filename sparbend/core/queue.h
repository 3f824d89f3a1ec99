// The requests that wait in one box, a first-in-first-out queue per flow,
// bounded per workspace and in all, in count and in bytes.
#ifndef SPARBEND_CORE_QUEUE_H_
#define SPARBEND_CORE_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "sparbend/core/catalog.h"
#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"
#include "sparbend/core/work.h"

namespace sparbend {

using RequestId = uint64_t;

struct QueuedRequest {
  RequestId id = 0;
  Flow flow;
  int64_t bytes = 0;  // memory it holds while it waits
  Millis arrived;
  Millis expires;            // refused when still waiting then
  uint64_t prefix = 0;       // hash of the prompt's start; 0: none
  std::set<TargetId> avoid;  // targets that failed it before
  WorkFacts work;            // its size, as far as it was told

  auto operator==(const QueuedRequest&) const -> bool = default;
};

// Bounds over all flows of the box.
struct QueueLimits {
  int64_t requests = 20'000;
  int64_t bytes = 268'435'456;
};

enum class QueueFull { kWorkspaceRequests, kWorkspaceBytes, kBox };

class FlowQueues {
 public:
  explicit FlowQueues(QueueLimits limits) : limits_(limits) {}

  // Appends, unless a bound would be passed; then says which.
  auto Push(const QueuedRequest& request, const Workspace& workspace)
      -> std::optional<QueueFull>;
  // The bound that one more request of `bytes` would pass, if any.
  auto WhyFull(const Workspace& workspace, int64_t bytes) const
      -> std::optional<QueueFull>;
  // Puts a request that was taken and did not run back to the front. Not
  // bounded: it was within the bounds when it came.
  void PushFront(const QueuedRequest& request);

  // Removes the request if it waits here; it is returned.
  auto Remove(RequestId id) -> std::optional<QueuedRequest>;
  // The request that has waited longest in `flow`, or null.
  auto Front(Flow flow) const -> const QueuedRequest*;

  auto Count(Flow flow) const -> size_t;
  auto total() const -> size_t { return flows_of_.size(); }
  auto bytes() const -> int64_t { return bytes_; }
  auto queues() const -> const std::map<Flow, std::deque<QueuedRequest>>& {
    return queues_;
  }

  // Removes and returns the requests whose time is up at `now`.
  auto TakeExpired(Millis now) -> std::vector<QueuedRequest>;

 private:
  struct Usage {
    int64_t requests = 0;
    int64_t bytes = 0;
  };

  void Count(const QueuedRequest& request, int sign);

  QueueLimits limits_;
  int64_t bytes_ = 0;
  std::map<Flow, std::deque<QueuedRequest>> queues_;
  std::map<WorkspaceId, Usage> usage_;
  std::map<RequestId, Flow> flows_of_;
  std::set<std::pair<Millis, RequestId>> expiries_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_QUEUE_H_
