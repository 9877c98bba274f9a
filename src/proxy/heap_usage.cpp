// SPDX-License-Identifier: Apache-2.0
#include "heap_usage.h"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <new>

#ifdef __SANITIZE_ADDRESS__
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();  // of the sanitizer's run-time library
#endif

namespace load_balancer::proxy {
namespace {

// Blocks from this size on have pages of their own, which the system gets back when the block is freed.
constexpr int kMapThresholdBytes = 128 * 1024;
// Free bytes at the end of the heap from which on they are returned to the system.
constexpr int kTrimThresholdBytes = 128 * 1024;
constexpr std::chrono::milliseconds kTrimInterval{250};  // between two looks at the heap
constexpr std::size_t kMinTrimBytes = 1024 * 1024;       // freed since the last trim

}  // namespace

#ifdef __SANITIZE_ADDRESS__

std::size_t HeapInUse() { return __sanitizer_get_current_allocated_bytes(); }

#else

namespace {

constexpr std::size_t kBlockHeaderBytes = sizeof(std::size_t);  // which malloc keeps with each block
constinit std::atomic<std::size_t> bytes_in_use{0};

std::size_t SizeOf(void* block) { return ::malloc_usable_size(block) + kBlockHeaderBytes; }

}  // namespace

namespace heap {

// Counts a block that was allocated. Throws std::bad_alloc if it is null.
void* Counted(void* block) {
  if (!block) throw std::bad_alloc();
  bytes_in_use.fetch_add(SizeOf(block), std::memory_order_relaxed);
  return block;
}

void Free(void* block) noexcept {
  if (!block) return;
  bytes_in_use.fetch_sub(SizeOf(block), std::memory_order_relaxed);
  std::free(block);
}

}  // namespace heap

std::size_t HeapInUse() { return bytes_in_use.load(std::memory_order_relaxed); }

#endif

void ConfigureHeap() {
  ::mallopt(M_ARENA_MAX, 1);
  ::mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  ::mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

HeapTrimmer::HeapTrimmer(boost::asio::io_context& io) : timer_(io) { ScheduleNextLook(); }

void HeapTrimmer::ScheduleNextLook() {
  timer_.expires_after(kTrimInterval);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    Look();
    ScheduleNextLook();
  });
}

void HeapTrimmer::Look() {
  const std::size_t in_use = HeapInUse();
  most_in_use_ = std::max(most_in_use_, in_use);
  if (most_in_use_ - in_use < kMinTrimBytes) return;
  ::malloc_trim(0);
  most_in_use_ = in_use;
}

}  // namespace load_balancer::proxy

#ifndef __SANITIZE_ADDRESS__

// The other forms of these operators are defined by the standard library and call these.
void* operator new(std::size_t size) {
  return load_balancer::proxy::heap::Counted(std::malloc(size > 0 ? size : 1));
}
void* operator new(std::size_t size, std::align_val_t alignment) {
  const auto boundary = static_cast<std::size_t>(alignment);
  return load_balancer::proxy::heap::Counted(
      std::aligned_alloc(boundary, (size + boundary - 1) / boundary * boundary));
}
void operator delete(void* block) noexcept { load_balancer::proxy::heap::Free(block); }
void operator delete(void* block, std::size_t /*size*/) noexcept { load_balancer::proxy::heap::Free(block); }
void operator delete(void* block, std::align_val_t /*alignment*/) noexcept {
  load_balancer::proxy::heap::Free(block);
}
void operator delete(void* block, std::size_t /*size*/, std::align_val_t /*alignment*/) noexcept {
  load_balancer::proxy::heap::Free(block);
}

#endif
