// The part of a soak in which targets turn requests away for a while and ask
// for none (Retry-After), and one says in its answers that it leaves, beside
// all other faults.
//
//   RefusingTargets refusing(seed, targets, span, now);
//   if (const auto script = refusing.Answer(seen)) ...
//   const std::vector<std::string> broken = refusing.Judge(asked, outages);
#ifndef TESTING_SOAK_TURNED_AWAY_H_
#define TESTING_SOAK_TURNED_AWAY_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "testing/platform_world.h"
#include "testing/soak/promises.h"

namespace sparbend::testing {

class RefusingTargets {
 public:
  // Spells of targets "target-0" and up are drawn from `seed` within `span`;
  // `now` is the soak's clock.
  RefusingTargets(uint64_t seed,
                  int targets,
                  Millis span,
                  std::function<Millis()> now);

  // The way to `target` is at fault now, so its answers may be lost.
  void NoteDisturbed(const std::string& target);
  // Notes that `seen` arrived; the refusal, if its target turns it away now.
  auto Answer(const SeenRequest& seen) -> std::optional<TargetScript>;
  // The fields to add to the head of the answer to `seen`, which came last.
  // `whole`: it is not broken off, and so reaches the box.
  auto FieldsOf(const SeenRequest& seen, bool whole) -> std::string;

  // Call after the last arrival. A line for each request too many.
  auto Judge(const std::vector<Asked>& asked,
             const std::vector<BoxOutage>& outages) const
      -> std::vector<std::string>;

 private:
  struct Spell {
    Millis from;
    Millis to;
    Millis asked;  // by each refusal
  };
  struct Arrival {
    std::string id;
    Millis at;
    Millis asked;          // zero: it was not turned away
    bool leaving = false;  // the answer says so, and reaches the box
  };

  auto Leaves(const std::string& target) const -> bool;
  // Whether the answer to an arrival at `at` may have been lost.
  auto MayBeLost(const std::string& target, Millis at) const -> bool;

  std::function<Millis()> now_;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<Spell>> spells_;      // by target
  std::map<std::string, std::vector<Arrival>> arrivals_;  // by target
  std::map<std::string, std::vector<Millis>> disturbed_;  // by target
  Millis leaves_at_;
};

}  // namespace sparbend::testing

#endif  // TESTING_SOAK_TURNED_AWAY_H_
