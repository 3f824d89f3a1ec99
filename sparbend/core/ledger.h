// The fleet's books of service. Each box owns one register per flow: the
// normalised service (tokens charged over share) its own callers have had.
// Boxes tell each other their registers; a flow's service is the sum of all.
//
//   ledger.Charge(flow, Normalised(tokens, share));  // our own register
//   ledger.Learn(peer, flow, value);                 // a peer's, as told
//   ledger.Service(flow);                            // whole fleet, lifted
//
// A lift is a floor under a flow's service, raised so that idling banks no
// credit. Lifts only rise and merge by maximum, so any box may raise one.
#ifndef SPARBEND_CORE_LEDGER_H_
#define SPARBEND_CORE_LEDGER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/json.h"

namespace sparbend {

// Normalised service is kept in sixteenths of a token per unit of share.
inline constexpr int64_t kServiceUnit = 16;

// `tokens` charged to a workspace with `share` (at least 1).
inline auto Normalised(int64_t tokens, int64_t share) -> int64_t {
  return tokens * kServiceUnit / share;
}

class Ledger {
 public:
  using Register = std::map<Flow, int64_t>;

  explicit Ledger(BoxId self) : self_(self) {}

  // Adds to our own register; `amount` is negative when an estimate settles.
  void Charge(Flow flow, int64_t amount);

  // Takes `box`'s register for `flow` as told. The caller passes messages of
  // one box in their order; values of our own earlier life are taken as the
  // base that our register goes on from.
  void Learn(BoxId box, Flow flow, int64_t value);

  // Raises the lift of `flow` to `lift` if that is higher.
  void Lift(Flow flow, int64_t lift);

  // Lifted service of the whole fleet. O(log flows).
  auto Service(Flow flow) const -> int64_t;
  // The same without the lift.
  auto RawService(Flow flow) const -> int64_t;
  auto LiftOf(Flow flow) const -> int64_t;

  auto own() const -> const Register&;
  auto lifts() const -> const Register& { return lifts_; }

  // Everything known, for a box that starts without state; and its reading.
  // A malformed export is ignored and reported by false.
  auto Export() const -> Json;
  auto Import(const Json& exported) -> bool;

 private:
  void Set(BoxId box, Flow flow, int64_t value);

  BoxId self_;
  std::map<BoxId, Register> registers_;
  Register totals_;
  Register lifts_;
};

// Chooses which entries of a register to tell one peer next: those that
// changed most since they were told, then the next few in turn, so that a
// lost message is made good.
class RegisterCursor {
 public:
  // At most `most` entries, of them up to `refresh` unchanged ones.
  auto Next(const Ledger::Register& current, size_t most, size_t refresh)
      -> std::vector<std::pair<Flow, int64_t>>;

  // Forgets what was told, as for a peer that restarted.
  void Reset() { told_.clear(); }

 private:
  Ledger::Register told_;
  Flow refreshed_;  // last entry told only to refresh it
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_LEDGER_H_
