// Counts the bytes that the program allocates: a measure of work that doesn't depend on the machine. Replaces
// the global operators new and delete, and must be included in one source file of a program only.
#pragma once

#include <cstddef>
#include <cstdlib>
#include <new>

namespace gulltrestle::testing {

// Bytes allocated since the counter was last reset.
inline std::size_t allocatedBytes = 0;

}  // namespace gulltrestle::testing

[[gnu::noinline]] void* operator new(std::size_t size) {
  gulltrestle::testing::allocatedBytes += size;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  gulltrestle::testing::allocatedBytes += size;
  return std::malloc(size);
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, const std::nothrow_t&) noexcept { std::free(memory); }
