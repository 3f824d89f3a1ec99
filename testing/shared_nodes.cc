// A datagram is handed over only after all boxes have run, so that boxes that
// run in the same step do not hear each other within it.
#include "testing/shared_nodes.h"

namespace sparbend::testing {

SharedNodes::SharedNodes(int boxes,
                         std::vector<TargetEntry> targets,
                         int halls) {
  list_.version = 1;
  list_.targets = std::move(targets);
  for (int i = 0; i < boxes; ++i) {
    const int hall = i % halls;
    list_.boxes.push_back({"box-" + std::to_string(i),
                           hall == 0 ? "h" : "h" + std::to_string(hall),
                           "127.0.0.1:1", "127.0.0.1:2"});
  }
  boxes_.resize(list_.boxes.size());
  for (size_t i = 0; i < boxes_.size(); ++i) {
    boxes_[i].node = MakeNode(i);
    by_id_[BoxIdOf(list_.boxes[i].name)] = i;
  }
}

auto SharedNodes::MakeNode(size_t box) const -> std::unique_ptr<Node> {
  NodeOptions options;
  options.name = list_.boxes[box].name;
  options.incarnation = boxes_[box].incarnation;
  options.hall = list_.boxes[box].hall;
  options.peer_key = "key";
  options.policy = Policy::kShared;
  auto node = std::make_unique<Node>(options);
  node->SetList(list_, now_);
  return node;
}

void SharedNodes::Restart(int box) {
  Box& restarted = boxes_[static_cast<size_t>(box)];
  ++restarted.incarnation;
  restarted.alive = true;
  restarted.node = MakeNode(static_cast<size_t>(box));
}

auto SharedNodes::Add(const std::string& hall) -> int {
  const size_t box = boxes_.size();
  const std::string name = "box-" + std::to_string(box);
  ++list_.version;
  list_.boxes.push_back({name, hall, "127.0.0.1:1", "127.0.0.1:2"});
  by_id_[BoxIdOf(name)] = box;
  boxes_.emplace_back();
  boxes_[box].node = MakeNode(box);
  boxes_[box].node->Introduce(list_.boxes[box]);
  return static_cast<int>(box);
}

void SharedNodes::ResetTraffic() {
  for (Box& box : boxes_)
    box.traffic = Traffic{};
}

auto SharedNodes::Lost() -> bool {
  random_ = random_ * 6364136223846793005 + 1442695040888963407;
  return static_cast<int>((random_ >> 33) % 100) < loss_percent_;
}

void SharedNodes::Deliver(size_t from, const Effects::Outgoing& outgoing) {
  const auto count = [&](Box* box) {
    ++box->traffic.datagrams;
    box->traffic.bytes += outgoing.bytes.size() + kHeaderBytes;
  };
  ++datagrams_;
  count(&boxes_[from]);
  const size_t to = by_id_.at(outgoing.to);
  const std::string& from_hall = list_.boxes[from].hall;
  const std::string& to_hall = list_.boxes[to].hall;
  const bool cut =
      cut_ && from_hall != to_hall && (from_hall == *cut_ || to_hall == *cut_);
  if (Lost() || cut || !boxes_[to].alive || boxes_[from].mute)
    return;
  count(&boxes_[to]);
  if (boxes_[to].node->OnDatagram(outgoing.bytes, now_))
    ++refused_;
  if (const auto answer = boxes_[to].node->TakeAnswer())
    Deliver(to, {BoxIdOf(list_.boxes[from].name), *answer});
}

auto SharedNodes::Step(Millis span) -> std::vector<int> {
  now_ = now_ + span;
  std::vector<int> spoke;
  std::vector<std::pair<size_t, Effects::Outgoing>> told;
  for (size_t i = 0; i < boxes_.size(); ++i) {
    if (!boxes_[i].alive)
      continue;
    Effects effects = boxes_[i].node->Run(now_);
    if (on_effects_)
      on_effects_(static_cast<int>(i), effects);
    if (!effects.datagrams.empty())
      spoke.push_back(static_cast<int>(i));
    for (Effects::Outgoing& outgoing : effects.datagrams)
      told.emplace_back(i, std::move(outgoing));
  }
  for (const auto& [from, outgoing] : told)
    Deliver(from, outgoing);
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

auto EngineCatalog() -> std::shared_ptr<const Catalog> {
  Catalog::Pools pools;
  pools["engines"].name = "engines";
  Catalog::Workspaces workspaces;
  Workspace& workspace = workspaces["w"];
  workspace.number = 1;
  workspace.name = "w";
  workspace.pools = {"engines"};
  workspace.queue_requests = 10'000;
  workspace.queue_bytes = 100'000'000;
  return std::make_shared<Catalog>(pools, workspaces);
}

}  // namespace sparbend::testing
