// Counts what the process has allocated with operator new, which is nearly all:
// strings and containers. Not the frames of coroutines: a connection has a few,
// of some KB. Only a program that links this file counts.
#ifndef DAEMON_ALLOCATED_BYTES_H_
#define DAEMON_ALLOCATED_BYTES_H_

#include <cstddef>

namespace sparbend {

// The bytes that are allocated at the moment, with what the allocator adds.
auto AllocatedBytes() -> size_t;
// Makes the allocator return large blocks to the system as soon as they are
// freed, so that the memory of the process follows what is allocated.
void ReturnFreedMemory();

}  // namespace sparbend

#endif  // DAEMON_ALLOCATED_BYTES_H_
