#include "sparbend/core/arriving_bodies.h"

#include <vector>

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr size_t kMb = 1024 * 1024;

TEST_GROUP(ArrivingBodies){};

TEST(ArrivingBodies, EndsTheSlowestOfTheWorkspaceWithTheMost) {
  struct Body {
    ConnectionId connection;
    WorkspaceId workspace;
    size_t bytes;
    int64_t since;
  };
  struct Row {
    std::vector<Body> bodies;
    WorkspaceId workspace;
    size_t bytes;
    int64_t now;
    std::optional<ConnectionId> ends;
  };
  const Row rows[] = {
      {{}, 1, kMb, 5'000, std::nullopt},
      // The one that has been arriving for longest.
      {{{7, 2, 4 * kMb, 100}, {8, 2, 4 * kMb, 50}}, 1, 4 * kMb, 5'000, 8},
      // Not slow yet.
      {{{7, 2, 4 * kMb, 100}, {8, 2, 4 * kMb, 50}},
       1,
       4 * kMb,
       1'000,
       std::nullopt},
      // Its own.
      {{{7, 1, 4 * kMb, 0}}, 1, kMb, 5'000, std::nullopt},
      // It would have more than the other.
      {{{7, 2, 4 * kMb, 0}, {8, 1, 2 * kMb, 0}},
       1,
       3 * kMb,
       5'000,
       std::nullopt},
      {{{7, 2, 4 * kMb, 0}, {8, 1, 2 * kMb, 0}}, 1, 2 * kMb, 5'000, 7},
      // Many small ones of the workspace with the most.
      {{{7, 2, 2 * kMb, 30}, {8, 2, 2 * kMb, 20}, {9, 3, 3 * kMb, 0}},
       1,
       kMb,
       5'000,
       8},
  };
  for (const Row& row : rows) {
    ArrivingBodies arriving;
    for (const Body& body : row.bodies)
      arriving.Set(body.connection, body.workspace, body.bytes,
                   Millis(body.since));
    CHECK(arriving.NextToEnd(row.workspace, row.bytes, Millis(row.now)) ==
          row.ends);
  }
}

// Whoever asks never ends up with more than the workspace whose body ends.
TEST(ArrivingBodies, NeverFavoursTheWorkspaceWithMore) {
  testing::CheckHolds("the one that ends is of a workspace with more", [] {
    ArrivingBodies arriving;
    std::map<WorkspaceId, size_t> sums;
    std::map<ConnectionId, WorkspaceId> owners;
    const auto bodies =
        *rc::gen::container<std::vector<std::pair<int, size_t>>>(rc::gen::pair(
            rc::gen::inRange(1, 4), rc::gen::inRange<size_t>(1, 4 * kMb)));
    ConnectionId connection = 0;
    for (const auto& [workspace, bytes] : bodies) {
      arriving.Set(++connection, static_cast<WorkspaceId>(workspace), bytes,
                   Millis(0));
      sums[static_cast<WorkspaceId>(workspace)] += bytes;
      owners[connection] = static_cast<WorkspaceId>(workspace);
    }
    const auto bytes = *rc::gen::inRange<size_t>(1, 4 * kMb);
    const auto ends = arriving.NextToEnd(1, bytes, Millis(60'000));
    if (ends) {
      RC_ASSERT(owners.at(*ends) != 1);
      RC_ASSERT(sums[1] + bytes <= sums[owners.at(*ends)]);
    }
  });
}

}  // namespace
}  // namespace sparbend
