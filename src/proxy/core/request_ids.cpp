// SPDX-License-Identifier: Apache-2.0
#include "core/request_ids.h"

#include <fcntl.h>
#include <sys/mman.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <new>
#include <utility>

#include "base/descriptor.h"
#include "base/log.h"
#include "members.h"

namespace load_balancer::proxy {
namespace {

// A slot is one word, which the processes replace at once: 0 if it is free, otherwise the tag of a key in the
// high bits and, in the low kTimeBits, when it expires in ticks of the monotonic clock, modulo their range.
using Word = std::uint64_t;
using Tick = std::chrono::duration<std::int64_t, std::ratio<1, 4>>;

constexpr std::size_t kSlots = 8192;
constexpr std::size_t kSlotsPerKey = 16;  // slots that may hold a key, from its hash on
constexpr int kMaxClaimAttempts = 16;     // each fails only if another process changes the same slot
constexpr int kTimeBits = 24;
constexpr Word kTimeMask = (Word{1} << kTimeBits) - 1;
constexpr std::chrono::seconds kKeepAfterDue{60};  // how long the id of a client that has left is kept
constexpr std::chrono::seconds kKeepAnswered{20};  // a client that stops reading is closed before
constexpr Tick kLongestLife =
    std::chrono::hours(2);  // an id that expires later is left over from another boot
constexpr mode_t kFileMode = 0600;

Word TagOf(RequestIds::Key key) { return std::max<Word>(key >> kTimeBits, 1) << kTimeBits; }

Word WordOf(RequestIds::Key key, Steady::time_point expires_at) {
  const auto ticks = std::chrono::ceil<Tick>(expires_at.time_since_epoch()).count();
  return TagOf(key) | (static_cast<Word>(ticks) & kTimeMask);
}

// Returns how many ticks a word still counts; 0 if it is free or has expired.
Word LifeOf(Word word, Steady::time_point now) {
  if (word == 0) return 0;
  const auto ticks = static_cast<Word>(std::chrono::floor<Tick>(now.time_since_epoch()).count());
  const Word life = (word - ticks) & kTimeMask;
  return life <= static_cast<Word>(kLongestLife.count()) ? life : 0;
}

}  // namespace

class RequestIds::Slot {
 public:
  Word Get() const { return word_; }
  void Set(Word word) { word_ = word; }
  // Replaces `expected`. Returns false if another process has changed the slot since.
  bool Replace(Word expected, Word word) { return word_.compare_exchange_strong(expected, word); }
  bool Holds(Key key, Steady::time_point now) const {
    const Word word = word_;
    return (word & ~kTimeMask) == TagOf(key) && LifeOf(word, now) > 0;
  }

 private:
  std::atomic<Word> word_;
  static_assert(std::atomic<Word>::is_always_lock_free, "processes share the slots");
};

// The layout is an interface between the processes of a hot restart. A new file is all zero: no ids.
struct RequestIds::Table {
  Slot slots[kSlots];

  Slot& At(Key key, std::size_t i) { return slots[(key + i) % kSlots]; }
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
  const auto now = Steady::now();
  for (std::size_t i = 0; i < kSlotsPerKey; ++i)
    if (table_->At(key, i).Holds(key, now)) return &table_->At(key, i);
  return nullptr;
}

int RequestIds::CountSlotsOf(Key key) const {
  const auto now = Steady::now();
  int count = 0;
  for (std::size_t i = 0; i < kSlotsPerKey; ++i) count += table_->At(key, i).Holds(key, now) ? 1 : 0;
  return count;
}

// Returns the slot whose id expires first, or one without an id, and what it held.
std::pair<RequestIds::Slot*, std::uint64_t> RequestIds::SlotToReplace(Key key) const {
  const auto now = Steady::now();
  std::pair<Slot*, Word> found{&table_->At(key, 0), table_->At(key, 0).Get()};
  for (std::size_t i = 1; i < kSlotsPerKey; ++i) {
    Slot& slot = table_->At(key, i);
    const Word word = slot.Get();
    if (LifeOf(word, now) < LifeOf(found.second, now)) found = {&slot, word};
  }
  return found;
}

bool RequestIds::Claim(Key key, Steady::time_point due) {
  const Word word = WordOf(key, std::max(due, Steady::now()) + kKeepAfterDue);
  for (int attempt = 0; attempt < kMaxClaimAttempts; ++attempt) {
    if (Find(key)) return false;
    const auto [slot, seen] = SlotToReplace(key);
    if (!slot->Replace(seen, word)) continue;
    if (CountSlotsOf(key) == 1) return true;
    slot->Set(0);  // another process claims the id just now
    return false;
  }
  return false;
}

void RequestIds::Release(Key key) {
  if (Slot* const slot = Find(key)) slot->Set(0);
}

void RequestIds::OnAnswered(Key key, Steady::time_point due) {
  ExpireAt(key, std::max(due, Steady::now()) + kKeepAnswered);
}

void RequestIds::OnUnread(Key key) { ExpireAt(key, Steady::now() + kKeepAfterDue); }

void RequestIds::ExpireAt(Key key, Steady::time_point expires_at) {
  if (Slot* const slot = Find(key)) slot->Set(WordOf(key, expires_at));
}

}  // namespace load_balancer::proxy
