// SPDX-License-Identifier: Apache-2.0
/// @file
/// The queue of requests that wait for capacity.
#ifndef LOAD_BALANCER_SRC_POLICY_ADMISSION_QUEUE_H_
#define LOAD_BALANCER_SRC_POLICY_ADMISSION_QUEUE_H_

#include <cstddef>
#include <optional>
#include <set>

#include "policy/request.h"

namespace load_balancer {

/// Orders queued requests by value, then by arrival: the most valuable first, of these the latest. Also knows
/// when each of them has waited long enough. Maintains Request::is_queued.
class AdmissionQueue {
 public:
  /// A request's place in the queue.
  struct Position {
    double value = 0;
    TimePoint arrived{};
    RequestId request = 0;

    bool operator<(const Position& other) const;
  };

  void Add(Request& request);

  /// Does nothing if the request is not queued. Its expiry stays.
  void Remove(Request& request);

  [[nodiscard]] std::optional<Position> First() const;
  [[nodiscard]] std::optional<Position> After(const Position& position) const;

  /// Takes out the next expiry that has passed. Its request may be gone, or no longer queued.
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
