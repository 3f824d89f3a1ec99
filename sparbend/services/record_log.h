// Interface to a log of records without keys that the platform's store keeps
// for a few minutes. The folder platform/ implements these functions.
#ifndef SPARBEND_SERVICES_RECORD_LOG_H_
#define SPARBEND_SERVICES_RECORD_LOG_H_

#include <functional>
#include <string>
#include <vector>

#include "sparbend/core/log_position.h"
#include "sparbend/kernel/http.h"
#include "sparbend/kernel/kernel.h"

namespace sparbend {

struct RecordPage {
  std::vector<std::string> records;
  // Where the next read starts. After the log has dropped the offset that was
  // asked for, the page is empty and this is the first one that it has.
  LogPosition next;
  bool has_more = false;  // the log had records at or after `next`
};

struct RecordLog {
  // Reads a page of records from an offset on, without waiting for one. Errors
  // are those of HttpClient, and kTrimmed for an answer of an earlier era than
  // before.
  std::function<asio::awaitable<Result<RecordPage>>(int64_t from)> read;
  // Appends a record and returns its offset. kOutcomeUnknown if it may have
  // been written.
  std::function<asio::awaitable<Result<int64_t>>(std::string record)> append;
};

// The service "stream-origins-feed": the log of core/origin_log.h. Without it
// the origins of streams are kept in memory alone.
struct OriginLogSource : public Service {
  RecordLog log;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_RECORD_LOG_H_
