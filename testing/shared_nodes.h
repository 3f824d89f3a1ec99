// Boxes of the policy kShared as pure nodes, without sockets: what they tell
// each other arrives at once, unless it is lost or cut off.
//
//   SharedNodes nodes(20, targets);
//   nodes.Step(Millis(10));
//   nodes.at(0).OnTargetLeaving(target);
#ifndef TESTING_SHARED_NODES_H_
#define TESTING_SHARED_NODES_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sparbend/core/node.h"

namespace sparbend::testing {

class SharedNodes {
 public:
  // What one box sent and received.
  struct Traffic {
    size_t datagrams = 0;
    size_t bytes = 0;  // with IP and UDP headers

    auto operator==(const Traffic&) const -> bool = default;
  };

  // All start at the same moment and know the same list; the boxes are spread
  // evenly over `halls`, named "h", "h1", "h2" and so on.
  SharedNodes(int boxes, std::vector<TargetEntry> targets, int halls = 1);

  // Called with what each box decides in a step.
  using OnEffects = std::function<void(int box, const Effects& effects)>;
  void SetOnEffects(OnEffects on_effects) {
    on_effects_ = std::move(on_effects);
  }

  // Runs all after `span`, and hands over what they tell; the numbers of the
  // boxes that spoke.
  auto Step(Millis span) -> std::vector<int>;

  // `box` says and hears nothing any more.
  void Kill(int box) { boxes_[static_cast<size_t>(box)].alive = false; }
  // `box` is back with nothing that it knew; it has the list.
  void Restart(int box);
  // Adds a box to `hall`, which gets the list with itself and introduces
  // itself. The others have the list without it. Returns its number.
  auto Add(const std::string& hall) -> int;
  // `box` takes datagrams as they come and sends none, as when its way out is
  // cut; until called with false.
  void SetMute(int box, bool mute) {
    boxes_[static_cast<size_t>(box)].mute = mute;
  }
  // Cuts `hall` off from the others, both ways; nothing: no hall is cut off.
  void SetCut(std::optional<std::string> hall) { cut_ = std::move(hall); }
  // So many datagrams of a hundred are lost, by a fixed seed.
  void SetLoss(int percent) { loss_percent_ = percent; }

  auto size() const -> int { return static_cast<int>(boxes_.size()); }
  auto at(int box) -> Node& { return *boxes_[static_cast<size_t>(box)].node; }
  auto alive(int box) const -> bool {
    return boxes_[static_cast<size_t>(box)].alive;
  }
  auto hall(int box) const -> const std::string& {
    return list_.boxes[static_cast<size_t>(box)].hall;
  }
  auto now() const -> Millis { return now_; }
  // Told since the start.
  auto datagrams() const -> size_t { return datagrams_; }
  // Of these, datagrams that their receiver refused.
  auto refused() const -> size_t { return refused_; }
  auto traffic(int box) const -> const Traffic& {
    return boxes_[static_cast<size_t>(box)].traffic;
  }
  // Forgets what was counted so far.
  void ResetTraffic();

 private:
  struct Box {
    std::unique_ptr<Node> node;
    uint32_t incarnation = 1;
    bool alive = true;
    bool mute = false;
    Traffic traffic;
  };

  auto MakeNode(size_t box) const -> std::unique_ptr<Node>;
  void Deliver(size_t from, const Effects::Outgoing& outgoing);
  auto Lost() -> bool;

  MemberList list_;
  std::vector<Box> boxes_;
  std::map<BoxId, size_t> by_id_;
  std::optional<std::string> cut_;
  OnEffects on_effects_;
  int loss_percent_ = 0;
  uint64_t random_ = 1;
  Millis now_{10'000};
  size_t datagrams_ = 0;
  size_t refused_ = 0;
};

// `count` engines of the pool "engines", all in one hall.
auto EngineTargets(int count, int slots) -> std::vector<TargetEntry>;
// A catalog of that pool and one workspace, number 1, that may use it.
auto EngineCatalog() -> std::shared_ptr<const Catalog>;

}  // namespace sparbend::testing

#endif  // TESTING_SHARED_NODES_H_
