// What a box knows of the origins of streams, without sockets or a clock: the
// table against an oracle, the rule for continuing a stream, and the messages.
#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include <CppUTest/TestHarness.h>

#include "sparbend/core/continuation.h"
#include "sparbend/core/digest.h"
#include "sparbend/core/messages.h"
#include "sparbend/core/origin_exchange.h"
#include "sparbend/core/past_origins_record.h"
#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr const char* kPeerKey = "a key";

auto RouteTo(const std::vector<std::string>& pools) -> RouteRule {
  RouteRule rule;
  rule.name = "route";
  rule.streaming = true;
  rule.resumable = true;
  for (const std::string& pool : pools)
    rule.pools.push_back({pool, 1});
  return rule;
}

auto OriginOf(const std::string& pool, const std::string& version)
    -> StreamOrigin {
  return {PoolIdOf(pool), VersionIdOf(version)};
}

auto TargetOf(const std::string& name,
              const std::string& pool,
              const std::string& version) -> TargetEntry {
  TargetEntry target;
  target.name = name;
  target.pool = pool;
  target.version = version;
  return target;
}

TEST_GROUP(Continuation){};

// Guards against a stream that goes on although its route allows no resuming.
TEST(Continuation, IsRefusedWhereTheRouteAllowsNone) {
  const StreamOrigin a1 = OriginOf("a", "1");
  RouteRule route = RouteTo({"a"});
  route.resumable = false;
  const Continuation refused = {ContinuationOutcome::kNotResumable,
                                std::nullopt};
  for (const ContinuationFacts& facts :
       {ContinuationFacts{a1, {a1}}, ContinuationFacts{std::nullopt, {a1}},
        ContinuationFacts()})
    CHECK(refused == DecideContinuation(facts, route));
}

TEST(Continuation, GoesOnOnlyWhereNoOtherOriginIsPossible) {
  using enum ContinuationOutcome;
  const StreamOrigin a1 = OriginOf("a", "1");
  const StreamOrigin a2 = OriginOf("a", "2");
  const StreamOrigin b1 = OriginOf("b", "1");
  struct Case {
    const char* what;
    ContinuationFacts facts;
    Continuation expected;
  };
  const Case cases[] = {
      {"known", {a2, {a1, a2}}, {kKnown, a2}},
      {"known, its targets are gone", {a2, {a1}}, {kKnown, a2}},
      {"known, though no other box answered", {a1, {a1}, true}, {kKnown, a1}},
      {"known, its pool left the route", {b1, {a1}}, {kMoved, {}}},
      {"one is possible", {{}, {a1}}, {kOnlyOne, a1}},
      {"one, its pool left the route", {{}, {b1}}, {kMoved, {}}},
      {"one in an old list alone", {{}, {a1}, true}, {kUnknown, {}}},
      {"two versions", {{}, {a1, a2}}, {kUnknown, {}}},
      {"two pools", {{}, {a1, b1}}, {kUnknown, {}}},
      {"no target", {{}, {}}, {kUnknown, {}}},
  };
  for (const Case& row : cases)
    CHECK_TEXT(row.expected == DecideContinuation(row.facts, RouteTo({"a"})),
               row.what);
}

TEST_GROUP(PossibleOrigins){};

