// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Probes that this member makes at the request of others: SWIM's ping-req, and Lifeguard's nack, which tells
/// a requester that the target did not answer but this member did.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_INDIRECT_PROBES_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_INDIRECT_PROBES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "fleet/wire/message.h"

namespace load_balancer::fleet {

struct IndirectProbe {
  Udp::endpoint requester;
  std::uint64_t requester_sequence = 0;  ///< The number of the requester's probe, which the answer repeats.
  Time nack_at{};
};

class IndirectProbes {
 public:
  bool is_full() const { return by_sequence_.size() >= kMaxProbes; }
  /// `sequence` numbers this member's own ping.
  void Begin(std::uint64_t sequence, const IndirectProbe& probe) { by_sequence_[sequence] = probe; }
  /// Removes and returns the probe with that ping; nothing if there is none.
  std::optional<IndirectProbe> Finish(std::uint64_t sequence);
  /// Removes and returns the probes whose nack is due.
  std::vector<IndirectProbe> FinishOverdue(Time now);
  void Clear() { by_sequence_.clear(); }
  /// When the next nack is due; Time::max() if none will be.
  Time NextNack() const;

 private:
  static constexpr std::size_t kMaxProbes = 256;

  std::map<std::uint64_t, IndirectProbe> by_sequence_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_INDIRECT_PROBES_H_
