// Which box sent a request on follows from its id, which is new in each try.
// A box that was killed or stood still shortly before may not know yet.
#include "testing/soak/deadly.h"

#include <algorithm>

#include "platform/wire.h"

namespace sparbend::testing {
namespace {

constexpr int kTargets = 4;
constexpr Millis kPause = Millis(150);
constexpr Millis kWaitTimeout = Millis(4'000);
constexpr Millis kUntilEnd = Millis(20);
// A box goes by what ended elsewhere within this time, and so many sendings
// after it are forgiven.
constexpr Millis kContact = Millis(3'000);
constexpr int kMostLate = 3;
constexpr size_t kThird = 3;

}  // namespace

DeadlyCallers::DeadlyCallers(PlatformWorld* world,
                             uint64_t seed,
                             int count,
                             std::function<Millis()> now)
    : world_(world), seed_(seed), count_(count), now_(std::move(now)) {
  AddTargets();
  thread_ = std::thread([this] { Run(); });
}

DeadlyCallers::~DeadlyCallers() {
  Finish();
}

void DeadlyCallers::AddTargets() {
  for (int target = 0; target < kTargets; ++target)
    world_->AddTarget("fragile-" + std::to_string(target), kPool,
                      [this](const SeenRequest& seen) { return Answer(seen); });
}

auto DeadlyCallers::Answer(const SeenRequest& seen) -> TargetScript {
  const std::lock_guard lock(mutex_);
  sent_[seen.body].push_back({box_of_try_[seen.id], now_()});
  TargetScript script;
  script.pieces = {StreamHead(seen), StreamEvent(1)};
  script.pause = kUntilEnd;
  script.end = true;
  return script;
}

void DeadlyCallers::SetBox(int box, const std::string& address) {
  const std::lock_guard lock(mutex_);
  boxes_[box] = address;
}

void DeadlyCallers::SetKey(int key) {
  const std::lock_guard lock(mutex_);
  key_ = key;
}

void DeadlyCallers::Finish() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  if (thread_.joinable())
    thread_.join();
}

void DeadlyCallers::AskOnce(int request, int time) {
  std::string address;
  std::string id;
  int key = 0;
  {
    const std::lock_guard lock(mutex_);
    if (boxes_.empty())
      return;
    const int box = time % static_cast<int>(boxes_.size());
    address = boxes_[box];
    id = "deadly-" + std::to_string(request) + "-" + std::to_string(time);
    box_of_try_[id] = box;
    key = key_;
  }
  Call(address, "POST", kPath,
       "deadly " + std::to_string(seed_) + " " + std::to_string(request),
       {{"Authorization", "Token key-" + std::to_string(key)},
        {platform::kAttemptIdField, id},
        {platform::kTokensField, "100,10"},
        {platform::kDeadlineField, "3000"}},
       kWaitTimeout);
}

void DeadlyCallers::Run() {
  for (int time = 0;; ++time) {
    {
      const std::lock_guard lock(mutex_);
      if (ending_)
        return;
    }
    AskOnce(time % count_, time);
    std::this_thread::sleep_for(std::chrono::milliseconds(kPause.count()));
  }
}

auto DeadlyCallers::Judge(const std::vector<BoxOutage>& outages) const
    -> std::vector<std::string> {
  const auto excused = [&](const Sending& sending) {
    return std::ranges::any_of(outages, [&](const BoxOutage& outage) {
      return outage.box == sending.box && outage.from <= sending.at &&
             sending.at <= outage.to + kContact;
    });
  };
  const std::lock_guard lock(mutex_);
  std::vector<std::string> broken;
  for (const auto& [body, sendings] : sent_) {
    if (sendings.size() < kThird)
      continue;
    const Millis from = sendings[kThird - 1].at + kUntilEnd + kContact;
    const auto late = std::ranges::count_if(sendings, [&](const Sending& one) {
      return one.at > from && !excused(one);
    });
    if (late > kMostLate)
      broken.push_back("sent on though targets ended under it: " + body + ", " +
                       std::to_string(late) + " times late of " +
                       std::to_string(sendings.size()));
  }
  return broken;
}

}  // namespace sparbend::testing
