// Load: 27 connections of one workspace that announced 3.9 MB each and sent a
// little of it held all of the budget of a box of 260 MB.
//
// Workspaces are compared by what is reserved for their bodies that arrive, so
// one that holds less than another is served before it, and two that hold the
// same don't end each other's. Bodies that have arrived are not counted: they
// are held for as long as targets need them. Large bodies are few, since the
// budget has room for a few hundred, so the sums are made when they are needed.
#include "sparbend/core/arriving_bodies.h"

#include <algorithm>

namespace sparbend {
namespace {

// A client gives up an attempt that has not been read after a second.
constexpr Millis kSlowAfter = Millis(1'000);

}  // namespace

void ArrivingBodies::Set(ConnectionId connection,
                         WorkspaceId workspace,
                         size_t bytes,
                         Millis now) {
  const auto [entry, added] = bodies_.try_emplace(connection);
  if (added)
    entry->second.since = now;
  entry->second.workspace = workspace;
  entry->second.bytes = bytes;
}

void ArrivingBodies::Remove(ConnectionId connection) {
  bodies_.erase(connection);
}

auto ArrivingBodies::NextToEnd(WorkspaceId workspace,
                               size_t bytes,
                               Millis now) const
    -> std::optional<ConnectionId> {
  std::map<WorkspaceId, size_t> sums;
  for (const auto& [connection, body] : bodies_)
    sums[body.workspace] += body.bytes;
  const auto most = std::ranges::max_element(
      sums, {}, [](const auto& sum) { return sum.second; });
  if (most == sums.end() || most->first == workspace ||
      sums[workspace] + bytes > most->second)
    return std::nullopt;
  const std::pair<const ConnectionId, Body>* oldest = nullptr;
  for (const auto& entry : bodies_) {
    if (entry.second.workspace == most->first &&
        (oldest == nullptr || entry.second.since < oldest->second.since))
      oldest = &entry;
  }
  if (now - oldest->second.since < kSlowAfter)
    return std::nullopt;
  return oldest->first;
}

}  // namespace sparbend
