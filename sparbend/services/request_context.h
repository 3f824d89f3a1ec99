// The state of one client request on its way through the box: the request, its
// workspace and limits, and the result of its attempts so far.
#ifndef SPARBEND_SERVICES_REQUEST_CONTEXT_H_
#define SPARBEND_SERVICES_REQUEST_CONTEXT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sparbend/core/answer_end.h"
#include "sparbend/core/answer_times.h"
#include "sparbend/core/catalog.h"
#include "sparbend/core/fingerprint.h"
#include "sparbend/core/quarantine.h"
#include "sparbend/core/queue.h"
#include "sparbend/core/retry.h"
#include "sparbend/core/stream_origin.h"
#include "sparbend/core/usage_meter.h"
#include "sparbend/core/verdict.h"
#include "sparbend/services/client_stream.h"

namespace sparbend {

// The process that began a stream.
struct StreamBeginning {
  TargetId target = 0;
  Millis connected_at;

  auto operator==(const StreamBeginning&) const -> bool = default;
};

// How much of the answer has been relayed, over all attempts.
struct AnswerProgress {
  UsageMeter meter;
  std::string incomplete_event;  // received bytes of an incomplete event
  bool began = false;            // its header was sent to the client
  // The header of a stream that the client resumes, until an event shows that
  // the answer goes on after the last one that the client has.
  std::optional<http::response_header<>> held_header;
  bool is_stream = false;  // it is a stream of events, read by the meter
  AnswerEnd end;           // of the target's latest answer
  int resumes = 0;         // attempts that asked for the rest of the stream
  // What began the stream; set with its first event if it is known then, or
  // when the request that resumes it is accepted. Only targets of the same
  // origin may continue it.
  std::optional<StreamOrigin> origin;
  // Set with the first event of a stream that began here.
  std::optional<StreamBeginning> beginning;
  // The version that the first answer stated; empty: none.
  std::string stated_version;
  // OnEvent has recorded the origin since the latest attempt of the client, or
  // does so once it is known.
  bool origin_recorded = false;
};

// A target's complete answer with a server error, kept while another attempt
// may still succeed.
struct FailedAnswer {
  http::response_header<> header;
  std::string body;
};

// What the client's request says of the stream that it resumes.
struct ResumedStream {
  // The client's id of the attempt that brought the first event; empty: not
  // stated.
  std::string attempt;
  std::string last_event_id;

  // Whether the request resumes a stream.
  auto stated() const -> bool {
    return !attempt.empty() || !last_event_id.empty();
  }
  auto operator==(const ResumedStream&) const -> bool = default;
};

struct RequestContext {
  // The request; does not change once it has been accepted.
  RequestId id = 0;
  std::string request_id;  // the box's id of it, for clients and logs
  std::string caller_id;   // the client's id of it, if it sent one
  std::shared_ptr<const Catalog> catalog;
  const Workspace* workspace = nullptr;  // in catalog
  const Pool* pool = nullptr;            // in catalog
  const RouteRule* route = nullptr;      // in catalog; null without routes
  bool anonymous = false;  // without a key; the workspace is a default
  StringRequest request;   // without its body
  // Shared with the attempt that writes it to a target.
  std::shared_ptr<const std::string> body;
  std::string model;
  std::string idempotency_key;
  bool once = false;  // must be executed at most once
  bool head = false;  // the method is HEAD: no answer has a body
  bool streaming = false;
  bool resumable = false;  // another target may continue its stream
  ResumedStream resumes;
  bool finish_without_client = true;  // if once: go on when the client left
  int max_runs = kMaxAttempts;        // limit of `runs`
  uint64_t prefix = 0;                // hash of the prompt's start; zero: none
  WorkFacts work;
  Millis received;
  Millis deadline;
  Millis queue_until;  // refused if it still waits then
  // An attempt whose answer has not begun after this time ends; zero: no limit.
  Millis first_byte_limit;

  // The state of its attempts.
  ClientStream* client = nullptr;
  Verdict verdict = Verdict::kNotRun;
  int attempts = 0;
  int runs = 0;         // attempts that may have been executed
  int64_t tokens = 0;   // charged to the workspace
  Millis first_byte;    // when an answer began; zero: not yet
  Millis connected_at;  // when the current attempt's connection was made
  AnswerProgress progress;
  std::optional<FailedAnswer> failed_answer;
  // Set only when it is needed: if requests to its path are suspected of
  // crashing targets, or its connection broke.
  std::optional<Fingerprint> fingerprint;
  // What the current attempt may crash its target with; the request, if its
  // fingerprint was set by then, is the first.
  std::vector<SentSuspect> sent;
  std::function<void()> cancel;      // cancels the current attempt
  std::function<void()> on_attempt;  // called before each attempt, if set
  // Called once, before bytes of the request are written to a target, if set.
  std::function<void()> on_write;

  // Whether the client has the beginning of the stream that it asks for.
  auto ResumesStream() const -> bool { return resumable && resumes.stated(); }
  // Requests of the same kind are taken to be answered in about the same time.
  // The pool must be known.
  auto answer_kind() const -> AnswerTimes::Kind {
    return {PoolIdOf(pool->name),
            route == nullptr ? RouteId{0} : RouteIdOf(route->name)};
  }
};

auto FingerprintOf(const RequestContext& context) -> Fingerprint;
// The request's own, if it is set, and those of the parts of its prompt that
// other requests may share.
auto SuspectsOf(const RequestContext& context) -> std::vector<Fingerprint>;

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_REQUEST_CONTEXT_H_
