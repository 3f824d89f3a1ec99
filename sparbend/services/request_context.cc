#include "sparbend/services/request_context.h"

namespace sparbend {

auto FingerprintOf(const RequestContext& context) -> Fingerprint {
  const StringRequest& request = context.request;
  return FingerprintOf(context.workspace->number, request.method_string(),
                       request.target(), request.body());
}

}  // namespace sparbend
