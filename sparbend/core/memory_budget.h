// Bounds what a process allocates while its peers send: clients, operators,
// other boxes, the store and targets. It compares all that the process has
// allocated with its memory, whatever it was allocated for.
//
//   MemoryBudget memory(MemoryBudget::LimitWithin(memory_mb), allocated);
//   if (!memory.HasRoom(MemoryBudget::Use::kLargeBody, bytes))
//     ...  // refuse the request
#ifndef SPARBEND_CORE_MEMORY_BUDGET_H_
#define SPARBEND_CORE_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>

namespace sparbend {

class MemoryBudget {
 public:
  // What bytes are to be allocated for. Each may use a part of the limit, so
  // that those after it still have room.
  enum class Use {
    kLargeBody,  // of a request, or of an answer that is collected
    kRequest,    // a client's request: its header, a small body
    kOwnCall,    // calls of operators and other boxes, and to the store
  };

  // `allocated`: the bytes that the process has allocated at the moment.
  MemoryBudget(size_t limit, std::function<size_t()> allocated);
  // Without a limit.
  MemoryBudget() = default;

  // The limit of a process with `memory_mb` of memory; 0: not specified, no
  // limit.
  static auto LimitWithin(int64_t memory_mb) -> size_t;

  // Whether `bytes` more may be allocated for `use`.
  auto HasRoom(Use use, size_t bytes) const -> bool;
  // Whether clients that send slowly should be closed, so that there is room
  // for others.
  auto IsScarce() const -> bool;

  auto limit() const -> size_t { return limit_; }
  auto allocated() const -> size_t { return allocated_ ? allocated_() : 0; }

 private:
  size_t limit_ = SIZE_MAX;
  std::function<size_t()> allocated_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_MEMORY_BUDGET_H_
