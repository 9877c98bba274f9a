// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Membership of a fleet. Implements SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
/// Infection-style Process Group Membership Protocol", 2002) with the refinements of Lifeguard (Dadgar,
/// Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018). The code
/// owns no socket and no clock. The caller passes in the time and received messages. Messages to send and
/// changes of members are reported through callbacks. docs/fleet.md states the time bounds.
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

/// Detects which members of the fleet are alive, and takes part in the protocol as one of them.
class Membership {
 public:
  using Callbacks = MembershipCallbacks;

  /// Starts as the only known member. `callbacks` must outlive this object.
  Membership(MembershipOptions options, Time now, Callbacks& callbacks);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Handles a message from another member.
  void Receive(Time now, const Message& message);
  /// Processes due timers. Must be called at Next() or soon after.
  void Tick(Time now);
  /// Returns when Tick must be called next; Time::max() while this member is silent.
  Time Next() const;

  /// Raises this member's incarnation above `earlier_incarnation`, which it had before the process restarted.
  void RaiseIncarnation(Time now, std::uint64_t earlier_incarnation);
  /// Announces that this member leaves. It sends no messages until Rejoin.
  void Leave(Time now);
  /// Joins the fleet again after Leave, with a new incarnation.
  void Rejoin(Time now);

  /// Returns the state of this member.
  const Member& self() const { return view_.self(); }
  /// Returns the other members by name.
  const std::map<std::string, Member>& others() const { return view_.table().all(); }
  /// Returns the number of members that are alive or suspect. This member counts unless it has left.
  std::size_t CountPresent() const { return view_.CountPresent(); }
  /// Returns Lifeguard's local health score; 0 is healthy.
  int health() const { return health_.score(); }
  const MembershipOptions& options() const { return options_; }
  /// Returns the addresses of up to `max_count` other present members, chosen at random.
  std::vector<Udp::endpoint> Sample(std::size_t max_count);

 private:
  void HandleStall(Time now);
  void Dispatch(Time now, const Message& message);
  void OnSync(const Message& message);
  void Sync(Time now);
  void SyncWithSample(MemberTable::SampleFrom from);
  void SyncWithUnknownSeed();
  void Join();

  const MembershipOptions options_;
  Callbacks& callbacks_;
  std::mt19937_64 random_;
  LocalHealth health_;
  MembershipView view_;
  MessageSender sender_;
  Probes probes_;
  Time next_sync_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_MEMBERSHIP_H_
