// SPDX-License-Identifier: Apache-2.0
//
// The clients of one gateway: a Poisson process of requests for each partner with traffic at the gateway.
#ifndef LOAD_BALANCER_MODEL_QUOTA_SCALE_CLIENTS_H_
#define LOAD_BALANCER_MODEL_QUOTA_SCALE_CLIENTS_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "model/program.h"

namespace load_balancer::model::scale {

using PartnerId = std::uint32_t;

// The requests that clients send to one gateway.
class Clients {
 public:
  struct Arrival {
    Moment at;
    PartnerId partner = 0;
  };

  // Adds requests of `partner` in [from, until) at the rate `per_s`, which must be over 0. Requests that were
  // added before are kept. `seed` determines the arrival times.
  void Add(PartnerId partner, double per_s, Moment from, Moment until, std::uint64_t seed) {
    Stream stream{from, until, partner, per_s,
                  std::minstd_rand(static_cast<std::uint32_t>(seed ^ seed >> 32))};
    stream.random.discard(3);
    PushNext(std::move(stream));
  }
  // Returns the time of the next request; Moment::max() if there is none.
  Moment Next() const { return streams_.empty() ? Moment::max() : streams_.front().next; }
  // Removes and returns the next request if it arrives no later than `now`.
  std::optional<Arrival> Take(Moment now) {
    if (Next() > now) return std::nullopt;
    std::pop_heap(streams_.begin(), streams_.end(), std::greater<>());
    Stream stream = std::move(streams_.back());
    streams_.pop_back();
    const Arrival arrival{stream.next, stream.partner};
    PushNext(std::move(stream));
    return arrival;
  }
  // Moves all streams of requests to the clients of another gateway.
  void MoveTo(Clients* other) {
    for (Stream& stream : streams_) other->Push(std::move(stream));
    streams_.clear();
  }

 private:
  struct Stream {
    Moment next, until;
    PartnerId partner = 0;
    double per_s = 0;
    std::minstd_rand random;
    bool operator>(const Stream& other) const { return next > other.next; }
  };

  // Draws the stream's next arrival and pushes the stream, unless it has ended.
  void PushNext(Stream stream) {
    const double gap = std::exponential_distribution<>(stream.per_s)(stream.random);
    stream.next += std::max(
        Moment(1), std::chrono::duration_cast<Moment>(std::chrono::duration<double>(std::min(gap, 1e6))));
    if (stream.next < stream.until) Push(std::move(stream));
  }
  void Push(Stream stream) {
    streams_.push_back(std::move(stream));
    std::push_heap(streams_.begin(), streams_.end(), std::greater<>());
  }

  std::vector<Stream> streams_;  // a heap with the earliest arrival in front
};

}  // namespace load_balancer::model::scale

#endif  // LOAD_BALANCER_MODEL_QUOTA_SCALE_CLIENTS_H_
