// The service "config" where the platform keeps a log of configuration changes:
// replays the log (ConfigFold) and passes the active catalog to the scheduler.
// A few boxes of each hall read the log; the others see from datagrams that a
// peer has newer records and fetch them from it.
#ifndef SPARBEND_SERVICES_CONFIG_H_
#define SPARBEND_SERVICES_CONFIG_H_

#include <deque>
#include <memory>
#include <random>
#include <string>

#include "sparbend/core/config_fold.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/platform/fold_reader.h"
#include "sparbend/platform/log_client.h"
#include "sparbend/services/catalog_source.h"
#include "sparbend/services/peers.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

class ConfigService : public CatalogSource {
 public:
  ConfigService(Kernel* kernel, const Settings& settings);

  void Start() override;

  auto ready() const -> bool override;
  auto not_ready_reason() const -> std::string override;
  auto catalog() const -> std::shared_ptr<const Catalog> override {
    return fold_.catalog();
  }
  auto version() const -> int64_t override { return fold_.next_offset(); }
  // The state replicated through the log.
  auto fold() const -> const ConfigFold& { return fold_; }

  // A page of the recent records that this box keeps for peers, from offset
  // `from` on. An empty object if the record at `from` is no longer kept; the
  // peer then needs the snapshot.
  auto RecordsFrom(int64_t from) const -> Json;

 private:
  auto Run() -> asio::awaitable<void>;
  // Loads the first configuration, from the log or from a peer.
  auto Bootstrap() -> asio::awaitable<void>;
  auto FollowPeers() -> asio::awaitable<void>;
  auto FollowLog() -> asio::awaitable<void>;
  // Loads from a listed peer; false if none of those asked had any records.
  auto LoadFromPeers() -> asio::awaitable<bool>;
  // Takes over the service counters of a peer.
  auto RecoverServiceCounters() -> asio::awaitable<void>;
  // Fetches newer records from `peer`, or a newer snapshot if the peer no
  // longer keeps the records; false on failure.
  auto FetchFrom(BoxId peer) -> asio::awaitable<bool>;
  // Reads one page of the log; false on failure.
  auto ReadLog(Millis wait) -> asio::awaitable<bool>;
  // Appends a snapshot to the log if one is due.
  auto AppendSnapshotIfDue() -> asio::awaitable<void>;
  // Whether this box reads the log for its hall.
  auto IsLogReader() const -> bool;
  // Applies records with consecutive offsets from `first` on; those that were
  // applied before are skipped.
  void ApplyRecords(int64_t first, const std::vector<std::string>& records);
  // Called for each record after it was applied.
  void OnRecord(const Decision& decision, const std::string& record);
  // Passes the active catalog to the scheduler.
  void ActivateCatalog();
  void TrimRecent();

  Kernel* kernel_;
  Settings settings_;
  LogClient log_;
  FoldReader reader_;
  ConfigFold fold_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Peers> peers_;
  std::shared_ptr<Metrics> metrics_;
  bool loaded_ = false;
  Millis next_poll_;
  Millis last_snapshot_;  // when one was last read or appended
  int64_t records_since_snapshot_ = 0;
  // The newest records, for peers. recent_[0] has offset recent_first_.
  std::deque<std::string> recent_;
  int64_t recent_first_ = 1;
  size_t recent_bytes_ = 0;
  uint64_t counted_bytes_ = 0;  // bytes of log_ that the metric contains
  std::mt19937_64 random_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CONFIG_H_
