// Acceptance of configuration as a pure function of the log: each box applies
// the same records in the same order and reaches the same state and the same
// verdict on every change. No coordinator decides anything.
//
//   ConfigFold fold;
//   for (offset, record in log) Decision d = fold.Apply(offset, record);
//   fold.catalog();  // what is in force at fold.next_offset()
//
// A change names its document, the revision it is based on (the offset of the
// document's last accepted change, 0 for none) and a change id. Of changes
// racing on one base exactly one, the first in the log, is accepted.
#ifndef SPARBEND_CORE_CONFIG_FOLD_H_
#define SPARBEND_CORE_CONFIG_FOLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sparbend/core/catalog.h"
#include "sparbend/core/json.h"

namespace sparbend {

// The rules below; a record made for a later version is rejected by all.
inline constexpr int64_t kFoldVersion = 1;
inline constexpr size_t kMaxRecordBytes = 262'144;

// One proposed change as it stands in the log.
struct Change {
  int64_t fold_version = kFoldVersion;
  std::string id;
  std::string document;  // pool/NAME, template/NAME or workspace/NAME
  int64_t base = 0;      // revision it replaces; 0: the document is new
  std::string author;
  std::string reason;
  Json content;  // null removes the document

  auto operator==(const Change&) const -> bool = default;
};

auto EncodeChange(const Change& change) -> std::string;
auto DecodeChange(std::string_view record) -> Result<Change>;

enum class Outcome {
  kAccepted,
  kStaleBase,  // someone else changed the document first
  kInvalid,    // breaks a rule of the declarations
  kRepeated,   // the same change id was decided before
  kMalformed,  // not a change at all
  kSnapshot,   // a snapshot record: no effect
};

auto ToString(Outcome outcome) -> std::string_view;

// What became of one record.
struct Decision {
  int64_t offset = 0;
  Outcome outcome = Outcome::kMalformed;
  std::string change_id;
  std::string document;
  std::string author;
  std::string reason;
  std::string cause;     // why it was not accepted
  int64_t revision = 0;  // of the document after this record

  auto operator==(const Decision&) const -> bool = default;
};

class ConfigFold {
 public:
  ConfigFold();

  // Applies the record at `offset`, which must be next_offset() or later (a
  // gap is the caller's fault: read the missing part first). O(document), and
  // O(workspaces) for a template or pool.
  auto Apply(int64_t offset, std::string_view record) -> Decision;

  // The offset of the first record not yet applied. Never falls.
  auto next_offset() const -> int64_t { return next_offset_; }

  auto catalog() const -> std::shared_ptr<const Catalog> { return catalog_; }

  // Content and revision of a document; null content if there is none.
  struct Document {
    int64_t revision = 0;
    Json content;
    auto operator==(const Document&) const -> bool = default;
  };
  auto documents() const -> const std::map<std::string, Document>& {
    return documents_;
  }

  // The decision on a change id still remembered, or null.
  auto FindDecision(const std::string& change_id) const -> const Decision*;
  // The latest decisions, oldest first; bounded.
  auto decisions() const -> const std::deque<Decision>& { return decisions_; }

  // The whole state as one JSON value, and its digest.
  auto Snapshot() const -> Json;
  auto Digest() const -> std::string;
  // The state held by `snapshot`; kMalformed or kInvalid if it is none.
  static auto Restore(const Json& snapshot) -> Result<ConfigFold>;

 private:
  auto Decide(const Change& change, Decision* decision) -> Outcome;
  auto CheckContent(const Change& change) const -> std::vector<Problem>;
  void Accept(const Change& change, int64_t offset);
  void Remember(const Decision& decision);
  void RebuildCatalog();

  int64_t next_offset_ = 1;
  uint32_t next_number_ = 1;
  std::map<std::string, Document> documents_;
  std::map<std::string, uint32_t> numbers_;  // workspace name to number
  std::deque<Decision> decisions_;
  std::shared_ptr<const Catalog> catalog_;
};

// Checks a whole set of documents as the fold would, each against the others;
// all problems at once, with paths that begin with the document's name.
auto CheckDocuments(const std::map<std::string, Json>& documents)
    -> std::vector<Problem>;

// A snapshot as a log record, and back (kInvalid when the digest differs).
auto EncodeSnapshotRecord(const ConfigFold& fold) -> std::string;
auto DecodeSnapshotRecord(const Json& record) -> Result<ConfigFold>;
auto IsSnapshotRecord(const Json& record) -> bool;

}  // namespace sparbend

#endif  // SPARBEND_CORE_CONFIG_FOLD_H_
