#include "sparbend/core/fingerprint.h"

#include "sparbend/core/digest.h"

namespace sparbend {

auto PathDigest(std::string_view method, std::string_view path) -> uint32_t {
  std::string text(method);
  text.append(" ").append(path);
  return static_cast<uint32_t>(StableHash(text));
}

auto FingerprintOf(WorkspaceId workspace,
                   std::string_view method,
                   std::string_view path,
                   std::string_view body) -> Fingerprint {
  return {workspace, PathDigest(method, path),
          static_cast<uint32_t>(StableHash(body))};
}

auto ToString(const Fingerprint& fingerprint) -> std::string {
  return ToHex(fingerprint.workspace) + "." + ToHex(fingerprint.path) + "." +
         ToHex(fingerprint.body);
}

}  // namespace sparbend
