// SPDX-License-Identifier: Apache-2.0
//
// Adds up the spare capacity of a site's members and makes the site's estimate. Only the holder of the lease
// `ambassador/SITE` makes estimates. An estimate is made only with a valid proof that this process holds the
// lease, and it contains the token of this proof.
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

// MemberSpareCapacity is the additional work that one proxy would admit from its own clients. Work that other
// sites forward to it does not reduce it, as in Estimate.
struct MemberSpareCapacity {
  double mean = 0, low = 0;  // mean and lower bound, in ms of hinted work per second
  Milliseconds wait{0};      // how long a new request waits before it is served
};

// FencingProof is the type of a proof that this process holds a lease. The proof is checked again when it is
// used. See fleet/lease/fencing.h.
template <typename T>
concept FencingProof = requires(const T& proof, Time now) {
  { proof.IsValid(now) } -> std::convertible_to<bool>;
  { proof.token() } -> std::convertible_to<std::uint64_t>;
};

// EstimatePublisher makes the site's estimates during one term of the lease. A new one is created each time
// the lease is acquired: this member may not have received the last estimates of the previous holder, so it
// cannot state how long the site has been in its present state.
class EstimatePublisher {
 public:
  // The site becomes over capacity when its lower bound has been zero for `kZeroTime`, and stops being over
  // capacity when the lower bound has been above zero for `kSpareTime`.
  static constexpr Milliseconds kZeroTime{1000}, kSpareTime{2000};

  EstimatePublisher(Options options, std::string site);

  // Records the spare capacity that a member of the site has reported. This process reports its own as well.
  void RecordMember(Time now, const std::string& member, const MemberSpareCapacity& spare);
  // Removes a member that has left or is dead.
  void RemoveMember(const std::string& member) { members_.erase(member); }

  // Returns the site's estimate at `now`, or nothing if the lease is not valid. Members that have not
  // reported for `staleness` count as zero. The caller must call this every `estimate_interval`. `wall` is
  // the Unix time in ms.
  template <FencingProof LeaseProof>
  std::optional<Estimate> MakeEstimate(Time now, UnixMs wall, const LeaseProof& proof) {
    if (!proof.IsValid(now)) return std::nullopt;
    return AddUp(now, wall, proof.token());
  }

 private:
  struct Report {
    MemberSpareCapacity spare;
    Time received_at{};
  };
  Estimate AddUp(Time now, UnixMs wall, std::uint64_t token);

  const Options options_;
  const std::string site_;
  std::map<std::string, Report> members_;
  Hysteresis over_{kZeroTime, kSpareTime};
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_ESTIMATE_PUBLISHER_H_