TEST(PossibleOrigins, RemembersThoseOfInterruptedStreams) {
  const RouteId route = RouteIdOf("route");
  const RouteTable routes({RouteTo({"a"})});
  const TargetEntry v1 = TargetOf("t1", "a", "1");
  const TargetEntry v2 = TargetOf("t2", "a", "2");
  const TargetEntry other = TargetOf("t3", "other", "3");
  struct Step {
    Millis at;
    std::vector<TargetEntry> targets;
    size_t possible;
    bool newly_several;
  };
  const Step steps[] = {
      {Millis(0), {v1, other}, 1, false},
      {Millis(1'000), {v1, v2, other}, 2, true},
      {Millis(2'000), {v2}, 2, false},  // streams of v1 may come back
      {Millis(100'000), {v2}, 2, false},
      {Millis(123'000), {v2}, 1, false},
      {Millis(124'000), {v1, v2}, 2, true},
      {Millis(125'000), {}, 2, false},
  };
  PossibleOrigins possible;
  for (const Step& step : steps) {
    const std::vector<RouteId> several =
        possible.Update(ListOrigins(routes, step.targets), step.at);
    CHECK_EQUAL(step.newly_several, !several.empty());
    LONGS_EQUAL(step.possible, possible.Of(route, step.at).size());
  }
}

TEST(PossibleOrigins, APoolThatLeftTheRouteIsRemembered) {
  const std::vector<TargetEntry> targets = {TargetOf("t1", "a", "1"),
                                            TargetOf("t2", "b", "1")};
  PossibleOrigins possible;
  possible.Update(ListOrigins(RouteTable({RouteTo({"a"})}), targets),
                  Millis(0));
  possible.Update(ListOrigins(RouteTable({RouteTo({"b"})}), targets),
                  Millis(5'000));
  LONGS_EQUAL(2, possible.Of(RouteIdOf("route"), Millis(6'000)).size());
}

TEST(PossibleOrigins, ThoseThatBoxesRecordedCountUntilTheyAreOld) {
  const RouteId route = RouteIdOf("route");
  const RouteTable routes({RouteTo({"a"})});
  const OriginsByRoute present =
      ListOrigins(routes, {TargetOf("t2", "a", "2")});
  struct Case {
    const char* what;
    PastOrigins past;
    size_t possible;
    size_t after_a_minute;
  };
  const Millis now(500'000);
  const Case cases[] = {
      {"none", {}, 1, 1},
      {"of this moment", {{OriginOf("a", "1"), now}}, 2, 2},
      {"of 100 s ago", {{OriginOf("a", "1"), Millis(400'000)}}, 2, 1},
      {"too old", {{OriginOf("a", "1"), Millis(379'000)}}, 1, 1},
      {"present as well", {{OriginOf("a", "2"), Millis(400'000)}}, 1, 1},
      {"of a pool of no route", {{OriginOf("b", "1"), now}}, 1, 1},
  };
  for (const Case& row : cases) {
    PossibleOrigins possible;
    possible.Update(present, now);
    const bool several = !possible.AddPast(routes, row.past, now).empty();
    CHECK_EQUAL_TEXT(row.possible > 1, several, row.what);
    LONGS_EQUAL_TEXT(row.possible, possible.Of(route, now).size(), row.what);
    const PastOrigins recorded = possible.OfAllRoutes(now);
    LONGS_EQUAL_TEXT(row.possible, recorded.size(), row.what);
    const Millis later = now + Millis(60'000);
    LONGS_EQUAL_TEXT(row.after_a_minute, possible.Of(route, later).size(),
                     row.what);
    LONGS_EQUAL_TEXT(row.after_a_minute, possible.OfAllRoutes(later).size(),
                     row.what);
  }
}

TEST_GROUP(PastOriginsRecord){};

TEST(PastOriginsRecord, IsReadWithTheTimesOfTheReadersClock) {
  const Millis written(1'000'000);  // by the clock of the box that ended
  const Millis read(5'000);
  struct Case {
    const char* what;
    Millis wall_passed;
    Millis expected_last;
  };
  const Case cases[] = {
      {"at once", Millis(0), Millis(3'000)},
      {"ten seconds later", Millis(10'000), Millis(-7'000)},
      {"by a clock that is behind", Millis(-10'000), Millis(5'000)},
  };
  const Millis wall(1'700'000'000'000);
  const PastOrigins past = {{OriginOf("a", "1"), written - Millis(2'000)}};
  for (const Case& row : cases) {
    const Json record = {
        {"stream_origins", PastOriginsToJson(past, written, wall)}};
    const PastOrigins expected = {{OriginOf("a", "1"), row.expected_last}};
    CHECK_TEXT(
        expected == PastOriginsFrom(record, read, wall + row.wall_passed),
        row.what);
  }
}

TEST(PastOriginsRecord, MalformedRowsAreSkippedAndTheirNumberIsBounded) {
  const Json row = {{"pool", 1}, {"version", 2}, {"last_ms", 1'000}};
  const auto with = [&](const char* name, const Json& value) {
    Json changed = row;
    changed[name] = value;
    return changed;
  };
  Json many = Json::array();
  for (int version = 0; version < 100; ++version)
    many.push_back(with("version", version));
  struct Case {
    Json rows;
    size_t read;
  };
  const Case cases[] = {
      {Json::array({row}), 1},
      {Json::array(
           {with("pool", -1), with("version", "v1"), with("last_ms", -5), row}),
       1},
      {Json::array({row, 7}), 0},
      {"no list", 0},
      {many, kMaxPersistedOrigins},
  };
  for (const Case& one : cases) {
    const Json record = {{"stream_origins", one.rows}};
    LONGS_EQUAL(one.read,
                PastOriginsFrom(record, Millis(2'000), Millis(2'000)).size());
  }
  PastOrigins past;
  for (VersionId version = 0; version < 100; ++version)
    past[{1, version}] = Millis(version);
  const Json written = PastOriginsToJson(past, Millis(200), Millis(200));
  LONGS_EQUAL(kMaxPersistedOrigins, written.size());
  LONGS_EQUAL(99, written[0]["version"].get<int>());
}

TEST_GROUP(StreamOriginTable){};

constexpr size_t kMost = 8;

TEST(StreamOriginTable, AgreesWithAMapAndIsBounded) {
  testing::CheckHolds("the table agrees with a map", [] {
    StreamOriginTable table(kMost);
    std::map<StreamKey, StreamOriginTable::Entry> oracle;
    Millis now(0);
    const int steps = *rc::gen::inRange(0, 60);
    for (int step = 0; step < steps; ++step) {
      const int stream = *rc::gen::inRange(0, 20);
      const int version = *rc::gen::inRange(0, 3);
      const int lasts = *rc::gen::inRange(0, 20);
      now = now + Millis(1);
      const StreamOriginTable::Entry entry = {
          {1, static_cast<VersionId>(version)}, 1, now + Millis(lasts)};
      const auto key = static_cast<StreamKey>(stream);
      table.Record(key, entry, now);
      oracle[key] = entry;
      std::erase_if(oracle,
                    [&](const auto& row) { return row.second.expires <= now; });
      while (oracle.size() > kMost) {
        const auto first =
            std::ranges::min_element(oracle, {}, [](const auto& row) {
              return std::pair(row.second.expires, row.first);
            });
        oracle.erase(first);
      }
      RC_ASSERT(table.size() <= kMost);
      for (StreamKey other = 0; other < 20; ++other) {
        const auto* found = table.Find(other, now);
        const auto expected = oracle.find(other);
        RC_ASSERT((found != nullptr) == (expected != oracle.end()));
        const bool same = found == nullptr || *found == expected->second;
        RC_ASSERT(same);
      }
    }
  });
}

TEST_GROUP(OriginMessages){};

TEST(OriginMessages, DecodeToWhatWasEncoded) {
  OriginMessage report;
  report.sender = 7;
  for (size_t i = 0; i < kMaxRecordsPerReport; ++i)
    report.records.push_back({StreamKeyOf("w", std::to_string(i)),
                              UINT32_MAX,
                              {UINT16_MAX, UINT32_MAX},
                              UINT32_MAX});
  OriginMessage answer;
  answer.kind = OriginMessageKind::kAnswer;
  answer.question = 3;
  answer.stream = StreamKeyOf("w", "x");
  answer.possible = {{1, 2}, {1, 3}};
  for (const OriginMessage& message : {report, answer, OriginMessage()}) {
    const std::string bytes = EncodeOriginMessage(message, kPeerKey);
    CHECK(bytes.size() <= kMaxDatagramBytes);
    CHECK(IsOriginMessage(bytes));
    const auto decoded = DecodeOriginMessage(bytes, kPeerKey);
    CHECK(decoded.has_value());
    CHECK(*decoded == message);
    CHECK(!DecodeOriginMessage(bytes, "another key"));
    CHECK(!DecodeOriginMessage(bytes.substr(0, bytes.size() - 1), kPeerKey));
  }
}

TEST(OriginMessages, AnyBytesAreDecodedOrRejected) {
  testing::CheckHolds("any bytes are decoded or rejected", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    const std::string tagged = "SO1\n" + HmacTag(kPeerKey, bytes, 8) + bytes;
    if (const auto message = DecodeOriginMessage(tagged, kPeerKey))
      RC_ASSERT(EncodeOriginMessage(*message, kPeerKey).size() <=
                kMaxDatagramBytes);
  });
}

}  // namespace
}  // namespace sparbend
