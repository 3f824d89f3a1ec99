// The service "directory": which targets and which boxes there are, followed
// in the platform's store, or asked of other boxes while this one cannot read
// it. Writes this box's own record.
#ifndef SPARBEND_SERVICES_DIRECTORY_H_
#define SPARBEND_SERVICES_DIRECTORY_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "sparbend/core/json.h"
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

  // Whether the targets were read at least once.
  auto known() const -> bool { return known_; }
  // Whether some box that reads for its hall was heard to have read the store
  // lately: news of the store comes by peers then.
  auto fresh() const -> bool { return Age() <= Fresh(); }

 private:
  auto FollowTargets() -> asio::awaitable<void>;
  auto ReadTargets(KeyedLogReader* reader) -> asio::awaitable<void>;
  auto FollowPeer() -> asio::awaitable<PeerListCheck>;
  // Of the names of all targets and boxes, and of each target which life it is
  // in, whether it leaves and whether it is cold.
  auto Digest() const -> uint32_t;
  auto FindDigest() const -> uint32_t;
  void SetTold(Millis told);
  auto FollowBoxes() -> asio::awaitable<void>;
  auto FollowPeers() -> asio::awaitable<void>;
  // Whether the store has it as it is now.
  auto WriteOwnRecord() -> asio::awaitable<bool>;
  // Writes it until the store has it: what is held back is not to be forgotten
  // when all boxes lose power.
  auto KeepQuarantine() -> asio::awaitable<void>;
  void RestoreQuarantine(const std::string& box, const Json& record);
  auto TakeTargets(const KeyedPage& page) -> bool;
  auto TakeBoxes(const KeyedPage& page) -> bool;
  void TakeAnswer(const Result<Json>& answer,
                  Millis asked,
                  const std::string& from);
  auto Tell() const -> Json;
  auto Age() const -> Millis;
  // A list read so long ago spares reading the store.
  auto Fresh() const -> Millis;
  auto OwnRecord() -> std::string;
  void Publish();
  void LogPublished(const MemberList& list);
  void NoteKept();
  void RemoveExpiredTargets();

  Kernel* kernel_;
  Settings settings_;
  std::shared_ptr<DirectorySource> feed_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Peers> peers_;
  std::shared_ptr<Admin> admin_;
  std::shared_ptr<Metrics> metrics_;
  Dependency store_{"store-directory"};
  PollTimer looks_;  // where no other box's list is fresh
  TargetTable book_;
  std::map<std::string, BoxEntry> boxes_;
  std::string written_;  // own record as the store has it
  // Of that record, with the time of day that it was made at.
  std::vector<Suspicion> kept_;
  Json kept_json_;
  bool keeping_ = false;  // it is being written
  int64_t end_ = 0;       // the targets' log was read up to here
  Millis told_;           // when the targets were last heard of, either way
  Millis known_at_;       // the same of the list before
  Millis asked_for_;      // when the list last asked for was read, as heard
  // Targets whose record is gone, and when they were last known to have one.
  std::map<std::string, Millis> kept_since_;
  int64_t version_ = 0;
  mutable std::optional<uint32_t> digest_;  // nothing after a change
  bool known_ = false;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_DIRECTORY_H_
