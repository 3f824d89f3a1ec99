#include "sparbend/services/request_context.h"

namespace sparbend {

auto FingerprintOf(const RequestContext& context) -> Fingerprint {
  const StringRequest& request = context.request;
  return FingerprintOf(context.workspace->number, request.method_string(),
                       request.target(), *context.body);
}

auto SuspectsOf(const RequestContext& context) -> std::vector<Fingerprint> {
  std::vector<Fingerprint> suspects;
  suspects.reserve(context.work.prefixes.size() + 1);
  if (context.fingerprint)
    suspects.push_back(*context.fingerprint);
  for (const PromptPrefix& prefix : context.work.prefixes)
    suspects.push_back(PartFingerprint(context.workspace->number, prefix.part));
  return suspects;
}

}  // namespace sparbend
