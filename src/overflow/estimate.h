// SPDX-License-Identifier: Apache-2.0
//
// What a site could still take, as its ambassador makes it known, and what is held of it elsewhere.
#ifndef LOAD_BALANCER_OVERFLOW_ESTIMATE_H_
#define LOAD_BALANCER_OVERFLOW_ESTIMATE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "base/error/failure.h"
#include "base/time.h"
#include "overflow/options.h"

namespace load_balancer::overflow {

using UnixMs = std::uint64_t;

// Spare is hinted work that the site would serve beyond its own traffic, in ms of work a second: 1000 is one
// standard core. Work that others have spilled there is not taken off it, or the estimate would chase itself.
struct Estimate {
  std::string site;
  std::uint64_t token = 0;    // of the ambassador's lease: a smaller one than the largest seen is refused
  UnixMs made_at = 0;         // by the ambassador's wall clock
  std::uint64_t mean = 0;     // spare
  std::uint64_t low = 0;      // its lower bound, at most the mean
  std::uint64_t wait_ms = 0;  // of a request that comes now, before it is served
  std::uint64_t members = 0;  // proxies that the sum is of
  // The site is over capacity, and its gateways may spill once this has settled. Then mean and low are zero.
  bool over = false;
  // For how long nothing has pointed the other way, by the ambassador's monotonic clock: over, since the
  // lower bound has been zero; not over, since it last was zero or the site over. See Hysteresis::Held.
  std::uint64_t for_ms = 0;

  bool operator==(const Estimate&) const = default;
};

// {"site", "token", "made_at", "mean", "low", "wait_ms", "members", "over", "for_ms"}: all, and no others.
nlohmann::json ToJson(const Estimate& estimate);
// Fails with kBadEstimate on a key that is missing, unknown, of the wrong type or out of range.
Result<Estimate> FromJson(const nlohmann::json& value);

// The share of an estimate that counts at an age: all up to `estimate_interval`, none from `staleness` on,
// linear between.
double Decay(Span age, const Options& options);

// The newest estimate of each site, at one gateway.
class Estimates {
 public:
  Estimates(Options options, const Directory& sites);

  // `wall` is this machine's Unix ms at `now`; ages go on by the monotonic clock. True if it was newer than
  // what was held. Fails with kUnknownSite, kFutureEstimate or kFencedEstimate, and leaves what is held.
  Result<bool> Hear(Time now, UnixMs wall, const Estimate& estimate);
  // Estimates of sites that are there no longer are dropped.
  void Configure(Options options, const Directory& sites);

  // Null: none heard, or none since the site was configured.
  const Estimate* Find(const std::string& site) const;
  // Span::max() without an estimate.
  Span Age(Time now, const std::string& site) const;
  // What all others together may spill there now, ms of hinted work a second: `most_part` of the mean, never
  // over the lower bound, by age.
  double Offer(Time now, const std::string& site) const;
  // Its gateways spill nothing for as long as this estimate counts: it is not over capacity, and has not been
  // for so long that whatever said otherwise counts no longer anywhere.
  bool Quiet(Time now, const std::string& site) const;
  // Its gateways may spill: over capacity for so long that no one takes the site for quiet any more. Of two
  // sites each is the only one to spill to the other, and nobody's count matters.
  bool MaySpill(Time now, const std::string& site) const;

 private:
  struct Held {
    Estimate estimate;
    Time made{};  // by this machine's monotonic clock
  };
  const Held* Fresh(Time now, const std::string& site) const;

  Options options_;
  std::map<std::string, Held> held_;
  std::map<std::string, std::uint64_t> fences_;  // the largest token seen of each configured site
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_ESTIMATE_H_
