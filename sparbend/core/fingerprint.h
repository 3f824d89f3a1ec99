// Names a request by what it asks for, so that it is known again in a later
// try and at another box, where its id is new.
//
//   if (quarantine.Concerns(workspace, PathDigest(method, path)))
//     Use(FingerprintOf(workspace, method, path, body));
//
// Pure.
#ifndef SPARBEND_CORE_FINGERPRINT_H_
#define SPARBEND_CORE_FINGERPRINT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "sparbend/core/ids.h"

namespace sparbend {

// The workspace is named beside the digests: whatever bytes one workspace
// sends, they never stand for a request of another.
struct Fingerprint {
  WorkspaceId workspace = 0;
  uint32_t path = 0;  // PathDigest
  uint32_t body = 0;  // digest of the body

  auto operator<=>(const Fingerprint&) const = default;
};

// `path` is the request's target as sent, query included. O(size).
auto PathDigest(std::string_view method, std::string_view path) -> uint32_t;

// O(size of path and body).
auto FingerprintOf(WorkspaceId workspace,
                   std::string_view method,
                   std::string_view path,
                   std::string_view body) -> Fingerprint;

// For logs and operators: three hexadecimal numbers, joined by dots.
auto ToString(const Fingerprint& fingerprint) -> std::string;

}  // namespace sparbend

#endif  // SPARBEND_CORE_FINGERPRINT_H_
