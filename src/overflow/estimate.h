// SPDX-License-Identifier: Apache-2.0
//
// The estimate of a site's spare capacity, and the newest estimates that a gateway has received.
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

// Estimate states the spare capacity of a site: the hinted work that it could serve in addition to its own
// traffic, in ms of work per second. 1000 is one standard core. Work that other sites forward to it does not
// reduce the estimate, as the estimate would otherwise react to its own effect. The fields have the names of
// the keys on the wire.
struct Estimate {
  std::string site;
  std::uint64_t token = 0;  // of the publisher's lease; receivers reject any token below the largest received
  UnixMs made_at = 0;       // by the publisher's wall clock
  std::uint64_t mean = 0;   // mean of the spare capacity
  std::uint64_t low = 0;    // lower bound of the spare capacity, at most the mean
  std::uint64_t wait_ms = 0;  // how long a new request waits before it is served
  std::uint64_t members = 0;  // number of proxies that the estimate covers
  // The site is over capacity. Its gateways may forward requests once this state has settled. The mean and
  // the lower bound are zero then.
  bool over = false;
  // How long the state has been settled, by the publisher's monotonic clock. If `over`, the time since the
  // lower bound fell to zero; otherwise the time since the lower bound was last zero or the site was over
  // capacity. See Hysteresis::SettledFor.
  std::uint64_t for_ms = 0;

  bool operator==(const Estimate&) const = default;
};

// Encodes all nine fields: {"site", "token", "made_at", "mean", "low", "wait_ms", "members", "over",
// "for_ms"}.
nlohmann::json ToJson(const Estimate& estimate);
// Decodes an estimate. Fails with kBadEstimate if a key is missing, unknown, of the wrong type or out of
// range.
Result<Estimate> FromJson(const nlohmann::json& value);

// Returns the weight of an estimate of the given age: 1 up to `estimate_interval`, 0 from `staleness` on, and
// linear between them.
double Decay(Span age, const Options& options);

// Estimates holds the newest estimate of each site that this gateway has received.
class Estimates {
 public:
  Estimates(Options options, const Directory& sites);

  // Stores an estimate that is newer than the stored one of its site, and returns whether it was. `wall` is
  // this machine's Unix time in ms at `now`; later ages are measured by the monotonic clock. Fails with
  // kUnknownSite, kFutureEstimate or kFencedEstimate, and then changes nothing.
  Result<bool> Update(Time now, UnixMs wall, const Estimate& estimate);
  // Applies new settings. Drops the estimates of sites that are no longer configured.
  void Configure(Options options, const Directory& sites);

  // Returns the site's newest estimate, or null if none has been received since the site was configured.
  const Estimate* Find(const std::string& site) const;
  // Returns the age of the site's estimate, or Span::max() if there is none.
  Span Age(Time now, const std::string& site) const;
  // Returns how much work all other sites together may forward to the site now, in ms of hinted work per
  // second. This is the smaller of `offered_fraction` x mean and the lower bound, multiplied by the weight
  // that Decay returns for the age of the estimate.
  double OfferedCapacity(Time now, const std::string& site) const;
  // Returns whether it is certain that the site's gateways forward nothing. This is so when the site has had
  // spare capacity for so long that none of its gateways still uses an older estimate, by which the site was
  // over capacity.
  bool HasSettledSpare(Time now, const std::string& site) const;
  // Returns whether the site's gateways may forward requests. They may when the site has been over capacity
  // for so long that no other gateway still uses an older estimate, by which the site had settled spare
  // capacity. With only two sites, there is no such delay: the only other site is the destination, so no
  // third site has to count the senders.
  bool MayForward(Time now, const std::string& site) const;

 private:
  struct Entry {
    Estimate estimate;
    Time made{};  // by this machine's monotonic clock
  };
  const Entry* FindFresh(Time now, const std::string& site) const;

  Options options_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, std::uint64_t> largest_tokens_;  // largest token received, by configured site
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_ESTIMATE_H_
