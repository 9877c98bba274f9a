// SPDX-License-Identifier: Apache-2.0
//
// SWIM's probes: each interval one member, directly and then by way of others; and the pings that others ask
// this member for.
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
  // All of these outlive this.
  Probes(const MembershipOptions& options, Time now, Claims& claims, Mailer& mailer, Health& health,
         std::mt19937_64& random)
      : options_(options), claims_(claims), mailer_(mailer), health_(health), random_(random), next_(now) {}

  // Others' ways to a target that has not answered, and the nacks that are due.
  void Continue(Time now);
  // Whether an interval is over: then End and Begin are to be called.
  bool due(Time now) const { return now >= next_; }
  void End(Time now);
  void Begin(Time now);
  // When something is due next.
  Time Next() const;

  void OnPing(const Message& message);
  void OnPingReq(Time now, const Message& message);
  void OnAck(const Message& message);
  void OnNack(const Message& message);

  // Gives up what is under way; Restart begins an interval.
  void Clear();
  void Restart(Time now) { next_ = now; }

 private:
  struct Probe {
    std::string target;
    std::uint64_t sequence = 0;
    Time indirect_at{}, ends_at{};
    bool acked = false, asked_others = false, had_helpers = false;
    std::set<std::string> helpers{};  // that were asked and have not answered
  };

  void AskOthers();
  int SilentHelpers(const Probe& probe) const;
  void PingSuspects();
  std::optional<std::string> NextTarget();

  const MembershipOptions& options_;
  Claims& claims_;
  Mailer& mailer_;
  Health& health_;
  std::mt19937_64& random_;
  Errands errands_;
  std::vector<std::string> round_;  // whom to probe yet, from the back
  std::optional<Probe> probe_;
  std::uint64_t last_sequence_ = 0;
  Time next_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_PROBES_H_
