// The service "config" where the platform's store keeps full configurations and
// the list of evacuated halls: follows both, keeps the newest configuration
// active, and serves it to boxes that can't read the store themselves.
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
#include "sparbend/services/metrics.h"
#include "sparbend/services/peers.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

class Declarations : public CatalogSource {
 public:
  Declarations(Kernel* kernel, const Settings& settings);

  void Start() override;

  auto ready() const -> bool override;
  auto not_ready_reason() const -> std::string override;
  auto catalog() const -> std::shared_ptr<const Catalog> override {
    return catalog_;
  }
  auto version() const -> int64_t override { return version_; }

 private:
  auto FollowStore() -> asio::awaitable<void>;
  // Whether the store answers and the newest records are in use.
  auto CanConfirm() const -> bool;
  // Tells peers that the store had no records after `page`, the answer to a
  // call that was sent at `sent` and waited up to `wait` for records.
  void Confirm(const KeyedPage& page, Millis sent, Millis wait);
  // Whether it is this box's turn to poll the store.
  auto PollDue(Millis now) -> bool;
  void MarkPolled(Millis now);
  auto ListedBoxCount() const -> size_t;
  auto FollowPeers() -> asio::awaitable<void>;
  // Asks the seeds of the settings for the first configuration.
  auto AskSeeds() -> asio::awaitable<void>;
  // Applies the newest configuration of `page` that can be decoded. Whether the
  // newest of all that were read is in use then.
  auto ApplyNewestDocument(const KeyedPage& page) -> bool;
  // Applies a page of the store's log.
  void ApplyPage(const KeyedPage& page);
  // Applies the halls that a page of the store's log names. True if an
  // evacuation began or ended.
  auto ApplyHalls(const KeyedPage& page) -> bool;
  // Records up to `end` are about to be applied. In a later era than before the
  // log may lack some of the newest ones, and it is read anew once they have
  // been written again.
  void EnterEra(LogPosition end);
  // Activates the configuration in `document` if it is newer; `from` is where
  // it came from, for the log. `end` is the position up to which the source
  // knows the records. False if the document can't be decoded.
  auto ApplyDocument(const std::string& document,
                     LogPosition end,
                     const std::string& from) -> bool;
  // Logs whether this box reads the store for its hall, if that has changed.
  void LogRole(bool is_store_reader);
  // Passes the evacuated halls, and `position`, up to which records are in use
  // now, to the scheduler.
  void SetPosition(LogPosition position,
                   bool halls_changed,
                   const std::string& from);
  // Applies a peer's StateForPeers().
  void ApplyPeerAnswer(const Result<Json>& answer, const std::string& from);
  // This box's answer to peers.
  auto StateForPeers() const -> Json;

  Kernel* kernel_;
  Settings settings_;
  std::shared_ptr<DeclarationSource> source_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Peers> peers_;
  std::shared_ptr<Directory> directory_;
  std::shared_ptr<Metrics> metrics_;
  PollTimer poll_timer_;
  // Used while the configuration is confirmed.
  PollTimer rare_poll_timer_;
  Dependency store_{"store-declarations"};
  std::string document_;  // the active configuration as it was read, for peers
  int64_t version_ = 0;
  EvacuatedHalls evacuated_halls_;
  LogPosition position_;  // records of operators are in use up to here
  // Records of operators were read up to here. Higher than position_ while the
  // newest configuration can't be decoded.
  LogPosition read_to_;
  // The highest version of a peer that this box could not decode.
  int64_t undecodable_version_ = 0;
  // When to read all records anew, after the store came back from a copy.
  std::optional<Millis> reread_at_;
  Millis level_at_;     // when last no peer was known to have newer ones
  Millis answered_at_;  // when the store last answered a read of this box
  bool is_store_reader_ = false;  // as logged last
  std::shared_ptr<const Catalog> catalog_ = std::make_shared<Catalog>();
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_DECLARATIONS_H_
