// SPDX-License-Identifier: Apache-2.0
//
// The part of Leases that releases tokens, so that the next holder does not wait until the votes expire.
#include <algorithm>
#include <utility>

#include "fleet/lease/leases.h"
#include "fleet/lease/timing.h"

namespace load_balancer::fleet {
namespace {

using Type = LeaseMessage::Type;

constexpr int kReleaseTransmissions = 4;  // repeated because voters do not acknowledge releases

}  // namespace

void Leases::Release(Time now) {
  is_released_ = true;
  for (auto& [name, lease] : leases_) {
    const bool was_holder = lease.status == LeaseStatus::kHolder;
    ReleaseLease(now, lease);
    if (was_holder)
      SetStatus(now, lease, LeaseStatus::kWaiting, now + HolderLossTimeout(terms_.term), "released");
  }
}

void Leases::Resume(Time now) {
  is_released_ = false;
  for (auto& [name, lease] : leases_) lease.next_attempt = now + RandomSpan(RenewalInterval(terms_.term));
}

// Invalidates the proofs and discards the grants of the token, and only then informs the voters. While
// actions under the token have effects, sends no release, so that the votes end only when they expire.
void Leases::ReleaseLease(Time now, LeaseState& lease) {
  if (lease.held_lease) {
    lease.held_lease->is_released = true;
    lease.effects_until = std::max(lease.effects_until, lease.held_lease->effects_until);
    lease.held_lease.reset();
  }
  const FencingToken token = std::exchange(lease.acquisition, LeaseAcquisition()).token();
  if (token == 0 || now < lease.effects_until) return;
  lease.pending_release.token = token;
  lease.pending_release.remaining_transmissions = kReleaseTransmissions;
  TransmitRelease(now, lease);
}

void Leases::TransmitRelease(Time now, LeaseState& lease) {
  PendingRelease& release = lease.pending_release;
  --release.remaining_transmissions;
  release.next_transmission = now + RetransmitInterval(terms_.term);
  DeliverToVoters(now, MakeMessage(Type::kRelease, lease.name, release.token));
}

// Releases a token again at a voter whose grant arrived after this member had released the token.
void Leases::ReleaseLateGrant(Time now, const Endpoint& voter, const LeaseMessage& grant,
                              const LeaseState& lease) {
  if (grant.token != 0 && now >= lease.effects_until)
    Deliver(now, voter, MakeMessage(Type::kRelease, lease.name, grant.token));
}

}  // namespace load_balancer::fleet
