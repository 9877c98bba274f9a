// SPDX-License-Identifier: Apache-2.0
/// @file
/// The choice of the server for an attempt.
#ifndef LOAD_BALANCER_SRC_POLICY_SERVER_PICKER_H_
#define LOAD_BALANCER_SRC_POLICY_SERVER_PICKER_H_

#include <cstdint>
#include <vector>

#include "policy/session_affinity.h"
#include "policy/slow_start.h"

namespace load_balancer {

/// Picks the server with the lowest cost; ties are broken at random. The cost is the hinted work that this
/// proxy has in flight at the server, plus the cost of crossing zones and the time lost at a slow server,
/// less the work saved by session affinity. All terms are converted to work.
class ServerPicker {
 public:
  ServerPicker(Context& context, ServerList& servers, const SlowStart& slow_start,
               const TrafficStatistics& traffic, const SessionAffinity& affinity)
      : context_(context),
        servers_(servers),
        slow_start_(slow_start),
        traffic_(traffic),
        affinity_(affinity) {}

  /// Returns the server for the request's next attempt, or null if no server has capacity. Prefers servers
  /// that the request has not tried. An ejected server is picked only if no server is in service, so that
  /// requests do not fail because all servers are ejected. If `first_run_server` is set, only servers that
  /// share idempotency keys with it are considered.
  Server* Pick(const Request& request, const Server* first_run_server);

  /// Records an attempt's outcome, to compare the losses of this proxy's zone with those of the other zones.
  void RecordOutcome(const Request& request, const Server& server, bool is_in_time, bool ok);

  /// Sets the limit on this proxy's attempts in flight at each server; 0 means no limit.
  void SetConcurrencyLimit(int max_in_flight) { max_in_flight_ = max_in_flight; }

 private:
  struct Candidate {
    Server* server = nullptr;
    int rank = 0;  // candidates are compared by rank before cost; the lowest is preferred
    double cost = 0;
    std::uint64_t ties = 1;  // number of candidates with this rank and cost, including this one
  };

  Server* PickFrom(const std::vector<ServerIndex>& indices, const Request& request,
                   const Server* first_run_server, bool* is_any_in_service);
  void UpdateBest(const Candidate& candidate, Candidate* best);
  bool HasCapacity(Server& server, const Request& request);
  Candidate Evaluate(Server& server, const Request& request, double crossing_cost) const;

  Context& context_;
  ServerList& servers_;
  const SlowStart& slow_start_;
  const TrafficStatistics& traffic_;
  const SessionAffinity& affinity_;
  int max_in_flight_ = 0;
  double own_zone_preference_ = 0.5;  // share of picks that include the cost of crossing zones
  double own_zone_loss_ = 0;          // share of priority weight lost at servers of this zone
  double other_zones_loss_ = 0;       // share of priority weight lost at servers of other zones
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SERVER_PICKER_H_
