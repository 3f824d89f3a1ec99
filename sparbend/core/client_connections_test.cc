// Guards against clients that are closed unread while nearly all connections of
// a box are idle. Refused clients kept their connection and returned on a new
// one, until the limit was reached: 74,000 to 100,000 attempts a day got no
// answer while 2,831 to 2,856 of 3,000 connections had no request.
#include "sparbend/core/client_connections.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

using Action = ClientConnections::Room::Action;
using Place = ClientConnections::Place;
using Room = ClientConnections::Room;
using State = ClientConnections::State;

constexpr size_t kReserveSize = 128;

TEST_GROUP(ClientConnections){
    // Adds a connection that enters `state` at `now`.
    auto AddIn(ClientConnections * connections,
               State state,
               WorkspaceId workspace,
               Millis now)
        ->ConnectionId{
            const ConnectionId id = connections->Add(Place::kRegular, now);
connections->SetState(id, state, workspace, now);
return id;
}  // namespace
};  // namespace sparbend

TEST(ClientConnections, LimitIsTheSmallestOfItsParts) {
  struct Case {
    const char* what;
    ClientConnections::Limits limits;
    size_t target_sockets;
    size_t limit;
  };
  const Case cases[] = {
      {"no descriptor limit", {3'000, 0}, 100'000, 3'000},
      {"connections are fewer", {921, 3'075}, 500, 921},
      {"descriptors are fewer",
       {3'000, 3'075},
       0,
       3'075 - 200 - 64 - 128 - 2 * 192},
      {"sockets towards targets", {3'000, 3'075}, 500, 1'799},
      {"more sockets than descriptors", {3'000, 3'075}, 5'000, 16},
      {"too few descriptors", {3'000, 1}, 0, 16},
      {"huge descriptors", {3'000, INT64_MAX}, 0, 3'000},
      {"negative descriptors", {3'000, -5}, 0, 3'000},
      {"no connections", {0, 0}, 0, 1},
      {"negative connections", {-1, 4'000}, 0, 1},
  };
  for (const Case& row : cases)
    LONGS_EQUAL_TEXT(
        row.limit, ClientConnections(row.limits).LimitWith(row.target_sockets),
        row.what);
}

TEST(ClientConnections, OwnConnectionsAreAPartOfTheDescriptors) {
  struct Case {
    int64_t max_fds;
    size_t connections;
  };
  const Case cases[] = {{0, 256},     {-5, 256},    {1, 16},
                        {256, 16},    {600, 37},    {3'075, 192},
                        {4'100, 256}, {8'192, 256}, {INT64_MAX, 256}};
  for (const Case& row : cases) {
    UNSIGNED_LONGS_EQUAL(row.connections,
                         ClientConnections::OwnConnectionsWithin(row.max_fds));
  }
}

TEST(ClientConnections, WhatIsClosedForANewConnection) {
  struct Given {
    State state;
    WorkspaceId workspace;
    int64_t since_ms;
  };
  struct Case {
    const char* what;
    std::vector<Given> open;
    Action action;
    int closes;  // position in `open`; -1: none
  };
  constexpr int64_t kNow = 10'000;
  const Case cases[] = {
      {"room", {{State::kIdle, 1, 0}}, Action::kAccept, -1},
      {"the longest idle of the workspace with most of them",
       {{State::kIdle, 1, 0},
        {State::kIdle, 2, 20},
        {State::kIdle, 2, 30},
        {State::kRelaying, 1, 0}},
       Action::kCloseIdle,
       1},
      {"an idle one before a slow one",
       {{State::kReading, 1, 0},
        {State::kIdle, 2, 9'999},
        {State::kReading, 1, 1},
        {State::kReading, 1, 2}},
       Action::kCloseIdle,
       1},
      {"the slowest one before work in progress",
       {{State::kRelaying, 1, 0},
        {State::kQueued, 1, 0},
        {State::kReading, 1, 5},
        {State::kReading, 2, 6}},
       Action::kCloseSlow,
       2},
      {"a request that arrives as usual is not slow",
       {{State::kReading, 1, kNow - 999},
        {State::kQueued, 1, 0},
        {State::kUnread, 0, 0},
        {State::kRelaying, 1, 0}},
       Action::kReserve,
       -1},
      {"one that the box has not read is not slow",
       {{State::kUnread, 0, 0},
        {State::kUnread, 0, 0},
        {State::kUnread, 0, 0},
        {State::kUnread, 0, 0}},
       Action::kReserve,
       -1},
  };
  for (const Case& row : cases) {
    ClientConnections connections({4, 0});
    std::vector<ConnectionId> ids;
    for (const Given& given : row.open)
      ids.push_back(AddIn(&connections, given.state, given.workspace,
                          Millis(given.since_ms)));
    const Room room = connections.MakeRoom(0, Millis(kNow));
    CHECK_TEXT(row.action == room.action, row.what);
    CHECK_TEXT(room.connection == (row.closes < 0 ? 0 : ids[row.closes]),
               row.what);
  }
}

TEST(ClientConnections, TheReserveDropsItsOldestUnreadOne) {
  ClientConnections connections({1, 0});
  AddIn(&connections, State::kRelaying, 1, Millis(0));
  std::vector<ConnectionId> reserved;
  for (size_t i = 0; i < kReserveSize; ++i) {
    CHECK(connections.MakeRoom(0, Millis(1)).action == Action::kReserve);
    reserved.push_back(connections.Add(Place::kReserve, Millis(1)));
  }
  LONGS_EQUAL(1, connections.size());
  connections.SetState(reserved[0], State::kReading, 0, Millis(2));
  const Room room = connections.MakeRoom(0, Millis(3));
  CHECK(room.action == Action::kDropReserved);
  CHECK(room.connection == reserved[1]);
  for (const ConnectionId id : reserved)
    connections.SetState(id, State::kReading, 0, Millis(4));
  CHECK(connections.MakeRoom(0, Millis(60'000)).action == Action::kFull);
  connections.Remove(reserved[7]);
  CHECK(connections.MakeRoom(0, Millis(60'000)).action == Action::kReserve);
}

TEST(ClientConnections, AnswersCloseTheirConnectionNearTheLimit) {
  ClientConnections connections({100, 0});
  for (int i = 0; i < 80; ++i)
    connections.Add(Place::kRegular, Millis(0));
  CHECK(connections.MayKeepAlive(0));
  connections.Add(Place::kRegular, Millis(0));
  CHECK(!connections.MayKeepAlive(0));
}

TEST(ClientConnections, OneWorkspaceDoesNotTakeAllTheRoom) {
  ClientConnections connections({100, 0});
  for (int i = 0; i < 75; ++i)
    AddIn(&connections, i % 2 == 0 ? State::kQueued : State::kRelaying, 1,
          Millis(0));
  CHECK(connections.MayStart(1, 0));  // there is room for all
  for (int i = 0; i < 6; ++i)
    AddIn(&connections, State::kRelaying, 2, Millis(0));
  CHECK(!connections.MayStart(1, 0));
  CHECK(connections.MayStart(2, 0));
  CHECK(connections.MayStart(3, 0));
}

TEST(ClientConnections, IdsOfRemovedConnectionsHaveNoEffect) {
  ClientConnections connections({4, 0});
  const ConnectionId removed = connections.Add(Place::kRegular, Millis(0));
  connections.Remove(removed);
  const ConnectionId reuses = connections.Add(Place::kRegular, Millis(0));
  CHECK(removed != reuses);
  for (const ConnectionId id : {removed, ConnectionId{0}, ~ConnectionId{0}}) {
    connections.SetState(id, State::kIdle, 1, Millis(0));
    connections.Remove(id);
  }
  LONGS_EQUAL(1, connections.size());
  LONGS_EQUAL(1, connections.count(State::kUnread));
}

// The same decisions by a search through all connections.
class Oracle {
 public:
  struct Known {
    ConnectionId id = 0;
    Place place = Place::kRegular;
    State state = State::kUnread;
    WorkspaceId workspace = 0;
    Millis since;
  };

  explicit Oracle(size_t limit) : limit_(limit) {}

  // Connections are kept in the order in which they entered their states.
  void Enter(const Known& entered) {
    Remove(entered.id);
    known_.push_back(entered);
  }
  void Remove(ConnectionId id) {
    std::erase_if(known_, [id](const Known& one) { return one.id == id; });
  }

  auto MakeRoom(Millis now) const -> Room {
    Room room;
    room.limit = limit_;
    room.open =
        Count([](const Known& one) { return one.place == Place::kRegular; });
    if (room.open < limit_)
      return room;
    std::map<WorkspaceId, size_t> idle;
    for (const Known& one : known_)
      idle[one.workspace] += IsIdle(one) ? 1 : 0;
    std::pair<size_t, WorkspaceId> most;
    for (const auto& [workspace, count] : idle)
      most = std::max(most, {count, workspace});
    if (most.first > 0)
      return First(room, Action::kCloseIdle, now, [&](const Known& one) {
        return IsIdle(one) && one.workspace == most.second;
      });
    const auto is_slow = [now](const Known& one) {
      return one.place == Place::kRegular && one.state == State::kReading &&
             now - one.since >= Millis(1'000);
    };
    if (Count(is_slow) > 0)
      return First(room, Action::kCloseSlow, now, is_slow);
    const auto is_reserved = [](const Known& one) {
      return one.place == Place::kReserve;
    };
    const auto is_droppable = [&](const Known& one) {
      return is_reserved(one) && one.state == State::kUnread;
    };
    room.action =
        Count(is_reserved) < kReserveSize ? Action::kReserve : Action::kFull;
    if (room.action == Action::kFull && Count(is_droppable) > 0)
      return First(room, Action::kDropReserved, now, is_droppable);
    return room;
  }

  auto known() const -> const std::vector<Known>& { return known_; }

 private:
  using Condition = std::function<bool(const Known&)>;

  static auto IsIdle(const Known& one) -> bool {
    return one.place == Place::kRegular && one.state == State::kIdle;
  }
  auto Count(const Condition& condition) const -> size_t {
    return static_cast<size_t>(
        std::count_if(known_.begin(), known_.end(), condition));
  }
  auto First(Room room,
             Action action,
             Millis now,
             const Condition& condition) const -> Room {
    const auto found = std::find_if(known_.begin(), known_.end(), condition);
    room.action = action;
    room.connection = found->id;
    room.workspace = found->workspace;
    room.in_state = now - found->since;
    return room;
  }

  size_t limit_;
  std::vector<Known> known_;
};

// Random arrivals, changes of state and ends, with all kinds of decisions.
TEST(ClientConnections, DecidesAsASearchThroughAllConnections) {
  std::map<Action, int> seen;
  for (unsigned seed = 0; seed < 20; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&](size_t bound) {
      return std::uniform_int_distribution<size_t>(0, bound - 1)(random);
    };
    const size_t limit = 1 + below(40);
    // Low values keep connections idle or in progress for long.
    const size_t end_one_in = 2 + below(30);
    const bool any_idle = seed % 2 == 0;
    ClientConnections connections({static_cast<int64_t>(limit), 0});
    Oracle oracle(limit);
    Millis now;
    for (int step = 0; step < 1'500; ++step) {
      now = now + Millis(static_cast<int64_t>(below(40)));
      const Room room = connections.MakeRoom(0, now);
      CHECK(oracle.MakeRoom(now) == room);
      ++seen[room.action];
      const bool is_accepted =
          room.action == Action::kAccept || room.action == Action::kReserve;
      if (is_accepted) {
        const Place place =
            room.action == Action::kAccept ? Place::kRegular : Place::kReserve;
        oracle.Enter(
            {connections.Add(place, now), place, State::kUnread, 0, now});
      } else if (room.action != Action::kFull) {
        connections.Remove(room.connection);
        oracle.Remove(room.connection);
      }
      if (oracle.known().empty())
        continue;
      Oracle::Known changed = oracle.known()[below(oracle.known().size())];
      if (below(end_one_in) == 0) {
        connections.Remove(changed.id);
        oracle.Remove(changed.id);
        continue;
      }
      changed.state =
          static_cast<State>(below(any_idle ? ClientConnections::kStates
                                            : ClientConnections::kStates - 1));
      changed.workspace = static_cast<WorkspaceId>(below(5));
      changed.since = now;
      connections.SetState(changed.id, changed.state, changed.workspace, now);
      oracle.Enter(changed);
    }
  }
  for (const Action action :
       {Action::kAccept, Action::kCloseIdle, Action::kCloseSlow,
        Action::kReserve, Action::kDropReserved})
    CHECK_TEXT(seen[action] > 0, ToString(action).data());
}

// The replay of the load. Thirty workspaces reach one small box, one of them
// with 14 times the load of the others; the box refuses what exceeds its slots.
// A refused client leaves its connection open and returns on a new one.
struct ReplayLoad {
  int workspaces = 30;
  double usual_rate_per_s = 2;  // requests of a workspace
  double large_factor = 14;
  int slots = 16;                   // requests that the box runs at once
  Millis run_time = Millis(500);    // of a request
  Millis refuse_time = Millis(20);  // until a refused client has its answer
  Millis network_time = Millis(2);  // one way
  Millis retry_after = Millis(300);
  int max_attempts = 4;
  double reuse_ratio = 0.5;  // of first attempts, on an idle connection
  Millis idle_time = Millis(60'000);
  Millis end = Millis(120'000);
  int64_t connections = 921;  // of a box with 120 MB
};

struct ReplayResult {
  int attempts = 0;
  int unanswered = 0;  // closed without an answer
  int served = 0;
  int over_limit = 0;  // answered from the reserve
  size_t most_idle = 0;
  auto UnansweredRatio() const -> double {
    return static_cast<double>(unanswered) / attempts;
  }
};

// With `closes_idle` false the box has the rule that a connection beyond the
// limit is closed unread, and keeps every connection after its answer.
class Replay {
 public:
  Replay(const ReplayLoad& load, bool closes_idle)
      : load_(load),
        closes_idle_(closes_idle),
        connections_({load.connections, 0}),
        random_(1) {}

  auto Run() -> ReplayResult {
    for (int workspace = 1; workspace <= load_.workspaces; ++workspace)
      ScheduleNext(static_cast<WorkspaceId>(workspace));
    while (!events_.empty() && events_.begin()->first <= load_.end) {
      now_ = events_.begin()->first;
      const std::function<void()> run = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      run();
    }
    return result_;
  }

 private:
  void At(Millis delay, std::function<void()> run) {
    events_.emplace(now_ + delay, std::move(run));
  }

  void ScheduleNext(WorkspaceId workspace) {
    const double rate =
        load_.usual_rate_per_s * (workspace == 1 ? load_.large_factor : 1);
    std::exponential_distribution<double> interval_s(rate);
    At(Millis(static_cast<int64_t>(1'000 * interval_s(random_))),
       [this, workspace] {
         ScheduleNext(workspace);
         Attempt(workspace, 1);
       });
  }

  // A first attempt may use an idle connection; a repeated one uses a new one.
  void Attempt(WorkspaceId workspace, int attempt) {
    ++result_.attempts;
    std::vector<ConnectionId>& idle = idle_[workspace];
    const bool reuses = attempt == 1 && !idle.empty() &&
                        std::bernoulli_distribution(load_.reuse_ratio)(random_);
    ConnectionId id = 0;
    if (reuses) {
      id = idle.back();
      idle.pop_back();
    }
    At(load_.network_time, [this, workspace, attempt, id] {
      const std::optional<ConnectionId> used =
          id == 0 ? Connect() : (IsOpen(id) ? std::optional(id) : std::nullopt);
      if (!used) {
        ++result_.unanswered;
        Retry(workspace, attempt);
        return;
      }
      Receive(*used, workspace, attempt);
    });
  }

  void Retry(WorkspaceId workspace, int attempt) {
    if (attempt < load_.max_attempts)
      At(load_.retry_after,
         [this, workspace, attempt] { Attempt(workspace, attempt + 1); });
  }

  auto IsOpen(ConnectionId id) const -> bool { return places_.contains(id); }

  void Close(ConnectionId id) {
    connections_.Remove(id);
    places_.erase(id);
    for (auto& [workspace, idle] : idle_)
      std::erase(idle, id);
  }

  auto Connect() -> std::optional<ConnectionId> {
    Place place = Place::kRegular;
    if (!closes_idle_) {
      if (connections_.size() >= connections_.LimitWith(0))
        return std::nullopt;
    } else {
      Room room = connections_.MakeRoom(0, now_);
      while (room.action == Action::kCloseIdle ||
             room.action == Action::kCloseSlow) {
        Close(room.connection);
        room = connections_.MakeRoom(0, now_);
      }
      if (room.action == Action::kFull)
        return std::nullopt;
      if (room.action == Action::kDropReserved) {
        Close(room.connection);
        ++result_.unanswered;
      }
      if (room.action != Action::kAccept)
        place = Place::kReserve;
    }
    const ConnectionId id = connections_.Add(place, now_);
    places_[id] = place;
    return id;
  }

  void Receive(ConnectionId id, WorkspaceId workspace, int attempt) {
    const bool is_reserved = places_.at(id) == Place::kReserve;
    const bool runs = !is_reserved && running_ < load_.slots &&
                      (!closes_idle_ || connections_.MayStart(workspace, 0));
    result_.over_limit += is_reserved ? 1 : 0;
    if (!is_reserved)
      connections_.SetState(id, runs ? State::kRelaying : State::kQueued,
                            workspace, now_);
    running_ += runs ? 1 : 0;
    At(runs ? load_.run_time : load_.refuse_time,
       [this, id, workspace, attempt, runs] {
         running_ -= runs ? 1 : 0;
         result_.served += runs ? 1 : 0;
         End(id, workspace);
         if (!runs)
           Retry(workspace, attempt);
       });
  }

  // The answer is sent, and the connection closes or becomes idle.
  void End(ConnectionId id, WorkspaceId workspace) {
    if (!IsOpen(id))
      return;
    if (places_.at(id) == Place::kReserve ||
        (closes_idle_ && !connections_.MayKeepAlive(0))) {
      Close(id);
      return;
    }
    connections_.SetState(id, State::kIdle, workspace, now_);
    result_.most_idle =
        std::max(result_.most_idle, connections_.count(State::kIdle));
    idle_[workspace].push_back(id);
    const int use = ++uses_[id];
    At(load_.idle_time, [this, id, use] {
      if (IsOpen(id) && uses_[id] == use && connections_.size() > 0)
        Close(id);
    });
  }

  ReplayLoad load_;
  bool closes_idle_;
  ClientConnections connections_;
  std::mt19937 random_;
  Millis now_;
  std::multimap<Millis, std::function<void()>> events_;
  std::map<ConnectionId, Place> places_;  // of open connections
  std::map<ConnectionId, int> uses_;
  std::map<WorkspaceId, std::vector<ConnectionId>> idle_;
  int running_ = 0;
  ReplayResult result_;
};

constexpr double kMaxUnansweredRatio = 0.005;

// A box with 120 MB, and one whose limit is hardly above its requests in
// progress, so that connections are also closed for others and refused in the
// reserve.
TEST(ClientConnections, RefusedClientsThatReturnOnNewConnectionsGetAnswers) {
  for (const int64_t limit : {921, 20}) {
    ReplayLoad load;
    load.connections = limit;
    const ReplayResult result = Replay(load, /*closes_idle=*/true).Run();
    const SimpleString text = StringFromFormat(
        "limit %d: attempts %d, unanswered %d, served %d, over limit %d, most "
        "idle %d",
        static_cast<int>(limit), result.attempts, result.unanswered,
        result.served, result.over_limit, static_cast<int>(result.most_idle));
    UT_PRINT(text.asCharString());
    CHECK_TEXT(result.UnansweredRatio() < kMaxUnansweredRatio,
               text.asCharString());
    CHECK(result.served > 0);
  }
}

// Shows that the load above reaches the limit: a rule that closes a connection
// beyond it unread leaves far more attempts without an answer.
TEST(ClientConnections, ThatLoadReachesTheLimit) {
  const ReplayLoad load;
  const ReplayResult result = Replay(load, /*closes_idle=*/false).Run();
  const SimpleString text = StringFromFormat(
      "attempts %d, unanswered %d, served %d, most idle %zu", result.attempts,
      result.unanswered, result.served, result.most_idle);
  UT_PRINT(text.asCharString());
  CHECK_TEXT(result.UnansweredRatio() > 10 * kMaxUnansweredRatio,
             text.asCharString());
  CHECK(result.most_idle > static_cast<size_t>(load.connections) * 9 / 10);
}

}  // namespace
}  // namespace sparbend
