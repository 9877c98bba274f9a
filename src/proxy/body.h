// SPDX-License-Identifier: Apache-2.0
//
// Bodies that are streamed in pieces, and the accounting of memory for buffered bodies.
#ifndef LOAD_BALANCER_PROXY_BODY_H_
#define LOAD_BALANCER_PROXY_BODY_H_

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include "clock.h"

namespace load_balancer::proxy {

// Bodies up to this size are buffered completely; larger ones are streamed. Only a completely buffered
// request can be sent again.
inline constexpr std::size_t kMaxBufferedMessageBytes = 64 * 1024;

// Piece is a part of a streamed body.
struct Piece {
  std::string bytes;
  bool last = false;         // the body ends with this piece
  bool failed = false;       // the body cannot be completed; no more pieces follow
  Steady::time_point due{};  // in a request: when the response is due if the client has sent the whole body

  // Returns a piece with `failed` set.
  static Piece Broken() {
    Piece piece;
    piece.failed = true;
    return piece;
  }
};

// BodySource provides a body, or the rest of one, in pieces. It reads from the sender only when a piece is
// requested, so that a slow receiver slows down the sender.
class BodySource {
 public:
  using OnPiece = std::function<void(Piece)>;
  virtual ~BodySource() = default;
  // Requests the next piece. Only one call may be outstanding. `on_piece` may be called within this call.
  virtual void Next(OnPiece on_piece) = 0;
  // Tells the source that no more pieces will be requested.
  virtual void Abandon() = 0;
  // Returns whether a piece has been requested. The body cannot be read again from its start after that.
  virtual bool HasStarted() const = 0;
};

// Buffers limits the memory of completely buffered bodies over all messages. The memory of streamed pieces is
// limited by the number of connections instead.
class Buffers {
 public:
  // `max_bytes` limits all reservations together. `used_by_others` returns the bytes that other processes
  // have reserved from the same limit. `piece_bytes` is the maximum size of a streamed piece.
  Buffers(std::size_t max_bytes, std::size_t piece_bytes, std::function<std::size_t()> used_by_others)
      : max_bytes_(max_bytes), piece_bytes_(piece_bytes), used_by_others_(std::move(used_by_others)) {}
  Buffers(const Buffers&) = delete;
  Buffers& operator=(const Buffers&) = delete;

  std::size_t piece_bytes() const { return piece_bytes_; }  // maximum size of a piece
  std::size_t reserved() const { return reserved_; }

  // Reservation is the memory that one message has reserved. The destructor releases it.
  class Reservation {
   public:
    Reservation() = default;
    explicit Reservation(Buffers& owner) : owner_(&owner) {}
    ~Reservation() { Release(); }
    Reservation(Reservation&& other) noexcept
        : owner_(std::exchange(other.owner_, nullptr)), size_(std::exchange(other.size_, 0)) {}
    Reservation& operator=(Reservation&& other) noexcept {
      if (this != &other) {
        Release();
        owner_ = std::exchange(other.owner_, nullptr);
        size_ = std::exchange(other.size_, 0);
      }
      return *this;
    }
    // Reserves `n` more bytes. Returns false and changes nothing if that would exceed the limit.
    bool Grow(std::size_t n) {
      if (!owner_ || owner_->reserved_ + n + owner_->used_by_others_() > owner_->max_bytes_) return false;
      owner_->reserved_ += n;
      size_ += n;
      return true;
    }
    // Releases all bytes. Grow always fails afterwards.
    void Release() {
      if (owner_) owner_->reserved_ -= std::exchange(size_, 0);
      owner_ = nullptr;
    }

   private:
    Buffers* owner_ = nullptr;
    std::size_t size_ = 0;
  };

 private:
  std::size_t max_bytes_, piece_bytes_;
  std::function<std::size_t()> used_by_others_;
  std::size_t reserved_ = 0;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_BODY_H_
