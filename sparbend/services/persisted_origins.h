// The service "persisted-origins": writes the origins of streams that began at
// this box to the platform's store while several are possible, and reads those
// that boxes wrote, for streams that no running box remembers. While each route
// has one possible origin, it makes no calls.
#ifndef SPARBEND_SERVICES_PERSISTED_ORIGINS_H_
#define SPARBEND_SERVICES_PERSISTED_ORIGINS_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sparbend/core/origin_log.h"
#include "sparbend/services/dependency.h"
#include "sparbend/services/record_log.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

class PersistedOrigins : public Service {
 public:
  explicit PersistedOrigins(Kernel* kernel) : kernel_(kernel) {}

  void Start() override;

  // Adds what boxes have written since the last call to what this box knows.
  // Returns false if the log could not be read to its end in time; the read
  // then goes on, and the next call may find more.
  auto Refresh() -> asio::awaitable<bool>;

 private:
  auto WriteAll() -> asio::awaitable<void>;
  // Appends until the store has the record or its streams are of no use.
  auto Append(std::string record) -> asio::awaitable<void>;
  auto ReadAll() -> asio::awaitable<void>;
  // Reads up to the end; false after a failure.
  auto ReadPages() -> asio::awaitable<bool>;
  void Apply(const std::vector<std::string>& records);

  Kernel* kernel_;
  std::shared_ptr<OriginLogSource> source_;
  std::shared_ptr<Scheduler> scheduler_;
  Dependency store_{"store-stream-origins"};
  UnwrittenOrigins unwritten_;
  bool writing_ = false;  // WriteAll() is active
  bool reading_ = false;  // ReadAll() is active
  // Position to read next; nothing before the first page.
  std::optional<LogPosition> next_;
  // When the last read began, and whether it reached the end.
  std::optional<Millis> read_at_;
  bool read_to_end_ = false;
  // Of coroutines that wait for a read.
  std::vector<std::shared_ptr<asio::steady_timer>> waits_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_PERSISTED_ORIGINS_H_
