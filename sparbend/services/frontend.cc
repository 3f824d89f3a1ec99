// Checks are made in the order of their cost: number of connections, size of
// the header, API key, queue limits, the flow's share. They need only the
// header, and a request that fails one is refused without waiting for its body.
// Then the body is read, and then parsed. A request whose body can't be read to
// its end, or that is refused by its header, ends the connection.
#include "sparbend/services/frontend.h"

#include <exception>

#include "sparbend/core/digest.h"
#include "sparbend/kernel/header_reader.h"
#include "sparbend/kernel/log.h"
#include "sparbend/kernel/socket_peek.h"
#include "sparbend/services/immediate_refusal.h"

namespace sparbend {
namespace {

// Limits for reading and discarding the rest of a request that is refused
// before it has been read to its end.
constexpr std::chrono::seconds kDiscardTime(1);
constexpr uint64_t kMaxDiscardedBytes = 16 * 1024 * 1024;
constexpr Millis kRetryAfterStarting = Millis(1'000);
// Usually a single box is overloaded, because the load balancer spreads clients
// unevenly: another box can serve the client immediately.
constexpr Millis kRetryAfterOverload = Millis(20);
constexpr size_t kFirstReadBytes = 8'192;
// A chunk's size and the ends of lines, besides its extension or the trailers.
constexpr size_t kChunkLineBytes = 1'024;
constexpr unsigned kMaxHttpVersion = 11;  // that answers are sent in
// A client gives up an attempt that has not been read after a second. A place
// in the reserve is not held for longer for a request that is refused anyway.
constexpr Millis kRefusalReceiveTime = Millis(1'000);
// During a stop, for the next request of a client whose last answer said that
// the connection is kept: many round trips between halls.
constexpr Millis kNextRequestTime = Millis(100);
// The client of a request that arrives slowly gets its refusal before the
// connection is reset for unread bytes: several round trips between halls.
constexpr Millis kEvictedDiscardTime = Millis(100);
// For one new connection: all of the oldest idle connections may have requests
// on them only if the box stood still, and then the next ones have, too.
constexpr int kMaxLooksPerAccept = 8;
// Closing one takes about 20 us of processor time, so this many take 60 ms of a
// box with 0.09 of a core. The next attempt to accept, 10 ms later, closes
// more if the descriptors still don't suffice.
constexpr int kMaxClosedForDescriptors = 256;
constexpr Millis kClosedLogInterval = Millis(500);
constexpr const char* kOverloaded = "this box is overloaded";
constexpr const char* kNoRoomForBody =
    "this box has no room for the request's body";
constexpr const char* kNoMemory = "this box has no memory for the request";
constexpr const char* kNoRoom = "this box has no room for more connections";
constexpr const char* kTooManyRunning =
    "the workspace has requests on most connections of this box";

auto NotRun(int status, std::string reason, Millis retry_after = Millis(0))
    -> Refusal {
  return {status, Verdict::kNotRun, std::move(reason), retry_after};
}

// The refusal for a request that could not be read, or nothing if the client
// just closed its connection.
auto ReadErrorRefusal(const boost::system::error_code& error, bool any_byte)
    -> std::optional<Refusal> {
  if (error == http::error::header_limit)
    return NotRun(431, "the request header is larger than allowed");
  if (error == http::error::body_limit)
    return NotRun(413, "the request body is larger than allowed");
  if (error == http::error::buffer_overflow)
    return NotRun(431,
                  "the trailers or a chunk's header are larger than allowed");
  if (error == beast::error::timeout)
    return any_byte ? std::optional(
                          NotRun(408, "the request was not received in time"))
                    : std::nullopt;
  const bool malformed =
      error.category() == make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message;
  return malformed
             ? std::optional(NotRun(400, "the request is not valid HTTP/1.1: " +
                                             error.message()))
             : std::nullopt;
}

// The number of bytes of the request that have not been read, if its header
// states it and nothing else is buffered. A client that waits for 100 Continue
// does not send them.
auto UnreadBytes(const http::request_parser<ReservedBody>& parser,
                 const http::request_header<>& header,
                 size_t buffered) -> std::optional<uint64_t> {
  const uint64_t body = parser.content_length().value_or(0);
  const bool unknown = parser.chunked() || body < buffered ||
                       header.count(http::field::expect) != 0;
  return unknown ? std::nullopt : std::optional(body - buffered);
}

}  // namespace

// A request whose header is being read or has been checked.
struct Frontend::Arrival {
  Arrival(BodyBudget* budget, ArrivingBodies* arriving)
      : body_budget(budget), arriving_bodies(arriving) {}
  Arrival(const Arrival&) = delete;
  auto operator=(const Arrival&) -> Arrival& = delete;
  ~Arrival() { ReleaseBody(); }
  void ReleaseBody() {
    arriving_bodies->Remove(connection);
    body_budget->Release(&body_held);
  }
  // Frees what was read of a request that is refused, before its refusal is
  // sent: the client may take seconds to read that.
  void Discard() {
    parser.reset();
    header = {};
    ReleaseBody();
  }

  RequestContext context;
  std::optional<Parser> parser = std::make_optional<Parser>();
  http::request_header<> header;  // once it has been checked
  ConnectionId connection = 0;
  BodyBudget* body_budget;
  ArrivingBodies* arriving_bodies;
  size_t body_held = 0;  // reserved in body_budget
};

struct Frontend::Session {
  // `open_sessions` counts the sessions that exist.
  Session(asio::io_context& io,
          UnreadConnection connection,
          size_t* open_sessions)
      : stream(connection.TakeSocket(io)),
        id(connection.id),
        place(connection.place),
        open_count(open_sessions) {
    ++*open_count;
  }
  Session(const Session&) = delete;
  auto operator=(const Session&) -> Session& = delete;
  ~Session() { --*open_count; }
  auto reserved() const -> bool {
    return place == ClientConnections::Place::kReserve;
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  ConnectionId id;
  ClientConnections::Place place;
  WorkspaceId workspace = 0;  // of the last request; 0: none
  bool answered = false;      // a request was answered on the connection
  bool evicted = false;       // to be closed, and not in connections_ any more
  // Counts the connection if it is closed to make room; null: it isn't.
  prometheus::Counter* count_closed = nullptr;
  // The next request, if its header was already found acceptable.
  std::unique_ptr<Arrival> arrival;
  bool closed = false;
  bool refuse_next = false;  // refuses the next request, which waited too long
  bool arriving = false;     // a request is being read
  size_t* open_count;
};

Frontend::Frontend(Kernel* kernel,
                   const Settings& settings,
                   uint32_t incarnation)
    : kernel_(kernel),
      settings_(settings),
      id_prefix_(settings.name + "-" + ToHex(incarnation) + "-"),
      send_budget_(std::make_shared<SendBudget>(
          SendBudget::TotalWithin(settings.memory_mb))),
      body_budget_(BodyBudget::TotalWithin(settings.memory_mb)),
      connections_({settings.connections, settings.max_fds}) {}

void Frontend::Start() {
  config_ = kernel_->Find<CatalogSource>("config");
  protocol_ = kernel_->Find<ClientProtocol>("caller-dialect");
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  runner_ = kernel_->Find<Runner>("runner");
  forward_ = kernel_->Find<Forward>("forward");
  metrics_ = kernel_->Find<Metrics>("metrics");
  ClientAcceptorHooks hooks;
  hooks.admit = [this](ClientConnections::Place* place) {
    return Admit(place);
  };
  hooks.serve = [this](UnreadConnection connection) {
    ServeOrRefuse(std::move(connection));
  };
  hooks.refuse = [this](UnreadConnection connection) {
    RefuseUnread(std::move(connection));
  };
  hooks.on_lack_of_descriptors = [this](const std::string& error) {
    CloseForDescriptors(error);
  };
  acceptor_ =
      std::make_unique<ClientAcceptor>(kernel_, metrics_, std::move(hooks));
  if (const std::error_code error =
          acceptor_->Listen(*ParseAddress(settings_.client_address))) {
    Log(LogLevel::kError, "listen-failed",
        {{"address", settings_.client_address}, {"error", error.message()}});
    kernel_->Stop();
    return;
  }
  kernel_->SpawnForClients("front-accept", acceptor_->Run());
}

void Frontend::Stop() {
  if (acceptor_)
    acceptor_->Close();
}

void Frontend::Drain() {
  leaving_ = true;
  draining_ = true;
  Stop();
  // Only cancels, since a request may have arrived and even been read: its
  // session refuses it. Any other session closes its connection.
  for (Session* session : idle_sessions_)
    session->stream.cancel();
}

void Frontend::RefuseArriving() {
  std::vector<Session*> arriving;
  for (const auto& [id, session] : sessions_) {
    if (session->arriving)
      arriving.push_back(session);
  }
  for (Session* session : arriving)
    Evict(session);
}

auto Frontend::unfinished() const -> size_t {
  // Once this box drains, idle connections are being closed, unless a request
  // has arrived on them.
  const size_t idle = draining_ ? 0 : idle_sessions_.size();
  return open_sessions_ - idle + acceptor_->waiting();
}

// The limits of the configuration where it sets them, otherwise of the
// settings.
auto Frontend::limits() const -> ClientLimits {
  const ClientLimits& declared = config_->catalog()->limits();
  ClientLimits limits;
  limits.header_bytes = declared.header_bytes > 0 ? declared.header_bytes
                                                  : settings_.header_bytes;
  limits.body_bytes =
      declared.body_bytes > 0 ? declared.body_bytes : settings_.body_bytes;
  limits.receive_time = declared.receive_time > Millis(0)
                            ? declared.receive_time
                            : settings_.receive_time;
  limits.idle_time =
      declared.idle_time > Millis(0) ? declared.idle_time : settings_.idle_time;
  return limits;
}

auto Frontend::address() const -> std::string {
  return acceptor_->address();
}

auto Frontend::Admit(ClientConnections::Place* place)
    -> std::optional<ConnectionId> {
  using Action = ClientConnections::Room::Action;
  using Place = ClientConnections::Place;
  const Millis now = kernel_->Now();
  const size_t target_sockets = forward_->target_sockets();
  const auto closes = [](const ClientConnections::Room& room) {
    return room.action == Action::kCloseIdle ||
           room.action == Action::kCloseSlow;
  };
  ClientConnections::Room room = connections_.MakeRoom(target_sockets, now);
  bool any_closed = false;
  for (int looks = 0; closes(room) && looks < kMaxLooksPerAccept; ++looks) {
    any_closed = CloseUnlessArrived(room) || any_closed;
    room = connections_.MakeRoom(target_sockets, now);
  }
  // Where the limit has become smaller, more than one has to be closed for each
  // new one. The rest follows with the next ones.
  if (room.action == Action::kAccept || any_closed) {
    *place = Place::kRegular;
    const ConnectionId id = connections_.Add(*place, now);
    SetConnectionGauges();
    return id;
  }
  if (closes(room))
    room = connections_.ReserveRoom(target_sockets, now);
  if (room.action == Action::kDropReserved)
    DropReserved(room.connection);
  if (room.action == Action::kFull || room.action == Action::kDropReserved) {
    ++closed_.unread;
    metrics_->connections_refused.Increment();
    Log(LogLevel::kWarning, "connection-refused",
        {{"reason", ToString(room.action)},
         {"connections", room.open},
         {"limit", room.limit},
         {"reserved", connections_.reserved()},
         {"waited_ms", room.in_state.count()}});
  }
  if (room.action == Action::kFull)
    return std::nullopt;
  ++closed_.over_limit;
  metrics_->connections_over_limit.Increment();
  LogClosedConnections(room);
  *place = Place::kReserve;
  return connections_.Add(*place, now);
}

auto Frontend::CloseUnlessArrived(const ClientConnections::Room& room) -> bool {
  const auto found = sessions_.find(room.connection);
  if (found == sessions_.end()) {
    connections_.Remove(room.connection);
    return true;
  }
  Session* session = found->second;
  const bool arrived =
      PeekSocket(session->stream.socket()) == SocketState::kData;
  if (arrived) {
    ++closed_.spared;
    metrics_->connections_spared.Increment();
    SetState(session, ClientConnections::State::kReading);
  } else {
    const bool idle =
        room.action == ClientConnections::Room::Action::kCloseIdle;
    ++(idle ? closed_.idle : closed_.slow);
    session->count_closed = idle ? &metrics_->idle_connections_closed
                                 : &metrics_->slow_connections_closed;
    Evict(session);
  }
  LogClosedConnections(room);
  return !arrived;
}

// Only cancels: if a read has completed and its result has not been taken yet,
// the bytes are no longer in the kernel, and closing the socket would lose
// them.
void Frontend::Evict(Session* session) {
  session->evicted = true;
  connections_.Remove(session->id);
  sessions_.erase(session->id);
  session->id = 0;
  session->stream.cancel();
}

// After a session that was to make room was served after all.
void Frontend::CloseAboveLimit() {
  const size_t limit = connections_.LimitWith(forward_->target_sockets());
  for (int looks = 0; connections_.size() > limit && looks < kMaxLooksPerAccept;
       ++looks) {
    const ClientConnections::Room room =
        connections_.NextToClose(kernel_->Now());
    if (room.action != ClientConnections::Room::Action::kCloseIdle)
      return;
    CloseUnlessArrived(room);
  }
}

// A client that sends slowly holds its memory for as long as it may take to
// send; others would be refused meanwhile.
void Frontend::CloseSlowForMemory() {
  for (int looks = 0;
       kernel_->memory().IsScarce() && looks < kMaxLooksPerAccept; ++looks) {
    const ClientConnections::Room room = connections_.NextSlow(kernel_->Now());
    if (room.action == ClientConnections::Room::Action::kAccept)
      return;
    CloseUnlessArrived(room);
  }
}

void Frontend::DropReserved(ConnectionId id) {
  const auto found = sessions_.find(id);
  if (found != sessions_.end()) {
    Evict(found->second);
    return;
  }
  acceptor_->DropReserved(id);
  connections_.Remove(id);
}

void Frontend::CloseForDescriptors(const std::string& error) {
  const size_t open = connections_.size();
  int closed = 0;
  for (int looks = 0; looks < kMaxClosedForDescriptors; ++looks) {
    const ClientConnections::Room room =
        connections_.NextToClose(kernel_->Now());
    if (room.action == ClientConnections::Room::Action::kAccept)
      break;
    closed += CloseUnlessArrived(room) ? 1 : 0;
  }
  SetConnectionGauges();
  Log(LogLevel::kWarning, "accept-failed",
      {{"error", error},
       {"connections", open},
       {"closed", closed},
       {"target_sockets", forward_->target_sockets()},
       {"max_fds", settings_.max_fds}});
}

auto Frontend::NameOf(WorkspaceId workspace) const -> std::string {
  const Workspace* known = config_->catalog()->FindWorkspace(workspace);
  return known == nullptr ? "" : known->name;
}

// At the limit, connections are closed as fast as clients arrive, and a line
// for each would cost a small box more than the close. One line sums them up,
// with the inputs of the last decision.
void Frontend::LogClosedConnections(const ClientConnections::Room& last) {
  const Millis now = kernel_->Now();
  if (now - last_closed_log_ < kClosedLogInterval)
    return;
  last_closed_log_ = now;
  Log(LogLevel::kWarning, "connections-closed",
      {{"idle", closed_.idle},
       {"slow", closed_.slow},
       {"spared", closed_.spared},
       {"over_limit", closed_.over_limit},
       {"unread", closed_.unread},
       {"reason", ToString(last.action)},
       {"workspace", NameOf(last.workspace)},
       {"in_state_ms", last.in_state.count()},
       {"connections", last.open},
       {"limit", last.limit},
       {"idle_connections",
        connections_.count(ClientConnections::State::kIdle)},
       {"reserved", connections_.reserved()},
       {"target_sockets", forward_->target_sockets()}});
  closed_ = {};
}

void Frontend::SetConnectionGauges() {
  metrics_->client_connections.Set(static_cast<double>(connections_.size()));
  metrics_->client_connections_idle.Set(
      static_cast<double>(connections_.count(ClientConnections::State::kIdle)));
  metrics_->client_connections_limit.Set(
      static_cast<double>(connections_.LimitWith(forward_->target_sockets())));
}

void Frontend::SetState(Session* session, ClientConnections::State state) {
  const Millis now = kernel_->Now();
  if (session->evicted) {
    ++closed_.spared;
    metrics_->connections_spared.Increment();
    session->evicted = false;
    session->count_closed = nullptr;
    session->id = connections_.Add(session->place, now);
    sessions_.emplace(session->id, session);
    connections_.SetState(session->id, state, session->workspace, now);
    CloseAboveLimit();
    return;
  }
  connections_.SetState(session->id, state, session->workspace, now);
}

auto Frontend::Serve(std::unique_ptr<Session> session)
    -> asio::awaitable<void> {
  co_await ServeConnection(session.get());
}

// A header that is incomplete, too large or not HTTP is left to the coroutine,
// which reads on.
void Frontend::ServeOrRefuse(UnreadConnection connection) {
  const std::string_view received =
      ReadAvailable(connection.socket.value(), kFirstReadBytes);
  std::unique_ptr<Arrival> arrival = NewArrival();
  Parser& parser = *arrival->parser;
  SetLimits(&parser);
  boost::system::error_code error;
  const size_t head = parser.put(asio::buffer(received), error);
  const bool has_header = !error && parser.is_header_done();
  const std::string_view rest = received.substr(has_header ? head : 0);
  if (has_header) {
    AssignId(&arrival->context);
    const std::optional<Refusal> refusal =
        CheckHeader(parser.get().base(), &arrival->context);
    if (refusal) {
      RefuseArrived(std::move(connection), *arrival, *refusal, rest.size());
      return;
    }
  }
  auto session = std::make_unique<Session>(kernel_->io(), std::move(connection),
                                           &open_sessions_);
  if (has_header) {
    session->workspace = arrival->context.workspace->number;
    session->arrival = std::move(arrival);
  }
  session->buffer.commit(asio::buffer_copy(session->buffer.prepare(rest.size()),
                                           asio::buffer(rest)));
  kernel_->SpawnForClients("front-connection", Serve(std::move(session)));
}

void Frontend::RefuseArrived(UnreadConnection connection,
                             const Arrival& arrival,
                             const Refusal& refusal,
                             size_t buffered) {
  std::optional<uint64_t> rest =
      UnreadBytes(*arrival.parser, arrival.parser->get().base(), buffered);
  if (rest)
    *rest -= DiscardArrived(connection.socket.value(), *rest);
  RecordRefusal(arrival.context, refusal, /*waited=*/Millis(0));
  const bool written = WriteRefusal(
      connection.socket.value(), protocol_->refusal(refusal, arrival.context),
      /*with_body=*/!arrival.context.head);
  if (!written)
    metrics_->caller_left.Increment();
  if (!written || rest == 0U) {
    connections_.Remove(connection.id);
    return;
  }
  kernel_->SpawnForClients(
      "front-connection",
      DiscardAndClose(
          std::make_unique<Session>(kernel_->io(), std::move(connection),
                                    &open_sessions_),
          rest));
}

auto Frontend::DiscardAndClose(std::unique_ptr<Session> session,
                               std::optional<uint64_t> rest)
    -> asio::awaitable<void> {
  sessions_.emplace(session->id, session.get());
  SetState(session.get(), ClientConnections::State::kReading);
  co_await DiscardRest(session.get(), rest);
  RemoveSession(session.get());
}

auto Frontend::ServeRefused(UnreadConnection connection, std::string received)
    -> asio::awaitable<void> {
  Session session(kernel_->io(), std::move(connection), &open_sessions_);
  session.refuse_next = true;
  asio::buffer_copy(session.buffer.prepare(received.size()),
                    asio::buffer(received));
  session.buffer.commit(received.size());
  co_await ServeConnection(&session);
}

auto Frontend::ServeConnection(Session* session) -> asio::awaitable<void> {
  sessions_.emplace(session->id, session);
  boost::system::error_code ignored;
  session->stream.socket().set_option(tcp::no_delay(true), ignored);
  std::exception_ptr problem;
  try {
    // During a stop, a request whose header has been read is still answered,
    // and one more after an answer that did not announce the close.
    bool open = session->refuse_next || session->arrival || !draining_;
    while (open) {
      open = co_await ServeRequest(session);
      session->answered = session->answered || open;
    }
  } catch (...) {
    problem = std::current_exception();  // the session must not stay recorded
  }
  session->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  RemoveSession(session);
  if (problem)
    std::rethrow_exception(problem);
}

void Frontend::RemoveSession(Session* session) {
  if (!session->evicted) {
    sessions_.erase(session->id);
    connections_.Remove(session->id);
  }
  if (session->count_closed != nullptr)
    session->count_closed->Increment();
  SetConnectionGauges();
}

// The refused request counts as demand of its workspace. Otherwise a workspace
// whose clients reach a saturated box would seem to ask for little, and no
// other workspace would yield capacity to it.
auto Frontend::RefuseForOverload(const RequestContext& context,
                                 std::string reason) -> Refusal {
  if (context.pool != nullptr)
    scheduler_->node().ingress_scheduler().RecordRefusal(
        {PoolIdOf(context.pool->name), context.workspace->number}, context.work,
        context.received);
  return NotRun(503, std::move(reason), kRetryAfterOverload);
}

// A client that has waited too long, or for whose connection there is no room,
// is refused immediately if its complete request is buffered, without a
// coroutine or parsing of the body. If the request is still arriving, or the
// client waits for 100 Continue, the request is first read to its end. A client
// that has sent nothing yet is served if its connection counts towards the
// limit.
void Frontend::RefuseUnread(UnreadConnection connection) {
  const Millis waited = kernel_->Now() - connection.accepted_at;
  const bool reserved = connection.place == ClientConnections::Place::kReserve;
  const ConnectionId id = connection.id;
  const BufferedInput received = ReadBufferedInput(connection.socket.value());
  RequestContext context;
  AssignId(&context);
  switch (received.kind) {
    case BufferedInput::Kind::kNoData:
      kernel_->SpawnForClients(
          "front-connection",
          reserved
              ? ServeRefused(std::move(connection), "")
              : Serve(std::make_unique<Session>(
                    kernel_->io(), std::move(connection), &open_sessions_)));
      return;
    case BufferedInput::Kind::kIncomplete:
      kernel_->SpawnForClients(
          "front-connection",
          ServeRefused(std::move(connection), std::string(received.bytes)));
      return;
    case BufferedInput::Kind::kClosed:
      connections_.Remove(id);
      RecordClientLeft(context);
      return;
    case BufferedInput::Kind::kComplete:
      break;
  }
  std::optional<Refusal> refusal = CheckHeader(received.head, &context);
  if (!refusal)
    refusal = RefuseForOverload(context, reserved ? kNoRoom : kOverloaded);
  RecordRefusal(context, *refusal, waited);
  if (!WriteAndClose(std::move(connection.socket),
                     protocol_->refusal(*refusal, context),
                     /*with_body=*/!context.head))
    metrics_->caller_left.Increment();
  connections_.Remove(id);
}

void Frontend::RecordRefusal(const RequestContext& context,
                             const Refusal& refusal,
                             Millis waited) {
  Log(LogLevel::kInfo, "request-refused",
      {{"request", context.request_id},
       {"caller_id", context.caller_id},
       {"workspace",
        context.workspace == nullptr ? "" : context.workspace->name},
       {"status", refusal.status},
       {"verdict", ToString(refusal.verdict)},
       {"reason", refusal.reason},
       {"waited_ms", waited.count()},
       {"configuration", config_->version()}});
  metrics_->CountAnswer(refusal.status, ToString(refusal.verdict));
}

void Frontend::RecordBacklog(const RequestContext& context,
                             const ClientStream& client) {
  const SendBacklog& backlog = client.backlog();
  if (backlog.max_held() == 0 && backlog.refused() == 0)
    return;
  metrics_->slow_clients.Increment();
  metrics_->send_budget_refused.Increment(backlog.refused());
  Log(LogLevel::kInfo, "client-slow",
      {{"request", context.request_id},
       {"caller_id", context.caller_id},
       {"workspace", context.workspace->name},
       {"max_bytes", backlog.max_held()},
       {"waits", backlog.refused()},
       {"gone", client.gone()},
       {"budget_used", send_budget_->used()},
       {"budget", send_budget_->total()}});
}

auto Frontend::Refuse(ClientStream* client,
                      const RequestContext& context,
                      const Refusal& refusal) -> asio::awaitable<bool> {
  RecordRefusal(context, refusal, /*waited=*/Millis(0));
  co_return co_await client->Answer(protocol_->refusal(refusal, context));
}

// The rest of the request may be unread. Closing the connection then could
// reset it before the client has the answer, so only the sending side is shut
// down and the rest of the request is discarded. Often it has already arrived.
auto Frontend::RefuseEarly(Session* session,
                           Arrival* arrival,
                           const Refusal& refusal,
                           std::optional<uint64_t> rest)
    -> asio::awaitable<bool> {
  const RequestContext& context = arrival->context;
  arrival->Discard();
  session->buffer.clear();
  session->buffer.shrink_to_fit();
  tcp::socket& socket = session->stream.socket();
  if (rest)
    *rest -= DiscardArrived(socket.native_handle(), *rest);
  const ClientHttp http = {.head = context.head};
  ClientStream client(&session->stream, http, settings_.send_time);
  if (!co_await Refuse(&client, context, refusal))
    metrics_->caller_left.Increment();
  if (!client.gone() && rest != 0U)
    co_await DiscardRest(session, rest);
  co_return false;
}

auto Frontend::DiscardRest(Session* session, std::optional<uint64_t> rest)
    -> asio::awaitable<void> {
  tcp::socket& socket = session->stream.socket();
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  std::chrono::milliseconds time = kDiscardTime;
  if (session->evicted)
    time = std::chrono::milliseconds(kEvictedDiscardTime.count());
  else if (rest)
    time = std::chrono::milliseconds(limits().receive_time.count());
  session->stream.expires_after(time);
  uint64_t left =
      std::min(rest.value_or(kMaxDiscardedBytes), kMaxDiscardedBytes);
  // What it holds is never used, so all connections may share it.
  static std::array<char, 4096> discarded;
  while (left > 0) {
    const auto [error, size] = co_await session->stream.async_read_some(
        asio::buffer(discarded), kAwait);
    if (error)
      break;
    left -= std::min<uint64_t>(left, size);
    left -= DiscardArrived(socket.native_handle(), left);
  }
}

auto Frontend::EvictedRefusal() const -> Refusal {
  if (draining_)
    return NotRun(503, "this box is stopping", kRetryAfterStopping);
  return NotRun(408, "the request arrived slowly, and other clients wait",
                kRetryAfterOverload);
}

// Waits for the first byte of a request; false if the connection ends or is
// idle for too long.
auto Frontend::WaitForRequest(Session* session) -> asio::awaitable<bool> {
  if (session->buffer.size() != 0) {
    SetState(session, ClientConnections::State::kReading);
    co_return true;
  }
  Millis wait_time =
      session->reserved() ? kRefusalReceiveTime : limits().idle_time;
  if (draining_)
    wait_time = std::min(wait_time, kNextRequestTime);
  if (!session->reserved())
    SetState(session, session->answered ? ClientConnections::State::kIdle
                                        : ClientConnections::State::kReading);
  while (true) {
    session->stream.expires_after(std::chrono::milliseconds(wait_time.count()));
    idle_sessions_.insert(session);
    const auto [error, size] = co_await session->stream.async_read_some(
        session->buffer.prepare(kFirstReadBytes), kAwait);
    idle_sessions_.erase(session);
    session->buffer.commit(size);
    // Bytes may have arrived since the wait was cancelled.
    const bool cancelled = session->evicted || draining_;
    const bool ended =
        error && (!cancelled ||
                  PeekSocket(session->stream.socket()) != SocketState::kData);
    if (ended)
      co_return false;
    SetState(session, ClientConnections::State::kReading);
    if (!error)
      co_return true;
  }
}

void Frontend::SetLimits(Parser* parser) const {
  const ClientLimits bounds = limits();
  parser->header_limit(static_cast<uint32_t>(bounds.header_bytes));
  parser->body_limit(static_cast<uint64_t>(bounds.body_bytes));
}

// The parser takes a chunk's header, and all trailers, only once they are whole
// in the buffer. They may have the size of a request's header.
void Frontend::SetLimits(Session* session) const {
  const auto unparsed = static_cast<size_t>(limits().header_bytes);
  session->buffer.max_size(
      std::max(session->buffer.size(), unparsed + kChunkLineBytes));
}

// Whether a header may be read on. What its fields allocate is known only once
// they are parsed.
auto Frontend::CheckMemory() -> boost::system::error_code {
  CloseSlowForMemory();
  return kernel_->memory().HasRoom(MemoryBudget::Use::kRequest, 0)
             ? boost::system::error_code()
             : make_error_code(boost::system::errc::not_enough_memory);
}

auto Frontend::ReadHeader(Session* session, Arrival* arrival)
    -> asio::awaitable<std::optional<Refusal>> {
  Parser* parser = &*arrival->parser;
  if (!co_await WaitForRequest(session)) {
    session->closed = true;
    co_return std::nullopt;
  }
  session->arriving = true;
  SetLimits(parser);
  SetLimits(session);
  const Millis receive_time = limits().receive_time;
  session->stream.expires_after(std::chrono::milliseconds(
      session->reserved() ? std::min(kRefusalReceiveTime, receive_time).count()
                          : receive_time.count()));
  const boost::system::error_code error = co_await ReadMessageHeader(
      &session->stream, &session->buffer, parser,
      [this](std::string_view) { return CheckMemory(); });
  if (!error && session->evicted)  // the rest arrived as it was being closed
    SetState(session, ClientConnections::State::kReading);
  if (!error)
    co_return std::nullopt;
  if (error == boost::system::errc::not_enough_memory)
    co_return RefuseForOverload(arrival->context, kNoMemory);
  const auto refusal = session->evicted
                           ? std::optional(EvictedRefusal())
                           : ReadErrorRefusal(error, /*any_byte=*/true);
  session->closed = !refusal;
  co_return refusal;
}

auto Frontend::NewArrival() -> std::unique_ptr<Arrival> {
  auto arrival = std::make_unique<Arrival>(&body_budget_, &arriving_bodies_);
  arrival->parser->get().body().reserve = [this,
                                           held = arrival.get()](size_t bytes) {
    return ReserveBody(held, bytes);
  };
  return arrival;
}

auto Frontend::ReserveBody(Arrival* arrival, size_t bytes) -> bool {
  if (bytes <= arrival->body_held) {
    body_budget_.Shrink(&arrival->body_held, bytes);
    return true;
  }
  const auto use = BodyBudget::IsSmall(bytes) ? MemoryBudget::Use::kRequest
                                              : MemoryBudget::Use::kLargeBody;
  if (!kernel_->memory().HasRoom(use, bytes - arrival->body_held))
    return false;
  const WorkspaceId workspace = arrival->context.workspace->number;
  const Millis now = kernel_->Now();
  if (!body_budget_.Grow(&arrival->body_held, bytes)) {
    // Its room is free once its session has ended, for the client's next
    // attempt.
    EndSlowBody(arriving_bodies_.NextToEnd(workspace, bytes, now));
    return false;
  }
  const bool evicted = arrival->connection == 0;
  if (arrival->body_held > 0 && !evicted)
    arriving_bodies_.Set(arrival->connection, workspace, arrival->body_held,
                         now);
  return true;
}

void Frontend::EndSlowBody(std::optional<ConnectionId> connection) {
  const auto found = sessions_.find(connection.value_or(0));
  if (found == sessions_.end())
    return;
  ++closed_.slow;
  found->second->count_closed = &metrics_->slow_connections_closed;
  Evict(found->second);
}

auto Frontend::ReadRest(Session* session, Parser* parser)
    -> asio::awaitable<boost::system::error_code> {
  while (!parser->is_done()) {
    const auto [error, size] = co_await http::async_read_some(
        session->stream, session->buffer, *parser, kAwait);
    if (error)
      co_return error;
  }
  co_return boost::system::error_code();
}

auto Frontend::ReadBody(Session* session, Arrival* arrival)
    -> asio::awaitable<std::optional<Refusal>> {
  // A client of HTTP/1.0 would take 100 Continue for the answer.
  const bool waits = arrival->header.version() >= kMaxHttpVersion &&
                     arrival->header[http::field::expect] == "100-continue";
  if (waits) {
    http::response<http::empty_body> proceed(http::status::continue_, 11);
    const auto [error, sent] =
        co_await http::async_write(session->stream, proceed, kAwait);
    session->closed = error.failed();
  }
  if (session->closed)
    co_return std::nullopt;
  const boost::system::error_code error =
      co_await ReadRest(session, &*arrival->parser);
  if (!error)
    co_return std::nullopt;
  if (error == boost::system::errc::not_enough_memory)
    co_return RefuseForOverload(arrival->context, kNoRoomForBody);
  const auto refusal = session->evicted
                           ? std::optional(EvictedRefusal())
                           : ReadErrorRefusal(error, /*any_byte=*/true);
  session->closed = !refusal;
  co_return refusal;
}

// An overloaded box reads requests whose clients have already given up. Running
// them would only prolong the overload.
auto Frontend::HasClientLeft(Session& session, const RequestContext& context)
    -> bool {
  if (PeekSocket(session.stream.socket()) != SocketState::kClosed)
    return false;
  RecordClientLeft(context);
  return true;
}

void Frontend::RecordClientLeft(const RequestContext& context) {
  metrics_->caller_left.Increment();
  Log(LogLevel::kInfo, "caller-left-unheard",
      {{"request", context.request_id}, {"caller_id", context.caller_id}});
}

void Frontend::AssignId(RequestContext* context) {
  context->id = next_id_++;
  context->request_id = id_prefix_ + std::to_string(context->id);
}

auto Frontend::CheckHeader(const http::request_header<>& head,
                           RequestContext* context) -> std::optional<Refusal> {
  context->received = kernel_->Now();
  context->head = head.method() == http::verb::head;
  if (!config_->ready())
    return NotRun(503, config_->not_ready_reason(), kRetryAfterStarting);
  if (draining_)
    return NotRun(503, "this box is stopping", kRetryAfterStopping);
  context->catalog = config_->catalog();
  if (auto refusal = protocol_->read_head(head, context))
    return refusal;
  // The refusals below say that the request has not run. That may be wrong of a
  // copy of a request that was accepted before, so one with a claim is read
  // first.
  const bool claimed = context->once && !context->idempotency_key.empty();
  if (context->pool != nullptr && !claimed) {
    if (auto refusal = scheduler_->CheckDrain(context->answer_kind()))
      return refusal;
  }
  if (scheduler_->overload().saturated())
    return RefuseForOverload(*context, kOverloaded);
  if (CheckMemory())
    return RefuseForOverload(*context, kNoMemory);
  if (!connections_.MayStart(context->workspace->number,
                             forward_->target_sockets()))
    return RefuseForOverload(*context, kTooManyRunning);
  IngressScheduler& ingress = scheduler_->node().ingress_scheduler();
  if (auto refusal = ingress.CheckQueueLimits(*context->workspace))
    return refusal;
  if (context->pool == nullptr || claimed)
    return std::nullopt;
  QueuedRequest arrival;
  arrival.id = context->id;
  arrival.flow = {PoolIdOf(context->pool->name), context->workspace->number};
  arrival.route = context->answer_kind().route;
  arrival.arrived = context->received;
  arrival.expires = context->queue_until;
  arrival.work = context->work;
  arrival.resumes_stream = context->ResumesStream();
  return ingress.RefuseOnArrival(arrival);
}

auto Frontend::ServeRequest(Session* session) -> asio::awaitable<bool> {
  std::unique_ptr<Arrival> arrival = std::move(session->arrival);
  std::optional<Refusal> refusal;
  if (!arrival) {
    arrival = NewArrival();
    AssignId(&arrival->context);
    refusal = co_await ReadHeader(session, arrival.get());
    session->arriving = false;
    if (session->closed)
      co_return false;
    // The rest of the request can't be read.
    if (refusal)
      co_return co_await RefuseEarly(session, arrival.get(), *refusal,
                                     std::nullopt);
    refusal = CheckHeader(arrival->parser->get().base(), &arrival->context);
    if (arrival->context.workspace != nullptr)
      session->workspace = arrival->context.workspace->number;
    if (!refusal && session->refuse_next)
      refusal = RefuseForOverload(arrival->context,
                                  session->reserved() ? kNoRoom : kOverloaded);
  } else {
    SetState(session, ClientConnections::State::kReading);
    session->stream.expires_after(
        std::chrono::milliseconds(limits().receive_time.count()));
  }
  RequestContext& context = arrival->context;
  arrival->connection = session->id;
  Parser& parser = *arrival->parser;
  // The parser adds trailers to the fields that it holds. They are no part of
  // the header (RFC 9110, 6.5.1), and nothing has checked them.
  arrival->header = std::move(parser.get().base());
  const uint64_t stated = parser.content_length().value_or(0);
  if (!refusal && !ReserveBody(arrival.get(), stated))
    refusal = RefuseForOverload(context, kNoRoomForBody);
  if (refusal)
    co_return co_await RefuseEarly(
        session, arrival.get(), *refusal,
        UnreadBytes(parser, arrival->header, session->buffer.size()));
  session->arriving = true;
  SetLimits(session);
  refusal = co_await ReadBody(session, arrival.get());
  session->arriving = false;
  arriving_bodies_.Remove(arrival->connection);
  if (session->closed)
    co_return false;
  if (refusal)
    co_return co_await RefuseEarly(session, arrival.get(), *refusal,
                                   std::nullopt);
  // What remains is the next request, if the client did not wait.
  if (session->buffer.size() == 0 &&
      session->buffer.capacity() > kFirstReadBytes)
    session->buffer.shrink_to_fit();
  if (HasClientLeft(*session, context))
    co_return false;
  SetState(session, ClientConnections::State::kQueued);
  const bool keep_alive = parser.keep_alive() && !session->refuse_next &&
                          !scheduler_->overload().busy() &&
                          connections_.MayKeepAlive(forward_->target_sockets());
  const ClientHttp http = {std::min(arrival->header.version(), kMaxHttpVersion),
                           keep_alive, context.head};
  ClientStream client(&session->stream, http, settings_.send_time,
                      send_budget_);
  // The stop of this box may begin while the request runs.
  client.SetMayKeepAlive([this] { return !leaving_; });
  context.client = &client;
  context.request = StringRequest(std::move(arrival->header));
  context.body =
      std::make_shared<const std::string>(std::move(parser.get().body().bytes));
  if (!refusal)
    refusal = protocol_->read_complete_request(&context);
  if (refusal) {
    co_await Refuse(&client, context, *refusal);
    co_return client.reusable();
  }
  session->stream.expires_never();
  context.on_attempt = [this, session] {
    SetState(session, ClientConnections::State::kRelaying);
  };
  co_await runner_->Run(&context);
  RecordBacklog(context, client);
  co_return client.reusable();
}

}  // namespace sparbend
