// Identifies what of a request may crash targets: the whole request, so that it
// is recognised in a client retry and on another box, where it has a new id; or
// one part of its prompt, in whichever requests it occurs.
//
//   if (quarantine.HasSuspicions(workspace, PathDigest(method, path)))
//     Use(FingerprintOf(workspace, method, path, body));
//   Use(PartFingerprint(workspace, part));
//
// Pure functions.
#ifndef SPARBEND_CORE_FINGERPRINT_H_
#define SPARBEND_CORE_FINGERPRINT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "sparbend/core/ids.h"
#include "sparbend/core/work.h"

namespace sparbend {

// Includes the workspace beside the digests, so that no bytes that one
// workspace sends can have the fingerprint of another workspace's request.
struct Fingerprint {
  WorkspaceId workspace = 0;
  uint32_t path = 0;  // PathDigest of the method and path; 0: a prompt part
  uint32_t body = 0;  // digest of the body; PartId of a prompt part

  auto operator<=>(const Fingerprint&) const = default;
};

// `path` is the HTTP request target as sent, including the query. Never 0.
// O(size).
auto PathDigest(std::string_view method, std::string_view path) -> uint32_t;

// `path` as in PathDigest. O(size of path and body).
auto FingerprintOf(WorkspaceId workspace,
                   std::string_view method,
                   std::string_view path,
                   std::string_view body) -> Fingerprint;

auto PartFingerprint(WorkspaceId workspace, PartId part) -> Fingerprint;

auto IsPart(const Fingerprint& fingerprint) -> bool;

// For logs and operators: workspace, path and body as three hexadecimal
// numbers, joined by dots.
auto ToString(const Fingerprint& fingerprint) -> std::string;

}  // namespace sparbend

#endif  // SPARBEND_CORE_FINGERPRINT_H_
