// The service "stream-continuation": keeps a stream at the origin that began it
// (stream_origin.h), whether a box resumes it within its answer or a client
// comes back for the rest at any box.
#ifndef SPARBEND_SERVICES_STREAM_CONTINUATION_H_
#define SPARBEND_SERVICES_STREAM_CONTINUATION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "sparbend/core/continuation.h"
#include "sparbend/core/verdict.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/services/directory.h"
#include "sparbend/services/metrics.h"
#include "sparbend/services/persisted_origins.h"
#include "sparbend/services/request_context.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

class StreamContinuation : public Service {
 public:
  explicit StreamContinuation(Kernel* kernel) : kernel_(kernel) {}

  void Start() override;

  // If the request resumes a stream, finds out where it may go on, and sets the
  // context's pool and the origin in its progress. Returns a refusal if it may
  // not go on anywhere.
  auto Resolve(RequestContext* context)
      -> asio::awaitable<std::optional<Refusal>>;
  // Sets how to find out whether a connection to a target that was made at a
  // time or before is still open.
  using HasOpenSince = std::function<bool(TargetId, Millis)>;
  void SetHasOpenSince(HasOpenSince has_open_since) {
    has_open_since_ = std::move(has_open_since);
  }
  // Whether the request's stream, if it has one, may go on at the target of
  // `slot` on the connection of the current attempt. May read the list of
  // targets anew.
  auto MayContinueAt(const RequestContext& context, const Slot& slot)
      -> asio::awaitable<bool>;
  // The attempt at the target of `slot` has brought an event, which the client
  // has not been sent yet.
  void OnEvent(RequestContext* context, const Slot& slot);
  // The attempt has failed. Sets the origin of a stream that has begun, unless
  // it can't be found out. May read the list of targets anew.
  auto FindOrigin(RequestContext* context) -> asio::awaitable<void>;

 private:
  // How an origin was found, for logs and metrics.
  enum class Source { kOwn, kPeer, kStore, kNone };
  struct Finding {
    ContinuationFacts facts;
    Source source = Source::kNone;
    size_t asked = 0;     // boxes
    size_t answered = 0;  // of these
    bool unread = false;  // what boxes wrote could not be read in time
  };

  auto Find(const RequestContext& context) -> asio::awaitable<Finding>;
  // Asks other boxes, and adds to `finding` what they know.
  auto AskPeers(StreamKey stream, RouteId route, Finding* finding)
      -> asio::awaitable<void>;
  // Adds the origins that are possible by a list read after the request came
  // in.
  auto RefreshPossible(const RequestContext& context,
                       RouteId route,
                       Finding* finding) -> asio::awaitable<void>;
  // Looks among the streams that boxes wrote to the store.
  auto FindPersisted(StreamKey stream, Finding* finding)
      -> asio::awaitable<void>;
  // The version of the process that accepted a connection; nothing if it is not
  // known.
  auto VersionBehind(const StreamBeginning& connection) const
      -> std::optional<VersionId>;
  // The same, for which the list of targets may be read anew.
  auto FindVersionBehind(StreamBeginning connection)
      -> asio::awaitable<std::optional<VersionId>>;
  // Makes the origin of a stream known to the boxes.
  void RecordOrigin(StreamKey stream,
                    const StreamOrigin& origin,
                    RouteId route,
                    Millis expires);
  // The list was read: records the streams whose origin it states.
  void RecordVerified();
  // Waits until the question is decided or `span` is over.
  auto WaitForAnswers(uint32_t question, Millis span) -> asio::awaitable<void>;
  // Whether the store answers no box, as other boxes confirm that live.
  auto IsStoreUnavailable() const -> bool;
  void Record(const RequestContext& context,
              const Finding& finding,
              const Continuation& continuation);
  // The version for logs.
  auto NameOf(const StreamOrigin& origin) const -> std::string;
  static auto ToString(Source source) -> std::string_view;

  Kernel* kernel_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Metrics> metrics_;
  std::shared_ptr<PersistedOrigins> persisted_;
  std::shared_ptr<Directory> directory_;  // null: the own interface
  // A stream that began at a process of which no list has been read yet.
  struct Unverified {
    StreamKey stream = 0;
    RouteId route = 0;
    PoolId pool = 0;
    Millis expires;
    StreamBeginning beginning;
  };

  HasOpenSince has_open_since_;
  std::deque<Unverified> unverified_;
  // Of coroutines that wait for answers, by question.
  std::map<uint32_t, std::shared_ptr<asio::steady_timer>> waits_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_STREAM_CONTINUATION_H_
