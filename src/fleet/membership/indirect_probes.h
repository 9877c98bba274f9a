// SPDX-License-Identifier: Apache-2.0
//
// Pings on behalf of other members: SWIM's indirect probes, and Lifeguard's nack for what is overdue.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_INDIRECT_PROBES_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_INDIRECT_PROBES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "fleet/wire/message.h"

namespace load_balancer::fleet {

struct Errand {
  Udp::endpoint requester;
  std::uint64_t sequence = 0;  // the requester's
  Time nack_at{};
};

class Errands {
 public:
  bool full() const { return open_.size() >= kMost; }
  // `sequence` is this member's own.
  void Begin(std::uint64_t sequence, const Errand& errand) { open_[sequence] = errand; }
  // Ends it; nothing if there is none.
  std::optional<Errand> End(std::uint64_t sequence);
  // Ends those whose nack is due.
  std::vector<Errand> EndOverdue(Time now);
  void Clear() { open_.clear(); }
  // When the next nack is due; Time::max(): there is none.
  Time Next() const;

 private:
  static constexpr std::size_t kMost = 256;

  std::map<std::uint64_t, Errand> open_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_INDIRECT_PROBES_H_
