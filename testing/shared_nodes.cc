// A datagram is handed over only after all boxes have run, so that boxes that
// run in the same step do not hear each other within it.
#include "testing/shared_nodes.h"

namespace sparbend::testing {

SharedNodes::SharedNodes(int boxes, std::vector<TargetEntry> targets) {
  MemberList list;
  list.version = 1;
  list.targets = std::move(targets);
  for (int i = 0; i < boxes; ++i)
    list.boxes.push_back(
        {"box-" + std::to_string(i), "h", "127.0.0.1:1", "127.0.0.1:2"});
  for (const BoxEntry& box : list.boxes) {
    NodeOptions options;
    options.name = box.name;
    options.hall = "h";
    options.peer_key = "key";
    options.policy = Policy::kShared;
    nodes_.push_back(std::make_unique<Node>(options));
    nodes_.back()->SetList(list, now_);
    by_id_[BoxIdOf(box.name)] = nodes_.back().get();
  }
}

auto SharedNodes::Step(Millis span) -> std::vector<int> {
  now_ = now_ + span;
  std::vector<int> spoke;
  std::vector<Effects::Outgoing> told;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    const Effects effects = nodes_[i]->Run(now_);
    if (!effects.datagrams.empty())
      spoke.push_back(static_cast<int>(i));
    told.insert(told.end(), effects.datagrams.begin(), effects.datagrams.end());
  }
  datagrams_ += told.size();
  for (const Effects::Outgoing& outgoing : told) {
    if (by_id_.at(outgoing.to)->OnDatagram(outgoing.bytes, now_))
      ++refused_;
  }
  return spoke;
}

auto EngineTargets(int count, int slots) -> std::vector<TargetEntry> {
  std::vector<TargetEntry> targets;
  for (int i = 0; i < count; ++i) {
    TargetEntry target;
    target.name = "target-" + std::to_string(i);
    target.hall = "h";
    target.pool = "engines";
    target.slots = slots;
    targets.push_back(target);
  }
  return targets;
}

}  // namespace sparbend::testing
