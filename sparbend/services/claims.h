// The service "claims": decides copies of non-repeatable requests through the
// platform's log. Each shard of keys is read by a few boxes that rendezvous
// hashing picks; a box asks one of them, which appends the claim and reads the
// log up to it. Only a box told "won" ever sends.
#ifndef SPARBEND_SERVICES_CLAIMS_H_
#define SPARBEND_SERVICES_CLAIMS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sparbend/core/claims.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/platform/log_client.h"
#include "sparbend/services/metrics.h"
#include "sparbend/services/peers.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

enum class ClaimOutcome { kWon, kLost, kUnavailable };

struct ClaimAnswer {
  ClaimOutcome outcome = ClaimOutcome::kUnavailable;
  std::string detail;  // the winning claim, or why there is no decision

  auto operator==(const ClaimAnswer&) const -> bool = default;
};

auto ToJson(const ClaimAnswer& answer) -> Json;
auto ClaimAnswerFrom(const Json& json) -> ClaimAnswer;

class Claims : public Service {
 public:
  Claims(Kernel* kernel, const Settings& settings);
  void Start() override;

  // Claims a key for the request named `claim`. kUnavailable means that the
  // request must be refused as not run; it was not sent and never will be.
  auto Claim(WorkspaceId workspace, std::string key, std::string claim)
      -> asio::awaitable<ClaimAnswer>;
  // The request ended without anything being sent: others may claim the key.
  // Returns at once; the release is written as soon as may be.
  void Release(WorkspaceId workspace, std::string key, std::string claim);

  // A peer asks this box as a reader of the record's shard.
  auto DecideHere(ClaimRecord record) -> asio::awaitable<ClaimAnswer>;

 private:
  struct Pending {
    explicit Pending(asio::io_context& io) : done(io) {}
    ClaimRecord record;
    std::optional<ClaimAnswer> answer;
    asio::steady_timer done;
    Millis give_up;
  };
  struct Shard {
    std::string stream;
    ClaimTable table;
    int64_t next = 1;                               // first offset not read
    bool running = false;                           // a task works on the queue
    std::vector<std::shared_ptr<Pending>> queue;    // not yet appended
    std::vector<std::shared_ptr<Pending>> written;  // not yet read back
  };

  auto Readers(uint32_t shard) const -> std::vector<BoxId>;
  auto Ask(BoxId box, const ClaimRecord& record)
      -> asio::awaitable<ClaimAnswer>;
  auto Send(ClaimRecord record) -> asio::awaitable<ClaimAnswer>;
  auto Work(uint32_t number) -> asio::awaitable<void>;
  auto AppendQueue(Shard* shard) -> asio::awaitable<void>;
  auto ReadUp(Shard* shard) -> asio::awaitable<bool>;
  void SettleWritten(Shard* shard);
  void Settle(Pending* pending, ClaimAnswer answer);

  Kernel* kernel_;
  LogClient log_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Peers> peers_;
  std::shared_ptr<Metrics> metrics_;
  std::map<uint32_t, Shard> shards_;
  uint64_t counted_bytes_ = 0;
};

// Milliseconds since 1970 by this box's wall clock.
auto WallClock() -> Millis;

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CLAIMS_H_
