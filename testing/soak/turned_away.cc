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

auto RefusingTargets::Answer(const SeenRequest& seen, bool disturbed)
    -> std::optional<TargetScript> {
  const std::lock_guard lock(mutex_);
  const Millis now = now_();
  const bool leaving = seen.target == kLeaving && now >= leaves_at_;
  Millis asked;
  for (const Spell& spell : spells_[seen.target]) {
    if (now >= spell.from && now < spell.to)
      asked = std::max(asked, spell.asked);
  }
  arrivals_[seen.target].push_back(
      {seen.id, now, disturbed ? Millis(0) : asked, leaving && !disturbed});
  if (asked <= Millis(0))
    return std::nullopt;
  TargetScript script;
  script.pieces = {"HTTP/1.1 503 Busy\r\n" +
                   std::string(platform::kCallerIdField) + ": " + seen.id +
                   "\r\n" + platform::kNotRunField + ": 1\r\nRetry-After: " +
                   Seconds(asked) + "\r\nContent-Length: 0\r\n\r\n"};
  return script;
}

auto RefusingTargets::FieldsOf(const std::string& target) -> std::string {
  const std::lock_guard lock(mutex_);
  const bool leaving = target == kLeaving && now_() >= leaves_at_;
  std::string fields;
  if (leaving)
    fields.append(platform::kLeavingField).append(": 1\r\n");
  return fields;
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
      if (box == box_of.end())
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
