// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The failure detector of SWIM: in each interval this member pings one other member, first directly and then
/// through other members. It also answers pings and makes indirect probes on request of other members.
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

/// The probe of the current interval and the indirect probes for other members.
class Probes {
 public:
  /// All arguments except `now` must outlive this object.
  Probes(const MembershipOptions& options, Time now, MembershipView& view, MessageSender& sender,
         LocalHealth& health, std::mt19937_64& random)
      : options_(options),
        view_(view),
        sender_(sender),
        health_(health),
        random_(random),
        next_interval_(now) {}

  /// Requests indirect probes if the target has not answered in time, and sends the nacks that are due.
  void Continue(Time now);
  /// Returns whether the interval is over. The caller must then call End and Begin.
  bool is_interval_over(Time now) const { return now >= next_interval_; }
  /// Ends the probe of the interval. Suspects the target if it has not answered.
  void End(Time now);
  /// Begins an interval with a ping of the next target.
  void Begin(Time now);
  /// Returns when Continue, or End and Begin, must be called next.
  Time Next() const;

  /// Answers a ping that is meant for this member.
  void OnPing(const Message& message);
  /// Pings the target of the request on behalf of the requester.
  void OnPingRequest(Time now, const Message& message);
  /// Completes the probe that the ack answers.
  void OnAck(const Message& message);
  /// Records that the sender of the nack works, although the probed target has not answered the sender.
  void OnNack(const Message& message);

  /// Abandons all probes.
  void Clear();
  /// Ends the current interval, so that a new one can begin at `now`.
  void Restart(Time now) { next_interval_ = now; }

 private:
  struct Probe {
    std::string target;
    std::uint64_t sequence = 0;
    Time indirect_at{};
    Time ends_at{};
    bool is_acked = false;
    bool is_indirect = false;                // whether indirect probes were requested
    bool had_helpers = false;                // whether any member was available for indirect probes
    std::set<std::string> silent_helpers{};  // members that were asked to ping and have sent no nack
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
  std::vector<std::string> round_;  // remaining targets of this round; the next one is at the back
  std::optional<Probe> probe_;
  std::uint64_t last_sequence_ = 0;
  Time next_interval_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_PROBES_H_
