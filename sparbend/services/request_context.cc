#include "sparbend/services/request_context.h"

namespace sparbend {

auto FingerprintOf(const RequestContext& exchange) -> Fingerprint {
  const StringRequest& request = exchange.request;
  return FingerprintOf(exchange.workspace->number, request.method_string(),
                       request.target(), request.body());
}

}  // namespace sparbend
