// SPDX-License-Identifier: Apache-2.0
//
// The clients of one gateway: for each partner with traffic here a Poisson process of requests.
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

class Clients {
 public:
  struct Arrival {
    Moment at;
    PartnerId partner = 0;
  };

  // Requests of `partner` come at `per_s` (over 0) in [from, until), beside what comes already. A process is
  // a function of `seed`.
  void Add(PartnerId partner, double per_s, Moment from, Moment until, std::uint64_t seed) {
    Stream stream{from, until, partner, per_s,
                  std::minstd_rand(static_cast<std::uint32_t>(seed ^ seed >> 32))};
    stream.random.discard(3);
    Put(std::move(stream));
  }
  // Of the next request; Moment::max(): none is to come.
  Moment Next() const { return streams_.empty() ? Moment::max() : streams_.front().next; }
  // The next request, if it comes by `now`.
  std::optional<Arrival> Take(Moment now) {
    if (Next() > now) return std::nullopt;
    std::pop_heap(streams_.begin(), streams_.end(), std::greater<>());
    Stream stream = std::move(streams_.back());
    streams_.pop_back();
    const Arrival arrival{stream.next, stream.partner};
    Put(std::move(stream));
    return arrival;
  }
  // All processes go on at `other`.
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

  void Put(Stream stream) {
    const double gap = std::exponential_distribution<>(stream.per_s)(stream.random);
    stream.next += std::max(
        Moment(1), std::chrono::duration_cast<Moment>(std::chrono::duration<double>(std::min(gap, 1e6))));
    if (stream.next < stream.until) Push(std::move(stream));
  }
  void Push(Stream stream) {
    streams_.push_back(std::move(stream));
    std::push_heap(streams_.begin(), streams_.end(), std::greater<>());
  }

  std::vector<Stream> streams_;
};

}  // namespace load_balancer::model::scale

#endif  // LOAD_BALANCER_MODEL_QUOTA_SCALE_CLIENTS_H_
