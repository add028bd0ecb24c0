#include "allocation_counter.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<uint64_t> allocation_count{0};
std::atomic<uint64_t> allocated_bytes{0};

}  // namespace

void* operator new(size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr)
    throw std::bad_alloc();
  allocation_count.fetch_add(1, std::memory_order_relaxed);
  allocated_bytes.fetch_add(malloc_usable_size(memory),
                            std::memory_order_relaxed);
  return memory;
}

void operator delete(void* memory) noexcept {
  if (memory == nullptr)
    return;
  allocated_bytes.fetch_sub(malloc_usable_size(memory),
                            std::memory_order_relaxed);
  std::free(memory);
}

void operator delete(void* memory, size_t /*size*/) noexcept {
  operator delete(memory);
}

namespace skylarkshunt {

uint64_t AllocationCount() {
  return allocation_count.load(std::memory_order_relaxed);
}

uint64_t AllocatedBytes() {
  return allocated_bytes.load(std::memory_order_relaxed);
}

}  // namespace skylarkshunt
