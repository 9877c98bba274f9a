// SPDX-License-Identifier: Apache-2.0
//
// Bodies that are streamed in pieces.
#ifndef LOAD_BALANCER_PROXY_BODY_H_
#define LOAD_BALANCER_PROXY_BODY_H_

#include <cstddef>
#include <functional>
#include <string>

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

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_BODY_H_
