// SPDX-License-Identifier: Apache-2.0
//
// The site's ambassador: sums what the members could still take and makes the site's estimate. Exclusive: an
// estimate is made under a lease proof only, and carries its token.
#ifndef LOAD_BALANCER_OVERFLOW_ESTIMATE_PUBLISHER_H_
#define LOAD_BALANCER_OVERFLOW_ESTIMATE_PUBLISHER_H_

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "overflow/estimate.h"
#include "overflow/hysteresis.h"
#include "overflow/options.h"

namespace load_balancer::overflow {

// What one proxy's module would still let through of further own traffic, as Estimate has it: work spilled to
// it by others is not taken off.
struct MemberSpare {
  double mean = 0, low = 0;  // ms of hinted work a second
  Milliseconds wait{0};
};

// A lease proof at the act: fleet/lease/fencing.h.
template <typename T>
concept FencingProof = requires(const T& proof, Time now) {
  { proof.IsValid(now) } -> std::convertible_to<bool>;
  { proof.token() } -> std::convertible_to<std::uint64_t>;
};

// One term of office: made anew whenever the duty is taken up, so that no state is claimed to have held under
// a predecessor, whose last estimates this member may not have heard.
class Ambassador {
 public:
  // The site is over capacity after its lower bound has been zero for `kZeroFor`, and no longer after it has
  // been more for `kSpareFor`.
  static constexpr Milliseconds kZeroFor{1000}, kSpareFor{2000};

  Ambassador(Options options, std::string site);

  // A member of the site, this one among them, has told its spare.
  void Heard(Time now, const std::string& member, const MemberSpare& spare);
  // A member has left or is dead.
  void Gone(const std::string& member) { members_.erase(member); }

  // The sum now, or nothing if the lease does not hold. Members silent past staleness count as zero. To be
  // called every `estimate_interval`; `wall` in Unix ms.
  template <FencingProof LeaseProof>
  std::optional<Estimate> Make(Time now, UnixMs wall, const LeaseProof& proof) {
    if (!proof.IsValid(now)) return std::nullopt;
    return Sum(now, wall, proof.token());
  }

 private:
  struct Told {
    MemberSpare spare;
    Time at{};
  };
  Estimate Sum(Time now, UnixMs wall, std::uint64_t token);

  const Options options_;
  const std::string site_;
  std::map<std::string, Told> members_;
  Hysteresis over_{kZeroFor, kSpareFor};
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_ESTIMATE_PUBLISHER_H_
