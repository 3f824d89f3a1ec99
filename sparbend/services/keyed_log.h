// Interfaces to logs of keyed records that the platform's store keeps: records
// in the order in which they were written, and the decoders of their values.
// The folder platform/ implements these functions; the services in
// declarations.h and directory.h read the logs.
#ifndef SPARBEND_SERVICES_KEYED_LOG_H_
#define SPARBEND_SERVICES_KEYED_LOG_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sparbend/core/catalog.h"
#include "sparbend/core/log_position.h"
#include "sparbend/core/members.h"
#include "sparbend/kernel/http.h"
#include "sparbend/kernel/kernel.h"

namespace sparbend {

struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;  // nothing: the key was deleted
  int64_t offset = 0;

  auto operator==(const KeyedRecord&) const -> bool = default;
};

struct KeyedPage {
  std::vector<KeyedRecord> records;
  int64_t era = 0;        // of the log (LogPosition)
  int64_t next = 0;       // offset at which the next read starts
  bool full = false;      // has the newest record of every key; otherwise only
                          // the records since the last read
  bool has_more = false;  // the log had records at or after `next`

  auto PositionOf(const KeyedRecord& record) const -> LogPosition {
    return {era, record.offset};
  }
  auto end() const -> LogPosition { return {era, next}; }
};

// A log of keyed records. Errors are those of HttpClient, and kTrimmed if the
// log no longer keeps the requested offset, or answers in an earlier era than
// before.
struct KeyedLog {
  // Reads the newest record of every key.
  std::function<asio::awaitable<Result<KeyedPage>>()> read_newest;
  // Reads the records from offset `from` on; if there is none yet, waits up to
  // `wait` for the first.
  std::function<asio::awaitable<Result<KeyedPage>>(int64_t from, Millis wait)>
      read;
  // Writes the value of a key and returns the record's offset. kOutcomeUnknown
  // if the record may have been written.
  std::function<asio::awaitable<Result<int64_t>>(std::string key,
                                                 std::string value)>
      write;
};

struct DeclaredCatalog {
  int64_t version = 0;
  std::shared_ptr<const Catalog> catalog;
};

// The service "declarations-feed": full configurations under one key, and one
// record for each hall that is evacuated, for as long as it is.
struct DeclarationSource : public Service {
  KeyedLog log;
  std::string key;  // of the configurations
  std::function<Result<DeclaredCatalog>(const std::string& value)> decode;
  // The evacuated hall that a record under `key` is about; nothing if the
  // record is not about one.
  std::function<std::optional<std::string>(std::string_view key)>
      evacuated_hall;
};

// The service "directory-feed": the records that targets write about
// themselves, and those of the boxes.
struct DirectorySource : public Service {
  KeyedLog targets;
  std::function<Result<TargetEntry>(const std::string& key,
                                    const std::string& value)>
      decode_target;
  KeyedLog boxes;
};

// Reads a keyed log step by step: the newest record of every key in the first
// step, after the log has trimmed the reader's position and in a new era,
// otherwise the records written since the last step.
class KeyedLogReader {
 public:
  explicit KeyedLogReader(KeyedLog log) : log_(std::move(log)) {}

  // Reads the next page; waits up to `wait` for a record. A failed step may be
  // repeated.
  auto Step(Millis wait) -> asio::awaitable<Result<KeyedPage>>;
  // Makes the next step read the newest record of every key.
  void Restart() { next_.reset(); }

 private:
  auto ReadNewest() -> asio::awaitable<Result<KeyedPage>>;

  KeyedLog log_;
  // Position to read next; nothing before the first page.
  std::optional<LogPosition> next_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_KEYED_LOG_H_
