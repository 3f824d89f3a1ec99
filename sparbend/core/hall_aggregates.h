// The books of a box that adds up for its hall: the words of the hall's boxes,
// the other halls' sums, and what both come to.
//
//   sums.TakeWord(word, now); sums.TakeHallSum("hall-b", sum, now);
//   sums.HallSum(now); sums.FleetSum(now)
//
// Pure.
#ifndef SPARBEND_CORE_HALL_AGGREGATES_H_
#define SPARBEND_CORE_HALL_AGGREGATES_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sparbend/core/fair_usage.h"
#include "sparbend/core/load_table.h"
#include "sparbend/core/messages.h"

namespace sparbend {

class HallAggregates {
 public:
  // The word of a box of this hall, this box's own included; it replaces that
  // box's word before.
  void TakeWord(const Datagram& word, Millis now);
  // The sum of another hall, by one of the boxes that add up there. Of two
  // such the one that counts more boxes is believed.
  void TakeHallSum(const std::string& hall, const Datagram& sum, Millis now);

  // A datagram with the sections of a sum filled in: over the boxes of this
  // hall whose words are fresh.
  auto HallSum(Millis now) -> Datagram;
  // The same over all halls whose sums are fresh. `members` and homes as in
  // HallSum: of this hall, and of all.
  auto FleetSum(Millis now) -> Datagram;

 private:
  // Loads, service and refusals by source: a box of the hall, or a hall.
  struct Books {
    LoadTable loads;
    FairUsage served;
    FairUsage denied;

    void UpdateFromPeer(BoxId source, const Datagram& datagram, Millis now);
  };
  struct Included {
    MemberNews news;
    Millis at;
  };
  struct FarSum {
    BoxId from = 0;
    uint32_t boxes = 0;
    Millis at;
  };
  struct RecentHome {
    PrefixLocation home;
    Millis at;
    bool near = false;  // told by a box of this hall
  };

  void Expire(Millis now);
  void NoteHomes(const std::vector<PrefixLocation>& homes,
                 bool near,
                 Millis now);
  auto Homes(bool near_only) const -> std::vector<PrefixLocation>;
  auto Members() const -> std::vector<MemberNews>;

  Books near_;
  Books far_;
  std::map<BoxId, Included> boxes_;
  std::map<std::string, FarSum> halls_;
  std::deque<RecentHome> homes_;          // the newest last
  std::set<PrefixLocation> homes_known_;  // those of homes_
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_HALL_AGGREGATES_H_
