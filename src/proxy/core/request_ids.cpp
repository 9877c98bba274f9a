// SPDX-License-Identifier: Apache-2.0
#include "core/request_ids.h"

#include <fcntl.h>
#include <sys/mman.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <new>

#include "base/descriptor.h"
#include "base/log.h"
#include "members.h"

namespace load_balancer::proxy {
namespace {

constexpr std::size_t kSlots = 4096;
constexpr std::size_t kSlotsPerKey = 16;           // slots that may hold a key, from its hash on
constexpr std::chrono::seconds kKeepAfterDue{60};  // how long the id of a client that has left is kept
constexpr std::chrono::hours kLongestLife{2};      // an id that expires later is left over from another boot
constexpr mode_t kFileMode = 0600;

// Returns the time on the clock that all processes of a machine share.
std::uint64_t ToMs(Steady::time_point at) {
  return static_cast<std::uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(at.time_since_epoch()).count());
}

bool IsExpired(std::uint64_t expires_at_ms, Steady::time_point now) {
  return expires_at_ms <= ToMs(now) || expires_at_ms > ToMs(now + kLongestLife);
}

}  // namespace

struct RequestIds::Slot {
  std::atomic<std::uint64_t> key;            // 0: free
  std::atomic<std::uint64_t> expires_at_ms;  // on the monotonic clock
};

// The layout is an interface between the processes of a hot restart. A new file is all zero: no ids.
struct RequestIds::Table {
  Slot slots[kSlots];
};

RequestIds::RequestIds(const std::string& path) {
  void* mapped = MAP_FAILED;
  if (!path.empty()) {
    const Descriptor file(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
    if (file && ::ftruncate(file.get(), sizeof(Table)) == 0)
      mapped = ::mmap(nullptr, sizeof(Table), PROT_READ | PROT_WRITE, MAP_SHARED, file.get(), 0);
    if (mapped == MAP_FAILED) log::Info("proxy", "request ids are not shared with another process: " + path);
  }
  if (mapped == MAP_FAILED)
    mapped = ::mmap(nullptr, sizeof(Table), PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (mapped == MAP_FAILED) throw std::bad_alloc();
  table_ = static_cast<Table*>(mapped);
}

RequestIds::~RequestIds() { ::munmap(table_, sizeof(Table)); }

RequestIds::Key RequestIds::KeyOf(std::string_view request_id) {
  return std::max<Key>(1, StableHash(request_id));
}

RequestIds::Slot* RequestIds::Find(Key key) const {
  for (std::size_t i = 0; i < kSlotsPerKey; ++i) {
    Slot& slot = table_->slots[(key + i) % kSlots];
    if (slot.key == key) return &slot;
  }
  return nullptr;
}

void RequestIds::Add(Key key, Steady::time_point due) {
  const auto now = Steady::now();
  Slot* target = Find(key);
  for (std::size_t i = 0; !target && i < kSlotsPerKey; ++i) {
    Slot& slot = table_->slots[(key + i) % kSlots];
    if (slot.key == 0 || IsExpired(slot.expires_at_ms, now)) target = &slot;
  }
  if (!target) {
    target = &table_->slots[key % kSlots];
    for (std::size_t i = 1; i < kSlotsPerKey; ++i) {
      Slot& slot = table_->slots[(key + i) % kSlots];
      if (slot.expires_at_ms < target->expires_at_ms) target = &slot;
    }
  }
  target->expires_at_ms = ToMs(std::max(due, now) + kKeepAfterDue);
  target->key = key;
}

void RequestIds::Remove(Key key) {
  if (Slot* const slot = Find(key)) slot->key = 0;
}

bool RequestIds::Contains(Key key) const {
  const Slot* const slot = Find(key);
  return slot && !IsExpired(slot->expires_at_ms, Steady::now());
}

}  // namespace load_balancer::proxy
