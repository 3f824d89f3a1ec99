// Bounds the memory for large bodies over all requests of a box: of requests,
// from the header of a request until its end, and of answers that are collected
// before they are relayed. Small bodies are part of what each connection is
// counted with.
//
//   BodyBudget budget(BodyBudget::TotalWithin(memory_mb));
//   if (!budget.Grow(&held, body_bytes))  // `held`: of this request, first 0
//     ...  // refuse the request
//   budget.Release(&held);  // at its end
#ifndef SPARBEND_CORE_BODY_BUDGET_H_
#define SPARBEND_CORE_BODY_BUDGET_H_

#include <cstddef>
#include <cstdint>

namespace sparbend {

class BodyBudget {
 public:
  explicit BodyBudget(size_t total) : total_(total) {}

  // The budgets of a process with `memory_mb` of memory, for requests and for
  // answers; 0: not specified.
  static auto TotalWithin(int64_t memory_mb) -> size_t;
  static auto AnswersWithin(int64_t memory_mb) -> size_t;
  // Whether a body of `bytes` needs no reservation.
  static auto IsSmall(size_t bytes) -> bool;

  // Reserves what a body that allocates `bytes` needs beyond `*held`, which is
  // reserved for it. False, and nothing changes, if that exceeds the total.
  auto Grow(size_t* held, size_t bytes) -> bool;
  // Returns what is reserved for it beyond `bytes`.
  void Shrink(size_t* held, size_t bytes);
  // Returns all that is reserved for it.
  void Release(size_t* held);

  auto total() const -> size_t { return total_; }
  auto used() const -> size_t { return used_; }

 private:
  size_t total_;
  size_t used_ = 0;
};

// What is reserved for one body while this exists.
class BodyReservation {
 public:
  // `budget` must outlive this.
  explicit BodyReservation(BodyBudget* budget) : budget_(budget) {}
  BodyReservation(const BodyReservation&) = delete;
  auto operator=(const BodyReservation&) -> BodyReservation& = delete;
  ~BodyReservation() { Release(); }

  auto Grow(size_t bytes) -> bool { return budget_->Grow(&held_, bytes); }
  void Release() { budget_->Release(&held_); }

 private:
  BodyBudget* budget_;
  size_t held_ = 0;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_BODY_BUDGET_H_
