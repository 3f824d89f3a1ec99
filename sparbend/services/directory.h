// The service "directory": maintains the list of targets and boxes, from the
// platform's store or, while this box can't or need not read the store, from
// other boxes, and passes it to the scheduler. Also writes this box's own
// record to the store.
#ifndef SPARBEND_SERVICES_DIRECTORY_H_
#define SPARBEND_SERVICES_DIRECTORY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "sparbend/core/json.h"
#include "sparbend/core/list_exchange.h"
#include "sparbend/core/list_reading.h"
#include "sparbend/core/poll_timer.h"
#include "sparbend/core/target_table.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/dependency.h"
#include "sparbend/services/keyed_log.h"
#include "sparbend/services/metrics.h"
#include "sparbend/services/peers.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

class Admin;

class Directory : public Service {
 public:
  Directory(Kernel* kernel, const Settings& settings);

  void Start() override;

  // Whether a list of targets was read at least once.
  auto known() const -> bool { return known_; }
  // Whether the list is fresh, read from the store a short time ago by this box
  // or by the store reader of some hall. Changes in the store are then known
  // through peers.
  auto has_fresh_list() const -> bool { return ListAge() <= MaxFreshAge(); }
  // Waits until the list reflects the store at `at` or later, for at most
  // `span`; whether it does. The store is read for it if needed, once for all
  // that wait.
  auto WaitForListSince(Millis at, Millis span) -> asio::awaitable<bool>;
  // All that targets had written to the store at this time is in the list,
  // unless they could not write then.
  auto list_reflects() const -> Millis { return list_reflects_; }
  // Calls `on_list_read` whenever list_reflects() has advanced.
  void SetOnListRead(std::function<void()> on_list_read) {
    on_list_read_ = std::move(on_list_read);
  }

 private:
  auto FollowTargets() -> asio::awaitable<void>;
  auto ReadTargets(KeyedLogReader* reader) -> asio::awaitable<void>;
  // Applies the freshest of the peers' lists if it differs from this box's.
  auto CheckPeerLists() -> asio::awaitable<PeerListCheck>;
  auto Digest() const -> uint32_t;
  // Called after each change of targets_, targets_end_ or boxes_.
  void OnListChanged();
  // Advances list_reflects(), unless targets may still have to write their
  // records again after an outage of the store.
  void AdvanceListReflects(Millis at);
  // Sets when the list was read from the store, and reports it to peers.
  void SetListReadAt(Millis read_at);
  auto FollowBoxes() -> asio::awaitable<void>;
  // Whether the records of boxes were read in the latest era that this box
  // knows of.
  auto HasBoxesOfEra() const -> bool;
  // Waits for `interval`, or until they were not.
  auto WaitForBoxesRead(Millis interval) -> asio::awaitable<void>;
  // Asks peers, or else seeds, one after another while the list is stale.
  auto AskPeersWhileStale() -> asio::awaitable<void>;
  // Writes the own record if it has changed; whether the store has it now.
  auto WriteOwnRecord() -> asio::awaitable<bool>;
  // Writes the own record until the store has it, so that blocked requests and
  // origins of streams are not forgotten when all boxes lose power.
  auto PersistOwnRecord() -> asio::awaitable<void>;
  // Merges the blocked requests in the record of `box`.
  void RestoreQuarantine(const std::string& box, const Json& record);
  // Apply a page of the targets' or the boxes' log; true if the list changed.
  auto ApplyTargets(const KeyedPage& page) -> bool;
  auto ApplyBoxes(const KeyedPage& page) -> bool;
  // A list that ends at `end` is about to be applied. In a later era than
  // before it may lack records of live targets, and this box's own record.
  void EnterEra(LogPosition end);
  // What to ask a peer for.
  auto NextRequest() const -> ListRequest;
  // Applies the list in a peer's answer to a call made at `asked`; `from` is
  // where it came from, for the log.
  void ApplyPeerAnswer(const Result<Json>& json,
                       Millis asked,
                       const std::string& from);
  // Time since the list was read from the store.
  auto ListAge() const -> Millis;
  // Greatest age at which a list makes reading the store unnecessary.
  auto MaxFreshAge() const -> Millis;
  // This box as it is to be listed.
  auto OwnEntry() const -> BoxEntry;
  auto OwnRecord() -> std::string;
  // Whether the own record has origins of streams.
  auto RefreshPersistedOrigins() -> bool;
  // Passes the list to the scheduler.
  void Publish();
  void LogPublished(const MemberList& list);
  void RecordRetained();
  // Removes the targets whose records are gone and did not come back.
  void RemoveLapsed();

  Kernel* kernel_;
  Settings settings_;
  std::shared_ptr<DirectorySource> source_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Peers> peers_;
  std::shared_ptr<Admin> admin_;
  std::shared_ptr<Metrics> metrics_;
  Dependency store_{"store-directory"};
  PollTimer poll_timer_;  // used while no peer has a fresh list
  TargetTable targets_;
  BoxEntries boxes_;
  ListAnswers list_answers_;
  // The changes that a peer sent last did not bring this list level with the
  // peer's.
  bool needs_whole_list_ = false;
  std::string stored_record_;  // own record as the store has it
  // The blocked requests in the own record, and their JSON, which has
  // wall-clock times from when it was made.
  std::vector<Suspicion> persisted_rows_;
  Json persisted_rows_json_;
  // The origins of streams in the own record, their JSON, and when it was made.
  PastOrigins persisted_origins_;
  Json persisted_origins_json_;
  Millis persisted_origins_at_;
  bool persisting_ = false;  // PersistOwnRecord() is active
  LogPosition targets_end_;  // up to which the targets' log was read
  int64_t boxes_era_ = 0;    // in which the boxes' log was read last
  Millis list_read_at_;  // when this list was read from the store, by any box
  // When the latest read of the store by this box that brought the list up to
  // the end of the targets' log was sent, and when it has to be at least.
  Millis store_read_sent_at_;
  Millis list_needed_since_;
  Millis list_reflects_{INT64_MIN};
  std::function<void()> on_list_read_;  // null: none
  // Of the coroutines in WaitForListSince.
  std::set<std::shared_ptr<asio::steady_timer>> list_waits_;
  Millis previous_list_read_at_;   // the same of the previous list
  Millis requested_list_read_at_;  // the same of the list last got from a peer
  // Retained targets whose records are gone, and when the last list in which
  // they had one was read.
  std::map<std::string, Millis> retained_since_;
  int64_t version_ = 0;
  // Cached digest of the list; nothing after a change.
  mutable std::optional<uint32_t> digest_;
  bool known_ = false;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_DIRECTORY_H_
