// One caller's request on its way through the box: what was asked, by whom,
// under which rules, and what is known of its fate so far.
#ifndef SPARBEND_SERVICES_REQUEST_CONTEXT_H_
#define SPARBEND_SERVICES_REQUEST_CONTEXT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sparbend/core/catalog.h"
#include "sparbend/core/fingerprint.h"
#include "sparbend/core/quarantine.h"
#include "sparbend/core/queue.h"
#include "sparbend/core/retry.h"
#include "sparbend/core/usage_meter.h"
#include "sparbend/core/verdict.h"
#include "sparbend/services/client_stream.h"

namespace sparbend {

// How far the answer has come, over all attempts at it.
struct AnswerProgress {
  UsageMeter meter;
  std::string held;      // bytes of an event that is not whole yet
  bool began = false;    // its head was sent to the caller
  bool metered = false;  // it is a stream of events
};

// A target's whole failure, kept while another attempt may do better.
struct FailedAnswer {
  http::response_header<> header;
  std::string body;
};

struct RequestContext {
  // Asked; fixed once accepted.
  RequestId id = 0;
  std::string request_id;  // for people and logs
  std::string caller_id;   // the id the caller gave this request, if any
  std::shared_ptr<const Catalog> catalog;
  const Workspace* workspace = nullptr;  // in catalog
  const Pool* pool = nullptr;            // in catalog
  const RouteRule* route = nullptr;      // in catalog; null without routes
  bool anonymous = false;  // no key was asked for; the workspace is a default
  StringRequest request;
  std::string model;
  std::string idempotency_key;
  bool once = false;  // may run at most once
  bool streaming = false;
  bool resumable = false;        // may go on at another target
  bool finish_unwatched = true;  // once only: goes on when the caller left
  int max_runs = kMaxAttempts;   // targets that may run it
  uint64_t prefix = 0;
  WorkFacts work;
  Millis received;
  Millis deadline;
  Millis queue_until;       // refused when still waiting then
  Millis first_byte_limit;  // an attempt without an answer ends; zero: none

  // Known so far.
  ClientStream* caller = nullptr;
  Verdict verdict = Verdict::kNotRun;
  int attempts = 0;
  int runs = 0;        // attempts that may have run
  int64_t tokens = 0;  // service charged
  Millis first_byte;   // when an answer began; zero: not yet
  AnswerProgress progress;
  std::optional<FailedAnswer> failed;
  // Known once it matters: while requests of its kind are suspected of ending
  // their targets, or its connection broke.
  std::optional<Fingerprint> fingerprint;
  SuspicionVersion stamp;        // of the attempt under way
  std::function<void()> cancel;  // ends the attempt under way
};

auto FingerprintOf(const RequestContext& exchange) -> Fingerprint;

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_REQUEST_CONTEXT_H_
