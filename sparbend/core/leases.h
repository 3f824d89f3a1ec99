// The entry box's side of leased slots: what the allocators of targets have
// granted this box, what it uses and what it has handed back.
//
// Per target the two sides keep two counts that only rise within an epoch:
// granted (the allocator's) and returned (the box's). Their difference is what
// the box holds; a lost message delays a slot but never loses or doubles one.
#ifndef SPARBEND_CORE_LEASES_H_
#define SPARBEND_CORE_LEASES_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/messages.h"
#include "sparbend/core/millis.h"

namespace sparbend {

// Leases lapse when their allocator was not heard for this long.
inline constexpr Millis kLeaseTime = Millis(3'000);

class LeaseBook {
 public:
  // Says which box allocates `target`; leases of another one lapse.
  void SetAllocator(TargetId target, std::optional<BoxId> allocator);
  // Drops the leases of targets not in `targets`; running requests remain.
  void Retain(const std::set<TargetId>& targets);

  // Takes a notice; false if `from` is not the target's allocator. The count
  // of new grants is added to `*fresh`.
  auto OnNotice(BoxId from, const LeaseNotice& notice, Millis now, int* fresh)
      -> bool;
  // Any datagram of an allocator keeps its leases alive.
  void OnHeard(BoxId from, Millis now);
  // Lets the leases lapse whose allocator fell silent. Cheap; call each tick,
  // and before using a slot after a pause.
  void Lapse(Millis now);

  auto Free(TargetId target) const -> int;
  auto Keep(TargetId target) const -> bool;
  auto InFlight(TargetId target) const -> int;
  auto AllocatorOf(TargetId target) const -> std::optional<BoxId>;
  // Whether one of the free slots is meant for `workspace`.
  auto MeantFor(TargetId target, WorkspaceId workspace) const -> bool;
  // How many of the free slots are meant for anybody.
  auto MeantCount(TargetId target) const -> int;

  // A request starts on a slot (or without one, if none is free).
  void Start(TargetId target, WorkspaceId workspace);
  void Finish(TargetId target);
  // Hands all free slots of `target` back; how many.
  auto Return(TargetId target) -> int;

  // Targets with a free slot.
  auto free_targets() const -> std::vector<TargetId>;
  // Reports owed to `allocator`: all that changed, or every one.
  auto Reports(BoxId allocator, bool all) -> std::vector<LeaseReport>;
  // Whether a change is owed that frees capacity at `allocator`.
  auto Urgent(BoxId allocator) const -> bool;

 private:
  struct Lease {
    std::optional<BoxId> allocator;
    uint32_t epoch = 0;
    uint32_t granted = 0;
    uint32_t returned = 0;
    uint32_t in_flight = 0;
    bool keep = true;
    std::deque<WorkspaceId> meant_for;
    Millis heard;
    bool changed = false;
    bool urgent = false;

    auto free() const -> int;
    void Reset();
  };

  auto Find(TargetId target) const -> const Lease*;

  std::map<TargetId, Lease> leases_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_LEASES_H_
