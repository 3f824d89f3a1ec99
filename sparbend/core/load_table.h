// How much work each target has from the whole fleet, as this box knows it:
// what it sent itself, exactly, and what the other boxes last told.
//
//   book.Start(id, target, load, now); book.FirstByte(id); book.Finish(id);
//   book.Learn(peer, rows, now);
//   book.Total(target, now).waiting_tokens
#ifndef SPARBEND_CORE_LOAD_TABLE_H_
#define SPARBEND_CORE_LOAD_TABLE_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"
#include "sparbend/core/work.h"

namespace sparbend {

class LoadTable {
 public:
  using RequestId = uint64_t;

  // A request was sent to `load.target`; `load.running` is taken as one.
  void Start(RequestId id, const TargetLoad& load, Millis now);
  // Its answer has begun: its prompt is read. The time that took, if it had
  // not begun before.
  auto FirstByte(RequestId id, Millis now) -> std::optional<Millis>;
  void Finish(RequestId id);

  // The whole word of box `from`: rows it does not name are zero.
  void UpdateFromPeer(BoxId from,
                      const std::vector<TargetLoad>& rows,
                      Millis now);

  // Drops the words that are too old to count.
  void Expire(Millis now);
  // Drops all words.
  void ClearPeerReports();
  // What all words that count come to, without the own load.
  auto ToldRows() const -> std::vector<TargetLoad>;

  // Own load plus what peers told lately. O(1); asked for each candidate of
  // each request.
  auto Total(TargetId target) const -> TargetLoad;
  auto Own(TargetId target) const -> TargetLoad;
  // All own rows that are not zero, for peers; the most requests first.
  auto OwnRows() const -> std::vector<TargetLoad>;

 private:
  struct Sent {
    TargetLoad load;
    Millis since;
    bool began = false;
  };
  // The last word of one box.
  struct Word {
    std::vector<TargetLoad> rows;
    Millis at;
  };

  void Forget(const Word& word);

  std::unordered_map<RequestId, Sent> sent_;
  std::unordered_map<TargetId, TargetLoad> own_;
  std::map<BoxId, Word> words_;
  std::unordered_map<TargetId, TargetLoad> told_;
  Millis expired_at_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_LOAD_TABLE_H_
