// Boxes of the policy kShared as pure nodes, without sockets: what they tell
// each other arrives at once.
//
//   SharedNodes nodes(20, targets);
//   nodes.Step(Millis(10));
//   nodes.at(0).OnTargetLeaving(target);
#ifndef TESTING_SHARED_NODES_H_
#define TESTING_SHARED_NODES_H_

#include <map>
#include <memory>
#include <vector>

#include "sparbend/core/node.h"

namespace sparbend::testing {

class SharedNodes {
 public:
  // All start at the same moment and know the same list.
  SharedNodes(int boxes, std::vector<TargetEntry> targets);

  // Runs all after `span`, and hands over what they tell; the numbers of the
  // boxes that spoke.
  auto Step(Millis span) -> std::vector<int>;

  auto at(int box) -> Node& { return *nodes_[static_cast<size_t>(box)]; }
  auto now() const -> Millis { return now_; }
  // Told since the start.
  auto datagrams() const -> size_t { return datagrams_; }
  // Of these, datagrams that their receiver refused.
  auto refused() const -> size_t { return refused_; }

 private:
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<BoxId, Node*> by_id_;
  Millis now_{10'000};
  size_t datagrams_ = 0;
  size_t refused_ = 0;
};

// `count` engines of the pool "engines", all in one hall.
auto EngineTargets(int count, int slots) -> std::vector<TargetEntry>;

}  // namespace sparbend::testing

#endif  // TESTING_SHARED_NODES_H_
