// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Fencing: the proof of a lease that every exclusive act takes, and the check that the protected resource
/// makes of it. A process may stall between checking its lease and acting, so the resource checks again when
/// the act arrives: the deadline where both share a clock, and everywhere that tokens never decrease
/// (Kleppmann: "How to do distributed locking", 2016).
#ifndef LOAD_BALANCER_FLEET_LEASE_FENCING_H_
#define LOAD_BALANCER_FLEET_LEASE_FENCING_H_

#include <map>
#include <memory>
#include <string>

#include "base/error/failure.h"
#include "base/time.h"
#include "fleet/lease/message.h"

namespace load_balancer::fleet {

/// A lease while it is held, shared by its holder and the proofs made of it.
struct HeldLease {
  bool is_released = false;
  Time effects_until{};  ///< Until when acts under this lease have effects.
};

/// Proof that the process held a lease when it made this, valid until a deadline. Renewing the lease does not
/// extend an existing proof. Only Leases makes proofs.
class LeaseProof {
 public:
  LeaseProof(LeaseProof&&) = default;
  LeaseProof& operator=(LeaseProof&&) = default;

  const std::string& lease_name() const { return lease_name_; }
  FencingToken token() const { return token_; }
  /// On this process's monotonic clock.
  Time deadline() const { return deadline_; }
  /// Whether `now` is before the deadline and the lease has not been released.
  bool IsValid(Time now) const;
  /// Records that an act under this proof has effects until `until`, capped at the deadline. Until then the
  /// lease is not released early, so that no other member has it while the effects last.
  void ExtendEffects(Time until) const;

 private:
  friend class Leases;
  LeaseProof(std::string lease_name, FencingToken token, Time deadline, std::shared_ptr<HeldLease> lease)
      : lease_name_(std::move(lease_name)), token_(token), deadline_(deadline), lease_(std::move(lease)) {}

  std::string lease_name_;
  FencingToken token_;
  Time deadline_;
  std::shared_ptr<HeldLease> lease_;  // null once moved from
};

/// The check at a protected resource: it remembers the largest token of each lease.
class Fence {
 public:
  /// Checks an act of this process. Fails with kLeaseExpired if the proof is not valid at `now`, and
  /// otherwise as the overload below.
  Result<void> Admit(const LeaseProof& proof, Time now);
  /// Checks an act of another process. Fails with kStaleToken if a larger token has been admitted before.
  Result<void> Admit(const std::string& lease_name, FencingToken token);

 private:
  std::map<std::string, FencingToken> largest_tokens_;  // by lease name
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_FENCING_H_
