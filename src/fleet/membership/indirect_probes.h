// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Probes that this member makes on request of other members (SWIM's ping-req). If the target does not
/// answer, this member sends a nack (Lifeguard), which shows the requester that at least this member is
/// reachable.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_INDIRECT_PROBES_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_INDIRECT_PROBES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "fleet/wire/message.h"

namespace load_balancer::fleet {

/// One probe on request of another member.
struct IndirectProbe {
  Udp::endpoint requester;
  std::uint64_t requester_sequence = 0;  ///< Number of the requester's probe; the answer repeats it.
  Time nack_at{};
};

/// The indirect probes whose target has not answered yet.
class IndirectProbes {
 public:
  /// Returns whether the maximum number of probes is in progress.
  bool is_full() const { return by_sequence_.size() >= kMaxProbes; }
  /// Adds a probe whose ping by this member has the number `sequence`.
  void Begin(std::uint64_t sequence, const IndirectProbe& probe) { by_sequence_[sequence] = probe; }
  /// Removes and returns the probe whose ping has the number `sequence`; returns nothing if there is none.
  std::optional<IndirectProbe> Finish(std::uint64_t sequence);
  /// Removes and returns all probes whose nack is due.
  std::vector<IndirectProbe> FinishOverdue(Time now);
  void Clear() { by_sequence_.clear(); }
  /// Returns when the next nack is due; Time::max() if there is no probe.
  Time NextNack() const;

 private:
  static constexpr std::size_t kMaxProbes = 256;

  std::map<std::uint64_t, IndirectProbe> by_sequence_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_INDIRECT_PROBES_H_
