// The queued requests of one box: a first-in-first-out queue per flow, bounded
// per workspace and in total, in count and in bytes.
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
  RouteId route = 0;  // 0: none
  int64_t bytes = 0;  // memory it holds while it is queued
  Millis arrived;
  Millis expires;            // refused if still queued then
  uint64_t prefix = 0;       // hash of the prompt's first part; 0: none
  std::set<TargetId> avoid;  // targets that failed it in earlier attempts
  // It continues a stream of which its client has the beginning.
  bool resumes_stream = false;
  // The only version of targets' software that it may be sent to, since that
  // began its stream; nothing: any.
  std::optional<VersionId> version;
  WorkFacts work;  // its size, as far as the client sent it
  // Its estimated cost over the share of its workspace, as it counts while it
  // is queued.
  int64_t waiting_amount = 0;
  // Whether its client came back at the time that it was told. It goes before
  // other requests of its flow.
  bool kept_return_time = false;

  auto operator==(const QueuedRequest&) const -> bool = default;
};

// Whether the request goes before others of its flow: its client came back at
// the time that it was told, or a part of its work is done.
inline auto GoesFirst(const QueuedRequest& request) -> bool {
  return request.kept_return_time || request.resumes_stream;
}

// Limits over all flows of the box.
struct QueueLimits {
  int64_t requests = 20'000;
  int64_t bytes = 268'435'456;  // 256 MiB
};

// The limit that would be exceeded: of the workspace, in requests or bytes, or
// of the whole box.
enum class QueueFull { kWorkspaceRequests, kWorkspaceBytes, kBox };

class FlowQueues {
 public:
  explicit FlowQueues(QueueLimits limits) : limits_(limits) {}

  // Appends the request unless a limit would be exceeded; then returns which.
  auto Push(const QueuedRequest& request, const Workspace& workspace)
      -> std::optional<QueueFull>;
  // Returns the limit that one more request of `bytes` would exceed, if any.
  auto CheckLimits(const Workspace& workspace, int64_t bytes) const
      -> std::optional<QueueFull>;
  // Puts a request that was dispatched but did not run back at the front of its
  // queue. Ignores the limits: the request was within them when it was pushed.
  void PushFront(const QueuedRequest& request);

  // Removes and returns the request if it is queued here. O(length of its
  // queue).
  auto Remove(RequestId id) -> std::optional<QueuedRequest>;
  // The oldest request in the queue of `flow`, or null. Valid until the next
  // change.
  auto Front(Flow flow) const -> const QueuedRequest*;

  // Number of queued requests of `flow`.
  auto Count(Flow flow) const -> size_t;
  auto total() const -> size_t { return flow_by_request_.size(); }
  auto bytes() const -> int64_t { return bytes_; }
  // Number of queued requests that are bound to a version.
  auto bound_to_version() const -> size_t { return bound_to_version_; }
  auto queues() const -> const std::map<Flow, std::deque<QueuedRequest>>& {
    return queues_;
  }

  // Removes and returns the requests that have expired at `now`.
  auto TakeExpired(Millis now) -> std::vector<QueuedRequest>;

 private:
  struct Usage {
    int64_t requests = 0;
    int64_t bytes = 0;
  };

  // Adds the request to the totals and the indexes (`sign` is 1), or removes it
  // (-1).
  void UpdateTotals(const QueuedRequest& request, int sign);

  QueueLimits limits_;
  int64_t bytes_ = 0;
  size_t bound_to_version_ = 0;
  std::map<Flow, std::deque<QueuedRequest>> queues_;
  std::map<WorkspaceId, Usage> usage_by_workspace_;
  std::map<RequestId, Flow> flow_by_request_;
  std::set<std::pair<Millis, RequestId>> expiries_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_QUEUE_H_
