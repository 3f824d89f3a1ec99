// Replaces the global operators new and delete (C++20, [new.delete]). The
// standard library's other forms, for arrays and without exceptions, call
// these.
#include "daemon/allocated_bytes.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace sparbend {
namespace {

// Smaller blocks are taken from the heap, where a free one is used again.
constexpr int kMappedBlockBytes = 256 * 1024;

// What the allocator keeps before each block (glibc).
constexpr size_t kBlockHeaderBytes = sizeof(size_t);

// Changed by all threads; only the sum is read, and nothing else depends on it.
std::atomic<size_t> allocated = 0;

auto SizeOf(void* block) -> size_t {
  return malloc_usable_size(block) + kBlockHeaderBytes;
}

auto Count(void* block) -> void* {
  if (block == nullptr)
    throw std::bad_alloc();
  allocated.fetch_add(SizeOf(block), std::memory_order_relaxed);
  return block;
}

void Free(void* block) {
  if (block == nullptr)
    return;
  allocated.fetch_sub(SizeOf(block), std::memory_order_relaxed);
  std::free(block);
}

}  // namespace

auto AllocatedBytes() -> size_t {
  return allocated.load(std::memory_order_relaxed);
}

void ReturnFreedMemory() {
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
}

}  // namespace sparbend

auto operator new(size_t size) -> void* {
  return sparbend::Count(std::malloc(size == 0 ? 1 : size));
}

auto operator new(size_t size, std::align_val_t alignment) -> void* {
  const auto align = static_cast<size_t>(alignment);
  return sparbend::Count(
      std::aligned_alloc(align, (size + align - 1) / align * align));
}

void operator delete(void* block) noexcept {
  sparbend::Free(block);
}

void operator delete(void* block, size_t) noexcept {
  sparbend::Free(block);
}

void operator delete(void* block, std::align_val_t) noexcept {
  sparbend::Free(block);
}

void operator delete(void* block, size_t, std::align_val_t) noexcept {
  sparbend::Free(block);
}
