// SPDX-License-Identifier: Apache-2.0
/// @file
/// Which server an attempt goes to.
#ifndef LOAD_BALANCER_SRC_POLICY_SERVER_PICKER_H_
#define LOAD_BALANCER_SRC_POLICY_SERVER_PICKER_H_

#include <cstdint>
#include <vector>

#include "policy/session_affinity.h"
#include "policy/slow_start.h"

namespace load_balancer {

/// Picks the server with the least cost; ties are broken at random. The cost is this proxy's own hinted work
/// in flight there, and as work also the price of crossing zones, the time lost at a slow server, and what
/// session affinity saves.
class ServerPicker {
 public:
  ServerPicker(Context& context, ServerList& servers, const SlowStart& slow_start,
               const TrafficStatistics& traffic, const SessionAffinity& affinity)
      : context_(context),
        servers_(servers),
        slow_start_(slow_start),
        traffic_(traffic),
        affinity_(affinity) {}

  /// The server for the request's next attempt; null if none has capacity. Servers that the request has tried
  /// come last. An ejected server is picked only if none is in service, so that no request is lost for it.
  /// With an anchor, only servers that discard its repeats qualify.
  Server* Pick(const Request& request, const Server* anchor);

  /// Learns from an attempt's outcome whether the own zone serves worse than the others.
  void RecordOutcome(const Request& request, const Server& server, bool is_in_time, bool ok);

  /// The limit on this proxy's attempts in flight at one server; 0: none.
  void SetConcurrencyLimit(int max_in_flight) { max_in_flight_ = max_in_flight; }

 private:
  struct Candidate {
    Server* server = nullptr;
    int rank = 0;  // lower ranks are preferred, whatever the cost
    double cost = 0;
    std::uint64_t ties = 1;  // candidates as good as this one, itself included
  };

  Server* PickFrom(const std::vector<ServerIndex>& indices, const Request& request, const Server* anchor,
                   bool* is_any_in_service);
  void KeepBetter(const Candidate& candidate, Candidate* best);
  bool HasCapacity(Server& server, const Request& request);
  Candidate Evaluate(Server& server, const Request& request, double crossing_cost) const;

  Context& context_;
  ServerList& servers_;
  const SlowStart& slow_start_;
  const TrafficStatistics& traffic_;
  const SessionAffinity& affinity_;
  int max_in_flight_ = 0;
  double own_zone_preference_ = 0.5;  // share of picks that count the price of crossing zones
  double own_zone_loss_ = 0;          // share of priority weight lost at servers of the own zone
  double other_zones_loss_ = 0;       // and of the others
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SERVER_PICKER_H_
