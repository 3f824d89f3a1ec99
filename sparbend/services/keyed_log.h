// What the platform keeps and tells, as typed values: keyed records in the
// order in which they were written. The folder platform/ fills these hooks;
// the services "declarations" and "directory" follow them.
#ifndef SPARBEND_SERVICES_KEYED_LOG_H_
#define SPARBEND_SERVICES_KEYED_LOG_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sparbend/core/catalog.h"
#include "sparbend/core/members.h"
#include "sparbend/kernel/http.h"
#include "sparbend/kernel/kernel.h"

namespace sparbend {

struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;  // nothing: the key was dropped
  int64_t offset = 0;

  auto operator==(const KeyedRecord&) const -> bool = default;
};

struct KeyedPage {
  std::vector<KeyedRecord> records;
  int64_t next = 0;    // offset to read on from
  bool whole = false;  // the newest record of every key, not a continuation
};

// A log of keyed records. Errors as HttpClient tells them, and kTrimmed when
// the offset asked for is no longer kept.
struct KeyedLog {
  std::function<asio::awaitable<Result<KeyedPage>>()> newest;
  std::function<asio::awaitable<Result<KeyedPage>>(int64_t from, Millis wait)>
      read;
  // The offset written to; kOutcomeUnknown when it may have been written.
  std::function<asio::awaitable<Result<int64_t>>(std::string key,
                                                 std::string value)>
      write;
};

struct DeclaredCatalog {
  int64_t version = 0;
  std::shared_ptr<const Catalog> catalog;
};

// The service "declarations-feed": whole configurations under one key, and
// besides a record for each hall that is to be empty, while it is.
struct DeclarationSource : public Service {
  KeyedLog log;
  std::string key;
  std::function<Result<DeclaredCatalog>(const std::string& value)> decode;
  // The hall that a record under that key is about; nothing for others.
  std::function<std::optional<std::string>(std::string_view key)>
      evacuated_hall;
};

// The service "directory-feed": targets as they tell of themselves, and the
// boxes' own records.
struct DirectorySource : public Service {
  KeyedLog targets;
  std::function<Result<TargetEntry>(const std::string& key,
                                    const std::string& value)>
      decode_target;
  KeyedLog boxes;
};

// Reads a log on: all of it at first and whenever its place was lost, else
// what came since.
class KeyedLogReader {
 public:
  explicit KeyedLogReader(KeyedLog log) : log_(std::move(log)) {}

  auto Step(Millis wait) -> asio::awaitable<Result<KeyedPage>>;

 private:
  auto List() -> asio::awaitable<Result<KeyedPage>>;

  KeyedLog log_;
  std::optional<int64_t> next_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_KEYED_LOG_H_
