// SPDX-License-Identifier: Apache-2.0
//
// The surface of a lease's guard, for as long as src/fleet/lease has none.
#ifndef BRACKENSPOKE_FLEET_LEASE_GUARD_H_
#define BRACKENSPOKE_FLEET_LEASE_GUARD_H_

#include <cstdint>

#include "base/time.h"

namespace brackenspoke::fleet {

class LeaseGuard {
 public:
  LeaseGuard(std::uint64_t token, Time deadline) : token_(token), deadline_(deadline) {}
  std::uint64_t token() const { return token_; }
  Time deadline() const { return deadline_; }
  bool Holds(Time now) const { return now < deadline_; }

 private:
  std::uint64_t token_;
  Time deadline_;
};

}  // namespace brackenspoke::fleet

#endif  // BRACKENSPOKE_FLEET_LEASE_GUARD_H_
