// Bounds the bytes of answers that a box has read from targets and not yet sent
// to clients that read slowly: over the whole box, and for each client.
//
//   SendBudget budget(SendBudget::TotalWithin(memory_mb));
//   if (budget.Reserve(held, size))  // `held`: reserved for this client
//     held += size;
//   ...
//   budget.Release(size);
#ifndef SPARBEND_CORE_SEND_BUDGET_H_
#define SPARBEND_CORE_SEND_BUDGET_H_

#include <cstddef>
#include <cstdint>

namespace sparbend {

class SendBudget {
 public:
  explicit SendBudget(size_t total) : total_(total) {}

  // The budget of a process with `memory_mb` of memory; 0: not specified.
  static auto TotalWithin(int64_t memory_mb) -> size_t;

  // Reserves `size` bytes for a client that has `held` bytes reserved. False
  // if that exceeds the bound of a client or of the box.
  auto Reserve(size_t held, size_t size) -> bool;
  void Release(size_t size);

  auto total() const -> size_t { return total_; }
  auto used() const -> size_t { return used_; }

 private:
  size_t total_;
  size_t used_ = 0;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_SEND_BUDGET_H_
