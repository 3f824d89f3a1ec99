// Tracks the clients' connections of a box and decides which of them are closed
// when there are too many. Clients that are refused keep their old connection
// open and return on a new one, so most connections are idle when the limit is
// reached; one of these is closed for each new one.
//
//   Room room = connections.MakeRoom(target_sockets, now);
//   while (room.action == Room::Action::kCloseIdle) {
//     ...  // close room.connection, or SetState if a request has arrived on it
//     room = connections.MakeRoom(target_sockets, now);
//   }
//   if (room.action == Room::Action::kAccept)
//     id = connections.Add(Place::kRegular, now);
#ifndef SPARBEND_CORE_CLIENT_CONNECTIONS_H_
#define SPARBEND_CORE_CLIENT_CONNECTIONS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"

namespace sparbend {

using ConnectionId = uint64_t;  // never 0, never reused

class ClientConnections {
 public:
  enum class State {
    kUnread,    // accepted, nothing has been read from it
    kReading,   // the box reads a request or waits for the first one
    kQueued,    // its request waits for a slot
    kRelaying,  // its request is at a target
    kIdle,      // its last request has been answered
  };
  static constexpr size_t kStates = 5;

  // Connections in the reserve are only accepted in order to be refused. They
  // don't count towards the limit.
  enum class Place { kRegular, kReserve };

  struct Limits {
    int64_t connections = 0;  // of clients, within the memory of the process
    int64_t max_fds = 0;      // file descriptors of the process; 0: no limit
    auto operator==(const Limits&) const -> bool = default;
  };

  // What to do with one more connection.
  struct Room {
    enum class Action {
      kAccept,        // there is room
      kCloseIdle,     // close `connection`, which is idle
      kCloseSlow,     // close `connection`, whose request arrives too slowly
      kReserve,       // accept it in the reserve, and refuse it
      kDropReserved,  // close `connection`, the oldest unread of the reserve
      kFull,          // close the new one: the reserve is full, and all read
    };
    Action action = Action::kAccept;
    ConnectionId connection = 0;  // for the kClose and kDrop actions only
    // The values that decided.
    WorkspaceId workspace = 0;  // last one of `connection`; 0: none
    Millis in_state;            // how long `connection` has been in its state
    size_t open = 0;            // regular connections
    size_t limit = 0;           // of them
    auto operator==(const Room&) const -> bool = default;
  };

  explicit ClientConnections(const Limits& limits);

  // How many connections each address for operators and other boxes may have
  // open, in a process with `max_fds` descriptors; 0: no limit of them.
  static auto OwnConnectionsWithin(int64_t max_fds) -> size_t;

  // Records an accepted connection, in state kUnread.
  auto Add(Place place, Millis now) -> ConnectionId;
  // The connection enters `state` at `now`, also if it is in that state. Calls
  // for one that was removed have no effect.
  void SetState(ConnectionId id,
                State state,
                WorkspaceId workspace,
                Millis now);
  void Remove(ConnectionId id);

  // How one more connection can be accepted while `target_sockets` sockets are
  // in use towards targets. Changes nothing; after a connection was closed or
  // found to have a request, it is asked again.
  auto MakeRoom(size_t target_sockets, Millis now) const -> Room;
  // How one more connection can be accepted in the reserve.
  auto ReserveRoom(size_t target_sockets, Millis now) const -> Room;
  // The connection to close next when the process lacks file descriptors: one
  // that is idle or slow; kAccept if there is none.
  auto NextToClose(Millis now) const -> Room;
  // The connection to close next when the process lacks memory: one that is
  // slow; kAccept if there is none.
  auto NextSlow(Millis now) const -> Room;
  // Whether a connection may stay open after its answer.
  auto MayKeepAlive(size_t target_sockets) const -> bool;
  // Whether one more request of `workspace` may be run: near the limit, one
  // workspace must not hold nearly all connections with requests in progress.
  auto MayStart(WorkspaceId workspace, size_t target_sockets) const -> bool;

  // The number of regular connections that may be open.
  auto LimitWith(size_t target_sockets) const -> size_t;
  // Regular connections.
  auto size() const -> size_t { return size_; }
  auto reserved() const -> size_t { return reserved_; }
  // Connections in a state, without those of the reserve.
  auto count(State state) const -> size_t {
    return counts_[static_cast<size_t>(state)];
  }

 private:
  // Position in entries_; kNone: no entry.
  using Index = uint32_t;
  static constexpr Index kNone = UINT32_MAX;

  // A list of entries through Entry::previous and next. An entry is in at most
  // one list.
  struct List {
    Index first = kNone;
    Index last = kNone;
  };

  struct Entry {
    uint32_t generation = 0;  // of the id that uses this entry
    bool used = false;
    Place place = Place::kRegular;
    State state = State::kUnread;
    WorkspaceId workspace = 0;
    Millis since;  // when it entered the state
    Index previous = kNone;
    Index next = kNone;
  };

  struct WorkspaceEntry {
    uint32_t idle = 0;
    uint32_t running = 0;  // queued or relaying
    List idle_list;        // the longest idle first
  };

  auto Find(ConnectionId id) const -> Index;
  auto IdOf(Index index) const -> ConnectionId;
  // Adds the entry to, or removes it from, the counts and the list of its
  // state.
  void Enter(Index index);
  void Leave(Index index);
  void Append(List* list, Index index);
  void Unlink(List* list, Index index);
  void SetIdleCount(WorkspaceId id, WorkspaceEntry* workspace, uint32_t idle);
  auto IsNearLimit(size_t target_sockets) const -> bool;
  auto Describe(Room::Action action, Index index, Millis now, Room room) const
      -> Room;

  Limits limits_;
  std::vector<Entry> entries_;
  std::vector<Index> free_;  // unused entries
  size_t size_ = 0;
  size_t reserved_ = 0;
  std::array<size_t, kStates> counts_ = {};
  std::unordered_map<WorkspaceId, WorkspaceEntry> workspaces_;
  // Workspaces with idle connections, by their number.
  std::set<std::pair<uint32_t, WorkspaceId>> by_idle_;
  List reading_;          // regular ones in kReading, the longest first
  List reserved_unread_;  // of the reserve, in kUnread, the oldest first
};

auto ToString(ClientConnections::Room::Action action) -> std::string_view;

}  // namespace sparbend

#endif  // SPARBEND_CORE_CLIENT_CONNECTIONS_H_
