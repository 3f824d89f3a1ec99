// How callers and targets are spoken to. The front and the forward service
// know only the typed values here; a dialect knows the names on the wire. The
// service "caller-dialect" reads requests and words refusals, the service
// "target-dialect" words requests and judges answers.
#ifndef SPARBEND_SERVICES_PROTOCOL_H_
#define SPARBEND_SERVICES_PROTOCOL_H_

#include <functional>
#include <optional>
#include <string>

#include "sparbend/core/verdict.h"
#include "sparbend/services/request_context.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

struct ClientProtocol : public Service {
  using RequestHead = http::request_header<>;

  // Reads the head into `exchange`; the refusal for what may not go on. The
  // body is not read yet, `exchange->received` and `catalog` are set.
  std::function<std::optional<Refusal>(const RequestHead&, RequestContext*)>
      read_head;
  // Reads what only the whole `exchange->request` tells.
  std::function<std::optional<Refusal>(RequestContext*)> read_whole;
  // The answer for a request that gets none from a target.
  std::function<StringResponse(const Refusal&, const RequestContext&)> refusal;
  // Adds the product's own fields to a target's answer.
  std::function<void(const RequestContext&, http::response_header<>*)>
      dress_answer;
};

// What the head of an answer proves.
struct AnswerFacts {
  enum class Kind {
    kAnswer,   // the target's answer to this request
    kNotRun,   // the target says that it did not and will not run it
    kForeign,  // the answer to another request
    kInvalid,  // proves nothing: the request may have run
  };
  Kind kind = Kind::kAnswer;
  std::string why;  // for the log, when it is no answer
  // The target says that it leaves, or another one has its address.
  bool leaving = false;
  std::optional<int> running;  // requests at the target, if told
  // The target turned the request away, and wants no other from this box for
  // so long; zero: it does not say.
  Millis retry_after;
};

struct TargetProtocol : public Service {
  // The request to `slot`, body left out; the target may work for `left`.
  // `resume_after` is the id of the last event that the caller has, or empty.
  std::function<StringRequest(const RequestContext&,
                              const Slot& slot,
                              Millis left,
                              const std::string& resume_after)>
      request_head;
  std::function<AnswerFacts(const RequestContext&,
                            const http::response_header<>&)>
      read_answer;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_PROTOCOL_H_
