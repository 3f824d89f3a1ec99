#include "sparbend/core/fingerprint.h"

#include "sparbend/core/digest.h"

namespace sparbend {
namespace {

constexpr uint32_t kPathOfParts = 0;

}  // namespace

auto PathDigest(std::string_view method, std::string_view path) -> uint32_t {
  std::string text(method);
  text.append(" ").append(path);
  const auto digest = static_cast<uint32_t>(StableHash(text));
  return digest == kPathOfParts ? kPathOfParts + 1 : digest;
}

auto FingerprintOf(WorkspaceId workspace,
                   std::string_view method,
                   std::string_view path,
                   std::string_view body) -> Fingerprint {
  return {workspace, PathDigest(method, path),
          static_cast<uint32_t>(StableHash(body))};
}

auto PartFingerprint(WorkspaceId workspace, PartId part) -> Fingerprint {
  return {workspace, kPathOfParts, part};
}

auto IsPart(const Fingerprint& fingerprint) -> bool {
  return fingerprint.path == kPathOfParts;
}

auto ToString(const Fingerprint& fingerprint) -> std::string {
  return ToHex(fingerprint.workspace) + "." + ToHex(fingerprint.path) + "." +
         ToHex(fingerprint.body);
}

}  // namespace sparbend
