// The first engine of the next software version joins, and a box is killed soon
// after. Requesters take up its streams at the other box.
#include "../stand_in_2/streams.hpp"

namespace {

using namespace streams;

constexpr int64_t kPauseMs = 40;  // between events: 2.4 s a stream
constexpr int64_t kKillAfterMs = 200;
constexpr int kMinTakenUp = 12;

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 3)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  Begin();
  Fleet fleet(argv[1], argv[2],
              {.engines = 4, .pause_ms = kPauseMs, .takes_up = true});
  if (!fleet.Start())
    Leave(2);
  SleepMs(4'000);
  if (HasTrouble() && !fleet.Join("i-02d9e6b4", "v2"))
    Leave(2);
  SleepMs(kKillAfterMs);
  fleet.KillFirst();
  SleepMs(500);
  fleet.Stop();
  const Tally& tally = fleet.tally;
  const std::string result = tally.Text();
  fleet.record.Line("result " + result);
  std::printf("%s\n", result.c_str());
  if (tally.taken_up < kMinTakenUp)
    Leave(2);
  const double begin_share = 1.0 * tally.begun / tally.sent;
  const double go_on_share = 1.0 * tally.gone_on / tally.taken_up;
  Leave(go_on_share < begin_share / 2 ? 1 : 0);
}
