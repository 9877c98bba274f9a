// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// SWIM's failure detector: in each interval one member is pinged, directly and then through other members.
/// Answers the pings of others and makes the indirect ones that they request.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_PROBES_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_PROBES_H_

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/membership/indirect_probes.h"
#include "fleet/membership/message_sender.h"

namespace load_balancer::fleet {

class Probes {
 public:
  /// All arguments but `now` must outlive this.
  Probes(const MembershipOptions& options, Time now, MembershipView& view, MessageSender& sender,
         LocalHealth& health, std::mt19937_64& random)
      : options_(options),
        view_(view),
        sender_(sender),
        health_(health),
        random_(random),
        next_interval_(now) {}

  /// Requests indirect probes of a target that has not answered, and sends the nacks that are due.
  void Continue(Time now);
  /// Whether an interval is over. Then End and Begin are to be called.
  bool is_interval_over(Time now) const { return now >= next_interval_; }
  /// Ends the probe of the interval, and suspects its target if it has not answered.
  void End(Time now);
  /// Begins an interval with a ping of the next target.
  void Begin(Time now);
  /// When something is due next.
  Time Next() const;

  void OnPing(const Message& message);
  void OnPingRequest(Time now, const Message& message);
  void OnAck(const Message& message);
  void OnNack(const Message& message);

  /// Abandons all probes. Restart begins an interval.
  void Clear();
  void Restart(Time now) { next_interval_ = now; }

 private:
  struct Probe {
    std::string target;
    std::uint64_t sequence = 0;
    Time indirect_at{};
    Time ends_at{};
    bool is_acked = false;
    bool is_indirect = false;  // helpers were looked for
    bool had_helpers = false;
    std::set<std::string> silent_helpers{};  // that were asked to ping and have sent no nack
  };

  void RequestIndirectProbes();
  int HealthPenalty(const Probe& failed) const;
  void PingSuspects();
  std::optional<std::string> NextTarget();
  void RefillRound();

  const MembershipOptions& options_;
  MembershipView& view_;
  MessageSender& sender_;
  LocalHealth& health_;
  std::mt19937_64& random_;
  IndirectProbes indirect_probes_;
  std::vector<std::string> round_;  // targets left in this round, taken from the back
  std::optional<Probe> probe_;
  std::uint64_t last_sequence_ = 0;
  Time next_interval_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_PROBES_H_
