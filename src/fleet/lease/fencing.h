// SPDX-License-Identifier: Apache-2.0
//
// The right to act for a duty, and what a resource checks of it when the act comes (Kleppmann: "How to do
// distributed locking", 2016). An exclusive act takes a `const LeaseGuard&`.
#ifndef LOAD_BALANCER_FLEET_LEASE_FENCING_H_
#define LOAD_BALANCER_FLEET_LEASE_FENCING_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/error/failure.h"
#include "base/time.h"
#include "fleet/lease/message.h"

namespace load_balancer::fleet {

// kExclusive: never done without the lease. kAvailable: each does it itself while no quorum answers.
enum class DutyKind { kExclusive, kAvailable };

inline std::string_view Name(DutyKind kind) {
  return kind == DutyKind::kExclusive ? "exclusive" : "available";
}

struct DutySpec {
  std::string name;
  DutyKind kind = DutyKind::kExclusive;
};

// A lease while it is held, as its holder and its guards see it.
struct HeldLease {
  bool over = false;
  Time effects_until{};  // of what was done under it
};

// Of a lease that its maker held when it made this. A renewal does not lengthen it: take a new one.
class LeaseGuard {
 public:
  LeaseGuard(LeaseGuard&&) = default;
  LeaseGuard& operator=(LeaseGuard&&) = default;

  const std::string& duty() const { return duty_; }
  Token token() const { return token_; }
  Time deadline() const { return deadline_; }  // of this process's monotonic clock
  // Whether to act is still right: before the deadline, and the lease has not been given back.
  bool Holds(Time now) const;
  // What was done under this has its effects until then, at most until the deadline: before, the lease is not
  // given back, so that nobody has it sooner than it runs out.
  void Outlasts(Time until) const;

 private:
  friend class Leases;
  LeaseGuard(std::string duty, Token token, Time deadline, std::shared_ptr<HeldLease> lease)
      : duty_(std::move(duty)), token_(token), deadline_(deadline), lease_(std::move(lease)) {}

  std::string duty_;
  Token token_;
  Time deadline_;
  std::shared_ptr<HeldLease> lease_;  // null once moved from
};

// The resource's side: what it has seen of each duty.
class Fence {
 public:
  // Refuses with kPastDeadline a guard that does not hold, and what the other refuses.
  Result<void> Admit(const LeaseGuard& guard, Time now);
  // An act that came from another process: refuses with kOlderToken a token smaller than the largest seen.
  Result<void> Admit(const std::string& duty, Token token);

 private:
  std::map<std::string, Token> largest_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_FENCING_H_
