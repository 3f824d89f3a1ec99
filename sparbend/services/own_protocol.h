// The router's own protocol: requests in the shape of the OpenAI API with a
// bearer key, refusals as problem documents (RFC 9457), and targets that report
// their state in fields such as X-Not-Run.
#ifndef SPARBEND_SERVICES_OWN_PROTOCOL_H_
#define SPARBEND_SERVICES_OWN_PROTOCOL_H_

#include <memory>

#include "sparbend/kernel/settings.h"
#include "sparbend/services/protocol.h"

namespace sparbend {

auto MakeOwnClientProtocol(const Settings& settings)
    -> std::shared_ptr<ClientProtocol>;
auto MakeOwnTargetProtocol() -> std::shared_ptr<TargetProtocol>;

// A refusal in the router's own protocol: a problem document that includes the
// verdict and the request's id.
auto ProblemResponse(const Refusal& refusal, const std::string& request_id)
    -> StringResponse;

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_OWN_PROTOCOL_H_
