#ifndef SKYLARKSHUNT_TOOLS_COMMON_ALLOCATION_COUNTER_H_
#define SKYLARKSHUNT_TOOLS_COMMON_ALLOCATION_COUNTER_H_

#include <cstdint>

namespace skylarkshunt {

/// Returns how many times this program has called operator new. Thread-safe.
uint64_t AllocationCount();

/// Returns the bytes asked for by operator new and not yet deleted, as the
/// allocator rounds them. Thread-safe.
uint64_t AllocatedBytes();

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_TOOLS_COMMON_ALLOCATION_COUNTER_H_
