// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Membership of a fleet: SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
/// Process Group Membership Protocol", 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey:
/// "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018). Owns no socket and no
/// clock: time and messages come in, messages and changes go out. docs/fleet.md states the bounds.
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
  using Callbacks = MembershipCallbacks;

  /// `callbacks` must outlive this.
  Membership(MembershipOptions options, Time now, Callbacks& callbacks);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  void Receive(Time now, const Message& message);
  /// Does what is due. To be called at Next() or soon after.
  void Tick(Time now);
  Time Next() const;

  /// Raises this member's incarnation above one that it had in an earlier life of the process.
  void RaiseIncarnation(Time now, std::uint64_t earlier_incarnation);
  /// Announces that this member leaves. It is silent from then on, until Rejoin.
  void Leave(Time now);
  void Rejoin(Time now);

  const Member& self() const { return view_.self(); }
  /// The other members, by name.
  const std::map<std::string, Member>& others() const { return view_.table().all(); }
  /// The number of members that are alive or suspect, this one included unless it has left.
  std::size_t present() const { return view_.CountPresent(); }
  /// Lifeguard's local health score; 0 is healthy.
  int health() const { return health_.score(); }
  const MembershipOptions& options() const { return options_; }
  /// Addresses of up to `max_count` other members that are present, at random.
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
