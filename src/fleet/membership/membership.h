// SPDX-License-Identifier: Apache-2.0
//
// Who is present: SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey, 2018). Owns no
// socket and no clock: time and messages come in, messages and changes go out. Bounds are in docs/fleet.md.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_MEMBERSHIP_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fleet/membership/callbacks.h"
#include "fleet/membership/message_sender.h"
#include "fleet/membership/options.h"
#include "fleet/membership/probes.h"
#include "fleet/membership/view.h"

namespace load_balancer::fleet {

class Membership {
 public:
  using Outlet = MembershipOutlet;

  Membership(MembershipOptions options, Time now, Outlet& outlet);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  void Receive(Time now, const Message& message);
  // What is due by now. To be called at Next() or soon after.
  void Tick(Time now);
  Time Next() const;

  // Raises this member's incarnation to at least this.
  void Outlive(Time now, std::uint64_t incarnation);
  // Announces that this member goes; it is silent from then on, but for Rejoin.
  void Leave(Time now);
  void Rejoin(Time now);

  const Member& self() const { return claims_.self(); }
  // By name, this member not among them.
  const std::map<std::string, Member>& others() const { return claims_.table().all(); }
  // Alive or suspect, this member included unless it has left.
  std::size_t present() const { return claims_.present(); }
  int health() const { return health_.score(); }
  const MembershipOptions& options() const { return options_; }
  // Up to `most` other members that are present, at random.
  std::vector<Udp::endpoint> Sample(std::size_t most);

 private:
  void AbsorbStall(Time now);
  void Dispatch(Time now, const Message& message);
  void OnSync(const Message& message);
  void Sync(Time now);
  void Join();

  const MembershipOptions options_;
  Outlet& outlet_;
  std::mt19937_64 random_;
  Health health_;
  Claims claims_;
  Mailer mailer_;
  Probes probes_;
  Time next_sync_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_MEMBERSHIP_H_
