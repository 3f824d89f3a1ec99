// Invariants: flows_of_, expiries_ and queues_ hold the same requests; usage_
// and bytes_ are their sums; queues_ has no empty queue.
#include "sparbend/core/queue.h"

#include <algorithm>

namespace sparbend {

void FlowQueues::Count(const QueuedRequest& request, int sign) {
  Usage& usage = usage_[request.flow.workspace];
  usage.requests += sign;
  usage.bytes += sign * request.bytes;
  bytes_ += sign * request.bytes;
  if (usage.requests == 0)
    usage_.erase(request.flow.workspace);
  if (sign > 0) {
    flows_of_[request.id] = request.flow;
    expiries_.emplace(request.expires, request.id);
  } else {
    flows_of_.erase(request.id);
    expiries_.erase({request.expires, request.id});
  }
}

auto FlowQueues::WhyFull(const Workspace& workspace, int64_t bytes) const
    -> std::optional<QueueFull> {
  const auto found = usage_.find(workspace.number);
  const Usage usage = found == usage_.end() ? Usage() : found->second;
  if (usage.requests >= workspace.queue_requests)
    return QueueFull::kWorkspaceRequests;
  if (usage.bytes + bytes > workspace.queue_bytes)
    return QueueFull::kWorkspaceBytes;
  if (static_cast<int64_t>(total()) >= limits_.requests ||
      bytes_ + bytes > limits_.bytes)
    return QueueFull::kBox;
  return std::nullopt;
}

auto FlowQueues::Push(const QueuedRequest& request, const Workspace& workspace)
    -> std::optional<QueueFull> {
  const std::optional<QueueFull> full = WhyFull(workspace, request.bytes);
  if (full)
    return full;
  queues_[request.flow].push_back(request);
  Count(request, +1);
  return std::nullopt;
}

void FlowQueues::PushFront(const QueuedRequest& request) {
  queues_[request.flow].push_front(request);
  Count(request, +1);
}

auto FlowQueues::Remove(RequestId id) -> std::optional<QueuedRequest> {
  const auto found = flows_of_.find(id);
  if (found == flows_of_.end())
    return std::nullopt;
  const Flow flow = found->second;
  std::deque<QueuedRequest>& queue = queues_.at(flow);
  const auto position = std::ranges::find(queue, id, &QueuedRequest::id);
  const QueuedRequest request = *position;
  queue.erase(position);
  if (queue.empty())
    queues_.erase(flow);
  Count(request, -1);
  return request;
}

auto FlowQueues::Front(Flow flow) const -> const QueuedRequest* {
  const auto found = queues_.find(flow);
  return found == queues_.end() ? nullptr : &found->second.front();
}

auto FlowQueues::Count(Flow flow) const -> size_t {
  const auto found = queues_.find(flow);
  return found == queues_.end() ? 0 : found->second.size();
}

auto FlowQueues::TakeExpired(Millis now) -> std::vector<QueuedRequest> {
  std::vector<QueuedRequest> expired;
  while (!expiries_.empty() && expiries_.begin()->first <= now)
    expired.push_back(*Remove(expiries_.begin()->second));
  return expired;
}

}  // namespace sparbend
