// The service "config" where the platform keeps whole configurations and the
// halls that are to be empty: follows them, keeps the newest in force, and
// hands it to boxes that cannot read the store themselves.
#ifndef SPARBEND_SERVICES_DECLARATIONS_H_
#define SPARBEND_SERVICES_DECLARATIONS_H_

#include <memory>
#include <string>

#include "sparbend/core/evacuated_halls.h"
#include "sparbend/core/poll_timer.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/catalog_source.h"
#include "sparbend/services/dependency.h"
#include "sparbend/services/directory.h"
#include "sparbend/services/keyed_log.h"
#include "sparbend/services/peers.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

class Declarations : public CatalogSource {
 public:
  Declarations(Kernel* kernel, const Settings& settings);

  void Start() override;

  auto ready() const -> bool override;
  auto why_not_ready() const -> std::string override;
  auto catalog() const -> std::shared_ptr<const Catalog> override {
    return catalog_;
  }
  auto version() const -> int64_t override { return version_; }

 private:
  auto FollowStore() -> asio::awaitable<void>;
  auto LookDue(Millis now) -> bool;
  void MarkPolled(Millis now);
  auto Boxes() const -> size_t;
  auto FollowPeers() -> asio::awaitable<void>;
  auto AskSeeds() -> asio::awaitable<void>;
  void TakePage(const KeyedPage& page);
  void Take(const std::string& document, const std::string& from);
  // Puts in force what was read up to `offset`.
  void SetOffset(int64_t offset, bool halls_changed, const std::string& from);
  void TakeAnswer(const Result<Json>& answer, const std::string& from);
  auto Tell() const -> Json;

  Kernel* kernel_;
  Settings settings_;
  std::shared_ptr<DeclarationSource> feed_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Peers> peers_;
  std::shared_ptr<Directory> directory_;
  PollTimer looks_;
  PollTimer rare_looks_;  // while others are heard to look
  Dependency store_{"store-declarations"};
  std::string document_;  // as read, for peers
  int64_t version_ = 0;
  EvacuatedHalls halls_;
  int64_t offset_ = 0;  // what operators wrote is known up to here
  std::shared_ptr<const Catalog> catalog_ = std::make_shared<Catalog>();
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_DECLARATIONS_H_
