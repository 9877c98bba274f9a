// SPDX-License-Identifier: Apache-2.0
//
// The limit on the memory that peers can make this process hold.
#ifndef LOAD_BALANCER_PROXY_MEMORY_BUDGET_H_
#define LOAD_BALANCER_PROXY_MEMORY_BUDGET_H_

#include <cstddef>
#include <functional>
#include <utility>

namespace load_balancer::proxy {

// MemoryBudget decides whether the process may hold more memory. All memory of the heap counts, whatever it
// is used for, and so does that of the other process of a hot restart. What a request may still need once it
// has been admitted is set aside in advance, so that it can be completed.
class MemoryBudget {
 public:
  // In bytes, unless stated otherwise.
  struct Limits {
    std::size_t total = 0;     // heap of all processes together
    std::size_t buffered = 0;  // completely buffered bodies of this process, part of the total
    std::size_t piece = 0;     // a piece of a streamed body
    std::size_t list = 0;      // an endpoint list of discovery, as text
    std::size_t servers = 0;   // number of servers that may be listed
  };
  using Gauge = std::function<std::size_t()>;  // returns bytes

  // An attempt that has been admitted, apart from pieces of its response: a small response head, parsed. A
  // larger one needs room when it comes.
  static constexpr std::size_t kAttemptBytes = 12 * 1024;
  // A response that is being streamed, apart from its pieces.
  static constexpr std::size_t kStreamBytes = 8 * 1024;
  // A request with a small head and no body.
  static constexpr std::size_t kRequestBytes = 8 * 1024;
  // A connection on which nothing is in progress.
  static constexpr std::size_t kConnectionBytes = 8 * 1024;
  // Attempts that are admitted without room for them, so that the process is not locked out by other memory.
  static constexpr std::size_t kMinAttempts = 8;

  // `heap_in_use` returns the bytes that this process uses, `used_by_others` those of the other processes.
  MemoryBudget(Limits limits, Gauge heap_in_use, Gauge used_by_others)
      : limits_(limits), heap_in_use_(std::move(heap_in_use)), used_by_others_(std::move(used_by_others)) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  const Limits& limits() const { return limits_; }
  std::size_t piece_bytes() const { return limits_.piece; }
  // Returns the bytes of buffered bodies that are reserved.
  std::size_t buffered() const { return buffered_; }
  // Returns the bytes that this process uses or has set aside.
  std::size_t in_use() const { return heap_in_use_() + set_aside_; }

  // Returns whether `bytes` more may be held.
  bool HasRoom(std::size_t bytes) const { return in_use() + used_by_others_() + bytes <= limits_.total; }
  // Returns whether another request may be admitted.
  bool HasRoomForRequest() const { return IsBelowMinimum() || HasRoom(kRequestBytes); }

  // Reservation is a part of the budget. The destructor releases it.
  class Reservation {
   public:
    Reservation() = default;
    // An empty reservation for a completely buffered body.
    explicit Reservation(MemoryBudget& owner) : Reservation(owner, &MemoryBudget::buffered_) {}
    ~Reservation() { Release(); }
    Reservation(Reservation&& other) noexcept
        : owner_(std::exchange(other.owner_, nullptr)),
          pool_(other.pool_),
          size_(std::exchange(other.size_, 0)) {}
    Reservation& operator=(Reservation&& other) noexcept {
      if (this != &other) {
        Release();
        owner_ = std::exchange(other.owner_, nullptr);
        pool_ = other.pool_;
        size_ = std::exchange(other.size_, 0);
      }
      return *this;
    }
    explicit operator bool() const { return owner_ != nullptr; }

    // Reserves `bytes` more for a buffered body. Returns false and changes nothing if that would exceed a
    // limit.
    bool Grow(std::size_t bytes) {
      if (!owner_ || owner_->buffered_ + bytes > owner_->limits_.buffered || !owner_->HasRoom(bytes))
        return false;
      Add(bytes);
      return true;
    }
    // Releases what exceeds `bytes`.
    void ShrinkTo(std::size_t bytes) {
      if (!owner_ || bytes >= size_) return;
      owner_->*pool_ -= size_ - bytes;
      size_ = bytes;
    }
    // Releases all bytes. Grow always fails afterwards.
    void Release() {
      if (owner_) owner_->*pool_ -= std::exchange(size_, 0);
      owner_ = nullptr;
    }

   private:
    friend class MemoryBudget;
    using Pool = std::size_t MemoryBudget::*;
    Reservation(MemoryBudget& owner, Pool pool) : owner_(&owner), pool_(pool) {}

    void Add(std::size_t bytes) {
      owner_->*pool_ += bytes;
      size_ += bytes;
    }

    MemoryBudget* owner_ = nullptr;
    Pool pool_ = nullptr;
    std::size_t size_ = 0;
  };

  // Sets memory aside for an attempt. The result is empty if there is no room.
  Reservation ReserveAttempt() {
    if (!IsBelowMinimum() && !HasRoom(AttemptBytes())) return {};
    Reservation reservation(*this, &MemoryBudget::set_aside_);
    reservation.Add(AttemptBytes());
    return reservation;
  }
  // Returns what a response needs while it is being streamed.
  std::size_t StreamBytes() const { return kStreamBytes + 2 * limits_.piece; }

 private:
  bool IsBelowMinimum() const { return set_aside_ < kMinAttempts * AttemptBytes(); }
  std::size_t AttemptBytes() const { return kAttemptBytes + 2 * limits_.piece; }

  const Limits limits_;
  const Gauge heap_in_use_, used_by_others_;
  std::size_t buffered_ = 0;   // of completely buffered bodies
  std::size_t set_aside_ = 0;  // for attempts in progress
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_MEMORY_BUDGET_H_
