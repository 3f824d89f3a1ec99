// Which box sent a request follows from the caller's try. A box that stood
// still or was another process between the answer and the request is excused.
#include "testing/soak/turned_away.h"

#include <algorithm>
#include <random>

#include "platform/wire.h"

namespace sparbend::testing {
namespace {

constexpr int kSpells = 4;
constexpr int64_t kMostSpellMs = 3'000;
constexpr int64_t kLeastAskedMs = 800;
constexpr int64_t kMostAskedMs = 2'500;
// What was on its way when the target answered may still reach it, and so many
// requests beside that.
constexpr Millis kOnTheWay = Millis(500);
constexpr int kMostWithin = 2;
// An answer is on its way no longer than this.
constexpr Millis kAnswerTime = Millis(300);
// Served on by a target that leaves.
constexpr Millis kDrain = Millis(2'000);
// A box that stood still when it was answered reads the answer after that.
constexpr Millis kLongestPause = Millis(2'000);
constexpr char kLeaving[] = "target-1";

auto Seconds(Millis span) -> std::string {
  return std::to_string(static_cast<double>(span.count()) / 1'000);
}

// A line of the report, for a request of `box`.
auto Line(const std::string& promise,
          const std::string& target,
          int box,
          Millis at) -> std::string {
  return promise + ": " + target + ", from box " + std::to_string(box) +
         ", at " + std::to_string(at.count()) + " ms";
}

}  // namespace

RefusingTargets::RefusingTargets(uint64_t seed,
                                 int targets,
                                 Millis span,
                                 std::function<Millis()> now)
    : now_(std::move(now)) {
  std::mt19937_64 random(seed);
  const auto draw = [&](int64_t least, int64_t most) {
    return std::uniform_int_distribution<int64_t>(least, most)(random);
  };
  const Millis begin = now_();
  for (int i = 0; i < kSpells; ++i) {
    const std::string target = "target-" + std::to_string(draw(0, targets - 1));
    const Millis from = begin + Millis(draw(0, span.count()));
    const Millis to = from + Millis(draw(0, kMostSpellMs));
    spells_[target].push_back(
        {from, to, Millis(draw(kLeastAskedMs, kMostAskedMs))});
  }
  leaves_at_ = begin + Millis(draw(span.count() / 2, span.count()));
}

void RefusingTargets::NoteDisturbed(const std::string& target) {
  const std::lock_guard lock(mutex_);
  disturbed_[target].push_back(now_());
}

auto RefusingTargets::Leaves(const std::string& target) const -> bool {
  return target == kLeaving && now_() >= leaves_at_;
}

auto RefusingTargets::Answer(const SeenRequest& seen)
    -> std::optional<TargetScript> {
  const std::lock_guard lock(mutex_);
  const Millis now = now_();
  Millis asked;
  for (const Spell& spell : spells_[seen.target]) {
    if (now >= spell.from && now < spell.to)
      asked = std::max(asked, spell.asked);
  }
  const bool refused = asked > Millis(0);
  const bool leaving = Leaves(seen.target);
  arrivals_[seen.target].push_back({seen.id, now, asked, refused && leaving});
  if (!refused)
    return std::nullopt;
  std::string head = "HTTP/1.1 503 Busy\r\n";
  head.append(platform::kAttemptIdField).append(": ").append(seen.id);
  head.append("\r\n").append(platform::kNotRunField).append(": 1\r\n");
  head.append("Retry-After: ").append(Seconds(asked)).append("\r\n");
  if (leaving)
    head.append(platform::kLeavingField).append(": 1\r\n");
  TargetScript script;
  script.pieces = {head.append("Content-Length: 0\r\n\r\n")};
  return script;
}

auto RefusingTargets::FieldsOf(const SeenRequest& seen, bool whole)
    -> std::string {
  const std::lock_guard lock(mutex_);
  std::string fields;
  if (!Leaves(seen.target))
    return fields;
  arrivals_[seen.target].back().leaving = whole;
  return fields.append(platform::kLeavingField).append(": 1\r\n");
}

auto RefusingTargets::MayBeLost(const std::string& target, Millis at) const
    -> bool {
  const auto found = disturbed_.find(target);
  return found != disturbed_.end() &&
         std::ranges::any_of(found->second, [&](Millis disturbed) {
           return disturbed + kAnswerTime >= at &&
                  disturbed <= at + kAnswerTime;
         });
}

auto RefusingTargets::Judge(const std::vector<Asked>& asked,
                            const std::vector<BoxOutage>& outages) const
    -> std::vector<std::string> {
  std::map<std::string, int> box_of;
  for (const Asked& one : asked)
    box_of[one.id] = one.box;
  const auto undisturbed = [&](int box, Millis from, Millis to) {
    return std::ranges::none_of(outages, [&](const BoxOutage& outage) {
      return outage.box == box && outage.from <= to &&
             outage.from + kLongestPause >= from;
    });
  };
  const std::lock_guard lock(mutex_);
  std::vector<std::string> broken;
  for (const auto& [target, arrivals] : arrivals_) {
    for (size_t i = 0; i < arrivals.size(); ++i) {
      const Arrival& first = arrivals[i];
      const auto box = box_of.find(first.id);
      if (box == box_of.end() || MayBeLost(target, first.at))
        continue;
      int within = 0;
      for (size_t j = i + 1; j < arrivals.size(); ++j) {
        const Arrival& later = arrivals[j];
        const auto sender = box_of.find(later.id);
        if (sender == box_of.end() || sender->second != box->second ||
            !undisturbed(box->second, first.at, later.at))
          continue;
        if (later.at > first.at + kOnTheWay &&
            later.at < first.at + first.asked && ++within == kMostWithin + 1)
          broken.push_back(Line("sent to a target that asked for none", target,
                                box->second, later.at));
        if (first.leaving && later.at > first.at + kDrain) {
          broken.push_back(Line("sent to a target that said that it leaves",
                                target, box->second, later.at));
          break;
        }
      }
    }
  }
  return broken;
}

}  // namespace sparbend::testing
