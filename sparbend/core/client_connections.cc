// Entries are kept in one vector and linked into lists by their positions, so a
// change of state allocates nothing. Time never decreases, so an entry that is
// appended to a list has been in its state for the shortest time of all.
//
// Invariants: every regular entry in kIdle is in the list of its workspace,
// every regular entry in kReading is in reading_, every reserved entry in
// kUnread is in reserved_unread_, and no entry is in any other list. by_idle_
// holds each workspace with idle connections once, with their number.
//
// Load: 74,000 to 100,000 attempts a day were closed unread while 2,831 to
// 2,856 of 3,000 connections were idle. A new connection therefore always takes
// the place of an idle one, and the workspace that holds most of these loses
// its own first.
#include "sparbend/core/client_connections.h"

#include <algorithm>

namespace sparbend {
namespace {

// Named by the platform: descriptors of the process that are used for files.
constexpr int64_t kFdsForFiles = 200;
// Listeners, the datagram socket, calls to other boxes and the store, and
// probes of targets. A box of a hall of 41 has a call to a few peers and one to
// the store open.
constexpr int64_t kFdsForOwnUse = 64;
// Calls of operators, probes and other boxes. When all boxes of a fleet of 300
// start, each asks the same few for the configuration. Few descriptors mean a
// small fleet, and most of them are for clients.
constexpr int64_t kMaxOwnConnections = 256;
constexpr int64_t kMinOwnConnections = 16;
constexpr int64_t kOwnConnectionsShare = 16;
constexpr int64_t kOwnAddresses = 2;
// A refusal takes a small box about 1 ms, and up to 1,000 clients a second
// arrive there: this holds the arrivals of an eighth of a second, which is the
// longest that a request with an objective of one second may wait for a
// refusal.
constexpr size_t kReserve = 128;
// With a smaller limit a box serves hardly anyone. It applies where max_fds is
// set too low, or nearly all descriptors are in use towards targets; accept
// then fails, which closes idle connections.
constexpr int64_t kMinLimit = 16;
// Above this part of the limit, answers say that the connection closes. Such a
// close can't meet a request on its way, unlike the close of an idle
// connection. On a box with 120 MB (921 connections) the last fifth is for the
// clients that arrive within 184 ms at 1,000 a second.
constexpr size_t kKeepAlivePercent = 80;
// A client gives up an attempt that has not been read after a second, so one
// that takes longer to send its request is not worth a place that another
// client needs.
constexpr Millis kSlowAfter = Millis(1'000);
// Near the limit, one workspace may hold at most this part of it with requests
// in progress. The rest is enough for the usual load of all others: one at 14
// times its usual load, of 30 workspaces, is a third of all demand.
constexpr size_t kMaxRunningPercent = 75;

constexpr unsigned kGenerationShift = 32;

auto IsRunning(ClientConnections::State state) -> bool {
  return state == ClientConnections::State::kQueued ||
         state == ClientConnections::State::kRelaying;
}

}  // namespace

ClientConnections::ClientConnections(const Limits& limits) : limits_(limits) {}

auto ClientConnections::IdOf(Index index) const -> ConnectionId {
  return (ConnectionId{entries_[index].generation} << kGenerationShift) | index;
}

auto ClientConnections::Find(ConnectionId id) const -> Index {
  const auto index = static_cast<Index>(id);
  const bool found = index < entries_.size() && entries_[index].used &&
                     entries_[index].generation == id >> kGenerationShift;
  return found ? index : kNone;
}

void ClientConnections::Append(List* list, Index index) {
  entries_[index].previous = list->last;
  entries_[index].next = kNone;
  (list->last == kNone ? list->first : entries_[list->last].next) = index;
  list->last = index;
}

void ClientConnections::Unlink(List* list, Index index) {
  const Entry& entry = entries_[index];
  (entry.previous == kNone ? list->first : entries_[entry.previous].next) =
      entry.next;
  (entry.next == kNone ? list->last : entries_[entry.next].previous) =
      entry.previous;
}

void ClientConnections::SetIdleCount(WorkspaceId id,
                                     WorkspaceEntry* workspace,
                                     uint32_t idle) {
  auto node = by_idle_.extract({workspace->idle, id});
  workspace->idle = idle;
  if (idle == 0)
    return;
  if (node.empty()) {
    by_idle_.emplace(idle, id);
    return;
  }
  node.value() = {idle, id};
  by_idle_.insert(std::move(node));
}

void ClientConnections::Enter(Index index) {
  const Entry& entry = entries_[index];
  if (entry.place == Place::kReserve) {
    ++reserved_;
    if (entry.state == State::kUnread)
      Append(&reserved_unread_, index);
    return;
  }
  ++size_;
  ++counts_[static_cast<size_t>(entry.state)];
  if (entry.state == State::kReading)
    Append(&reading_, index);
  if (entry.state != State::kIdle && !IsRunning(entry.state))
    return;
  WorkspaceEntry& workspace = workspaces_[entry.workspace];
  if (entry.state == State::kIdle) {
    Append(&workspace.idle_list, index);
    SetIdleCount(entry.workspace, &workspace, workspace.idle + 1);
  } else {
    ++workspace.running;
  }
}

void ClientConnections::Leave(Index index) {
  const Entry& entry = entries_[index];
  if (entry.place == Place::kReserve) {
    --reserved_;
    if (entry.state == State::kUnread)
      Unlink(&reserved_unread_, index);
    return;
  }
  --size_;
  --counts_[static_cast<size_t>(entry.state)];
  if (entry.state == State::kReading)
    Unlink(&reading_, index);
  if (entry.state != State::kIdle && !IsRunning(entry.state))
    return;
  WorkspaceEntry& workspace = workspaces_.at(entry.workspace);
  if (entry.state == State::kIdle) {
    Unlink(&workspace.idle_list, index);
    SetIdleCount(entry.workspace, &workspace, workspace.idle - 1);
  } else {
    --workspace.running;
  }
}

auto ClientConnections::Add(Place place, Millis now) -> ConnectionId {
  Index index = 0;
  if (free_.empty()) {
    index = static_cast<Index>(entries_.size());
    entries_.emplace_back();
  } else {
    index = free_.back();
    free_.pop_back();
  }
  Entry& entry = entries_[index];
  ++entry.generation;
  entry.used = true;
  entry.place = place;
  entry.state = State::kUnread;
  entry.workspace = 0;
  entry.since = now;
  Enter(index);
  return IdOf(index);
}

void ClientConnections::SetState(ConnectionId id,
                                 State state,
                                 WorkspaceId workspace,
                                 Millis now) {
  const Index index = Find(id);
  if (index == kNone)
    return;
  Leave(index);
  entries_[index].state = state;
  entries_[index].workspace = workspace;
  entries_[index].since = now;
  Enter(index);
}

void ClientConnections::Remove(ConnectionId id) {
  const Index index = Find(id);
  if (index == kNone)
    return;
  Leave(index);
  entries_[index].used = false;
  free_.push_back(index);
}

auto ClientConnections::OwnConnectionsWithin(int64_t max_fds) -> size_t {
  if (max_fds <= 0)
    return static_cast<size_t>(kMaxOwnConnections);
  return static_cast<size_t>(std::clamp(
      max_fds / kOwnConnectionsShare, kMinOwnConnections, kMaxOwnConnections));
}

auto ClientConnections::LimitWith(size_t target_sockets) const -> size_t {
  int64_t limit = limits_.connections;
  if (limits_.max_fds > 0)
    limit = std::min(
        limit,
        std::max(kMinLimit, limits_.max_fds - kFdsForFiles - kFdsForOwnUse -
                                kOwnAddresses *
                                    static_cast<int64_t>(
                                        OwnConnectionsWithin(limits_.max_fds)) -
                                static_cast<int64_t>(kReserve) -
                                static_cast<int64_t>(target_sockets)));
  return static_cast<size_t>(std::max<int64_t>(1, limit));
}

auto ClientConnections::IsNearLimit(size_t target_sockets) const -> bool {
  return size_ * 100 > LimitWith(target_sockets) * kKeepAlivePercent;
}

auto ClientConnections::Describe(Room::Action action,
                                 Index index,
                                 Millis now,
                                 Room room) const -> Room {
  room.action = action;
  room.connection = IdOf(index);
  room.workspace = entries_[index].workspace;
  room.in_state = now - entries_[index].since;
  return room;
}

auto ClientConnections::NextToClose(Millis now) const -> Room {
  if (by_idle_.empty())
    return NextSlow(now);
  Room room;
  room.open = size_;
  const WorkspaceId most_idle = by_idle_.rbegin()->second;
  return Describe(Room::Action::kCloseIdle,
                  workspaces_.at(most_idle).idle_list.first, now, room);
}

auto ClientConnections::NextSlow(Millis now) const -> Room {
  Room room;
  room.open = size_;
  if (reading_.first != kNone &&
      now - entries_[reading_.first].since >= kSlowAfter)
    return Describe(Room::Action::kCloseSlow, reading_.first, now, room);
  return room;
}

auto ClientConnections::MakeRoom(size_t target_sockets, Millis now) const
    -> Room {
  Room room;
  room.open = size_;
  room.limit = LimitWith(target_sockets);
  if (size_ < room.limit)
    return room;
  Room closing = NextToClose(now);
  if (closing.action != Room::Action::kAccept) {
    closing.limit = room.limit;
    return closing;
  }
  return ReserveRoom(target_sockets, now);
}

auto ClientConnections::ReserveRoom(size_t target_sockets, Millis now) const
    -> Room {
  Room room;
  room.open = size_;
  room.limit = LimitWith(target_sockets);
  if (reserved_ < kReserve) {
    room.action = Room::Action::kReserve;
    return room;
  }
  if (reserved_unread_.first != kNone)
    return Describe(Room::Action::kDropReserved, reserved_unread_.first, now,
                    room);
  room.action = Room::Action::kFull;
  return room;
}

auto ClientConnections::MayKeepAlive(size_t target_sockets) const -> bool {
  return !IsNearLimit(target_sockets);
}

auto ClientConnections::MayStart(WorkspaceId workspace,
                                 size_t target_sockets) const -> bool {
  if (!IsNearLimit(target_sockets))
    return true;
  const auto found = workspaces_.find(workspace);
  return found == workspaces_.end() ||
         found->second.running * size_t{100} <
             LimitWith(target_sockets) * kMaxRunningPercent;
}

auto ToString(ClientConnections::Room::Action action) -> std::string_view {
  using Action = ClientConnections::Room::Action;
  switch (action) {
    case Action::kAccept:
      return "accept";
    case Action::kCloseIdle:
      return "idle";
    case Action::kCloseSlow:
      return "slow";
    case Action::kReserve:
      return "over-limit";
    case Action::kDropReserved:
      return "reserve-full";
    case Action::kFull:
      return "full";
  }
  return "";
}

}  // namespace sparbend
