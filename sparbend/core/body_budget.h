// Bounds the memory for large request bodies: from the header of a request
// until its end, over all requests of a box. Small bodies are part of what each
// connection is counted with.
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

  // The budget of a process with `memory_mb` of memory; 0: not specified.
  static auto TotalWithin(int64_t memory_mb) -> size_t;

  // Reserves what a body of `bytes` needs beyond `*held`, which the request
  // has reserved. False, and nothing changes, if that exceeds the total.
  auto Grow(size_t* held, size_t bytes) -> bool;
  // Returns all that the request has reserved.
  void Release(size_t* held);

  auto total() const -> size_t { return total_; }
  auto used() const -> size_t { return used_; }

 private:
  size_t total_;
  size_t used_ = 0;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_BODY_BUDGET_H_
