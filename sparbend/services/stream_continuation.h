// The service "stream-continuation": keeps a stream at the origin that began it
// (stream_origin.h), whether a box resumes it within its answer or a client
// comes back for the rest at any box.
#ifndef SPARBEND_SERVICES_STREAM_CONTINUATION_H_
#define SPARBEND_SERVICES_STREAM_CONTINUATION_H_

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
  // Whether the request's stream, if it has one, may go on at the target of
  // `slot` on a connection that was made at `connected_at`. May read the list
  // of targets anew.
  auto MayContinueAt(const RequestContext& context,
                     const Slot& slot,
                     Millis connected_at) -> asio::awaitable<bool>;
  // The attempt at the target of `slot` has brought an event, which the client
  // has not been sent yet.
  void OnEvent(RequestContext* context, const Slot& slot);

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
  // Of coroutines that wait for answers, by question.
  std::map<uint32_t, std::shared_ptr<asio::steady_timer>> waits_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_STREAM_CONTINUATION_H_
