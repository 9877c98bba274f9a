// SPDX-License-Identifier: Apache-2.0
//
// Bodies that are passed on piece by piece, and the memory that holds bodies.
#ifndef LOAD_BALANCER_PROXY_BODY_H_
#define LOAD_BALANCER_PROXY_BODY_H_

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include "clock.h"

namespace load_balancer::proxy {

// A message is held whole up to this; only what is held whole can be sent again.
inline constexpr std::size_t kMostWhole = 64 * 1024;

struct Piece {
  std::string bytes;
  bool last = false;         // the body ends with it
  bool failed = false;       // the body breaks off: nothing else comes
  Steady::time_point due{};  // of a request's last piece: when its answer is due

  static Piece Broken() {
    Piece piece;
    piece.failed = true;
    return piece;
  }
};

// The rest of a body. It is read only as pieces are asked for, which is how the sender is held back.
class BodySource {
 public:
  using OnPiece = std::function<void(Piece)>;
  virtual ~BodySource() = default;
  // One at a time; may call back at once.
  virtual void Next(OnPiece on_piece) = 0;
  // Nobody asks any more.
  virtual void Abandon() = 0;
  // A piece has been given: from then on the body cannot be had again.
  virtual bool Spent() const = 0;
};

// Bounds what is held whole, over all messages; pieces are bounded by the number of connections.
class Buffers {
 public:
  // `others` tells what other processes hold of the same memory.
  Buffers(std::size_t most, std::size_t piece, std::function<std::size_t()> others)
      : most_(most), piece_(piece), others_(std::move(others)) {}
  Buffers(const Buffers&) = delete;
  Buffers& operator=(const Buffers&) = delete;

  std::size_t piece() const { return piece_; }  // bytes, at most
  std::size_t held() const { return held_; }

  // A message's part.
  class Hold {
   public:
    Hold() = default;
    explicit Hold(Buffers& owner) : owner_(&owner) {}
    ~Hold() { Release(); }
    Hold(Hold&& other) noexcept
        : owner_(std::exchange(other.owner_, nullptr)), size_(std::exchange(other.size_, 0)) {}
    Hold& operator=(Hold&& other) noexcept {
      if (this != &other) {
        Release();
        owner_ = std::exchange(other.owner_, nullptr);
        size_ = std::exchange(other.size_, 0);
      }
      return *this;
    }
    // False, and nothing has changed, where there is no room.
    bool Grow(std::size_t n) {
      if (!owner_ || owner_->held_ + n + owner_->others_() > owner_->most_) return false;
      owner_->held_ += n;
      size_ += n;
      return true;
    }
    // For good.
    void Release() {
      if (owner_) owner_->held_ -= std::exchange(size_, 0);
      owner_ = nullptr;
    }

   private:
    Buffers* owner_ = nullptr;
    std::size_t size_ = 0;
  };

 private:
  std::size_t most_, piece_;
  std::function<std::size_t()> others_;
  std::size_t held_ = 0;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_BODY_H_
