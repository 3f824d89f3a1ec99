// The product's own interface: OpenAI-shaped requests with a bearer key,
// refusals as problem documents, targets that state X-Not-Run and the like.
#ifndef SPARBEND_SERVICES_OWN_PROTOCOL_H_
#define SPARBEND_SERVICES_OWN_PROTOCOL_H_

#include <memory>

#include "sparbend/kernel/settings.h"
#include "sparbend/services/protocol.h"

namespace sparbend {

auto MakeOwnCallerDialect(const Settings& settings)
    -> std::shared_ptr<ClientProtocol>;
auto MakeOwnTargetDialect() -> std::shared_ptr<TargetProtocol>;

// A problem document with the verdict, as the own interface words refusals.
auto ProblemResponse(const Refusal& refusal, const std::string& request_id)
    -> StringResponse;

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_OWN_PROTOCOL_H_
