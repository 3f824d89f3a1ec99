// The protocols that clients and targets use. The services "front" and
// "forward" know only the typed values here; a protocol knows the HTTP fields
// on the wire. The service "caller-dialect" (ClientProtocol) reads clients'
// requests and formats refusals. The service "target-dialect" (TargetProtocol)
// formats requests to targets and interprets their answers.
#ifndef SPARBEND_SERVICES_PROTOCOL_H_
#define SPARBEND_SERVICES_PROTOCOL_H_

#include <functional>
#include <optional>
#include <string>

#include "sparbend/core/event_order.h"
#include "sparbend/core/verdict.h"
#include "sparbend/services/request_context.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

struct ClientProtocol : public Service {
  using RequestHead = http::request_header<>;

  // Reads the header into the request context, whose `received` and `catalog`
  // are set. The body has not been read yet. Returns the refusal if the request
  // must not be continued.
  std::function<std::optional<Refusal>(const RequestHead&, RequestContext*)>
      read_head;
  // Reads what depends on the complete `request` of the context. Returns the
  // refusal if the request must not be continued.
  std::function<std::optional<Refusal>(RequestContext*)> read_complete_request;
  // The answer to a request that no target answers.
  std::function<StringResponse(const Refusal&, const RequestContext&)> refusal;
  // Adds the router's own fields to a target's answer.
  std::function<void(const RequestContext&, http::response_header<>*)>
      add_answer_fields;
};

// What the header of a target's answer says.
struct AnswerFacts {
  enum class Kind {
    kAnswer,        // the target's answer to this request
    kNotRun,        // the target did not execute the request and will not
    kOtherRequest,  // an answer to another request
    kInvalid,       // proves nothing: the request may have been executed
  };
  Kind kind = Kind::kAnswer;
  std::string why;  // for the log, if kind is not kAnswer
  // The target reports that it is leaving, or another target answers at its
  // address.
  bool leaving = false;
  std::optional<int> running;  // requests at the target, if reported
  std::string version;         // of the target's software; empty: not stated
  // The target rejected the request and asks for no others from this box for
  // this long; zero: not stated.
  Millis retry_after;
};

struct TargetProtocol : public Service {
  // The request for the target of `slot`, without its body. `time_left` is the
  // time until the request's deadline. `resume_after` is the id of the last
  // event that the client has received; empty: none.
  std::function<StringRequest(const RequestContext&,
                              const Slot& slot,
                              Millis time_left,
                              const std::string& resume_after)>
      request_head;
  // Whether each stream of an engine ends with a closing event.
  bool has_closing_event = false;
  // What the ids of a stream's events are.
  EventIds event_ids = EventIds::kUnique;
  // Interprets the header of an answer to the request.
  std::function<AnswerFacts(const RequestContext&,
                            const http::response_header<>&)>
      read_answer;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_PROTOCOL_H_
