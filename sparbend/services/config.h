// The service "config": keeps the fold of the configuration log up to date
// and hands the catalog in force to the scheduler. Few boxes of a hall read
// the log; the others hear of new records from peers and fetch them there.
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
  auto why_not_ready() const -> std::string override;
  auto catalog() const -> std::shared_ptr<const Catalog> override {
    return fold_.catalog();
  }
  auto version() const -> int64_t override { return fold_.next_offset(); }
  auto fold() const -> const ConfigFold& { return fold_; }

  // Records kept for peers, from offset `from` on; empty object if `from` has
  // aged out here (ask for the snapshot instead).
  auto RecordsFrom(int64_t from) const -> Json;

 private:
  auto Run() -> asio::awaitable<void>;
  auto Bootstrap() -> asio::awaitable<void>;
  auto FollowPeers() -> asio::awaitable<void>;
  auto FollowLog() -> asio::awaitable<void>;
  auto FromPeers() -> asio::awaitable<bool>;
  auto RecoverLedger() -> asio::awaitable<void>;
  auto FetchFrom(BoxId peer) -> asio::awaitable<bool>;
  auto TailLog(Millis wait) -> asio::awaitable<bool>;
  auto MaybeSnapshot() -> asio::awaitable<void>;
  auto IsTailer() const -> bool;
  void TakeRecords(int64_t first, const std::vector<std::string>& records);
  void OnRecord(const Decision& decision, const std::string& record);
  void InForce();
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
  Millis snapshot_seen_;
  int64_t records_since_snapshot_ = 0;
  // The newest records, for peers; the first has offset recent_first_.
  std::deque<std::string> recent_;
  int64_t recent_first_ = 1;
  size_t recent_bytes_ = 0;
  uint64_t counted_bytes_ = 0;
  std::mt19937_64 random_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CONFIG_H_
