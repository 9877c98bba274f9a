// SPDX-License-Identifier: Apache-2.0
/// @file
/// A queue of the requests that wait for capacity.
#ifndef LOAD_BALANCER_SRC_POLICY_ADMISSION_QUEUE_H_
#define LOAD_BALANCER_SRC_POLICY_ADMISSION_QUEUE_H_

#include <cstddef>
#include <optional>
#include <set>

#include "policy/request.h"

namespace load_balancer {

/// Orders queued requests by value, highest first, then by arrival, latest first. Also records the time at
/// which each request expires. Maintains Request::is_queued.
class AdmissionQueue {
 public:
  /// Position is the key by which a request is ordered in the queue.
  struct Position {
    double value = 0;
    TimePoint arrived{};
    RequestId request = 0;

    bool operator<(const Position& other) const;
  };

  void Add(Request& request);

  /// Removes the request from the queue. Its expiry stays recorded, so TakeExpired may still return it. Does
  /// nothing if the request is not queued.
  void Remove(Request& request);

  [[nodiscard]] std::optional<Position> First() const;
  [[nodiscard]] std::optional<Position> After(const Position& position) const;

  /// Removes the earliest expiry, if it has passed, and returns its request. The request may be finished or
  /// no longer queued.
  std::optional<RequestId> TakeExpired(TimePoint now);
  [[nodiscard]] TimePoint next_expiry() const;

  [[nodiscard]] bool empty() const { return positions_.empty(); }
  [[nodiscard]] std::size_t size() const { return positions_.size(); }

 private:
  struct Expiry {
    TimePoint at{};
    RequestId request = 0;

    bool operator<(const Expiry& other) const;
  };

  static Position PositionOf(const Request& request) { return {request.value, request.arrived, request.id}; }

  std::set<Position> positions_;
  std::set<Expiry> expiries_;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_ADMISSION_QUEUE_H_
