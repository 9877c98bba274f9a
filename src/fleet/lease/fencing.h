// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Fencing: every exclusive action carries a proof of a lease, and the protected resource checks the proof. A
/// process may stall between checking its lease and acting, so the resource checks again when the action
/// arrives. It checks the deadline if it shares a clock with the process, and it always checks that tokens
/// never decrease (Kleppmann: "How to do distributed locking", 2016).
#ifndef LOAD_BALANCER_FLEET_LEASE_FENCING_H_
#define LOAD_BALANCER_FLEET_LEASE_FENCING_H_

#include <map>
#include <memory>
#include <string>

#include "base/error/failure.h"
#include "base/time.h"
#include "fleet/lease/message.h"

namespace load_balancer::fleet {

/// The state of a lease that is shared by its holder and all proofs of the lease.
struct HeldLease {
  bool is_released = false;
  Time effects_until{};  ///< When the effects of the actions under this lease end.
};

/// Proves that the process held a lease when the proof was created. A proof is valid until its deadline,
/// which a renewal of the lease does not extend. Only Leases creates proofs.
class LeaseProof {
 public:
  LeaseProof(LeaseProof&&) = default;
  LeaseProof& operator=(LeaseProof&&) = default;

  /// Returns the name of the lease.
  const std::string& lease_name() const { return lease_name_; }
  /// Returns the fencing token of the lease.
  FencingToken token() const { return token_; }
  /// Returns the deadline on this process's monotonic clock.
  Time deadline() const { return deadline_; }
  /// Returns whether `now` is before the deadline and the lease has not been released.
  bool IsValid(Time now) const;
  /// Records that an action under this proof has effects until `until`, capped at the deadline. The lease is
  /// not released before that time, so that no other member acquires it while the effects last.
  void ExtendEffects(Time until) const;

 private:
  friend class Leases;
  LeaseProof(std::string lease_name, FencingToken token, Time deadline, std::shared_ptr<HeldLease> lease)
      : lease_name_(std::move(lease_name)), token_(token), deadline_(deadline), lease_(std::move(lease)) {}

  std::string lease_name_;
  FencingToken token_;
  Time deadline_;
  std::shared_ptr<HeldLease> lease_;  // null after a move
};

/// Checks the actions that reach a protected resource. Remembers the largest token of each lease.
class Fence {
 public:
  /// Checks an action of this process. Fails with kLeaseExpired if the proof is not valid at `now`, and
  /// with kStaleToken if a larger token was admitted before.
  Result<void> Admit(const LeaseProof& proof, Time now);
  /// Checks an action of another process. Fails with kStaleToken if a larger token was admitted before.
  Result<void> Admit(const std::string& lease_name, FencingToken token);

 private:
  std::map<std::string, FencingToken> largest_tokens_;  // by lease name
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_FENCING_H_
