// SPDX-License-Identifier: Apache-2.0
// Which server an attempt goes to.
#ifndef LOAD_BALANCER_SRC_POLICY_SERVER_PICKER_H_
#define LOAD_BALANCER_SRC_POLICY_SERVER_PICKER_H_

#include "policy/session_affinity.h"
#include "policy/slow_start.h"

namespace load_balancer {

constexpr double kCrossingWeight = 10;  // mean requests of work that the whole crossing price is worth
constexpr double kZoneGain = 0.1;       // of one answer, in what the own zone and the others lose

struct Picker {
  Context& x;
  ServerList& servers;
  const ColdBudget& cold;
  const Traffic& traffic;
  const WarmKeys& keys;
  int share = 0;                        // in flight at one server at the most; 0: no limit
  double home_first = 0.5;              // share of picks that count the price of crossing zones
  double lost_home = 0, lost_away = 0;  // share of worth lost at servers of the own zone and of others

  // Least own hinted work in flight, ties at random. Exceptions: a crossing of zones counts as the work that
  // its price is worth, and time lost at a slow server as work; where keys are warm, a server that met this
  // one lately serves it with less work, and what it saves serves others; those over their cold budget are
  // passed over; those it has tried come last; if no server of the group is in service, an ejected one is
  // used: never a lost request. With an anchor: only servers that drop its repeats.
  Server* Pick(const Request& r, const Server* anchor) {
    bool in_service = false;  // some server is in service, though without room now
    Server* best = anchor ? nullptr : PickFrom(servers.subset, r, anchor, &in_service);
    if (!best && (anchor || servers.subset.size() < servers.ring.size()))
      best = PickFrom(servers.ring, r, anchor, &in_service);
    return best;
  }

  // Exception, when the own zone serves worse than the others by more than a crossing costs: its price kept
  // every request there while other zones stood idle (incident ib02092). It counts in the share of picks that
  // this finding leaves.
  void LearnZone(const Request& r, const Server& s, bool in_time, bool ok) {
    const double lost = in_time ? 0 : ok ? 1 - r.rules.late_priority_share : 1;
    const bool home = s.entry.zone == x.settings.zone;
    double& seen = home ? lost_home : lost_away;
    seen += kZoneGain * (lost - seen);
    if (home) lost_away *= 1 - kZoneGain / 4;  // what is not looked at any more may have recovered
    const bool leave = lost_home - lost_away > x.settings.cross_zone_price;
    home_first = std::clamp(home_first + (leave ? -kZoneGain : kZoneGain), 0.0, 1.0);
  }

 private:
  static bool InGroup(IdempotencyScope group, const ServerEntry& anchor, const ServerEntry& s) {
    return group == IdempotencyScope::kAll ||
           (s.zone == anchor.zone && (group == IdempotencyScope::kZone || s.cell == anchor.cell));
  }

  Server* PickFrom(const std::vector<ServerIndex>& from, const Request& r, const Server* anchor,
                   bool* in_service) {
    const bool home_counts = x.settings.cross_zone_price > 0 && x.random.Unit() < home_first;
    const double crossing = kCrossingWeight * x.settings.cross_zone_price * traffic.request_work.mean;
    Server* best = nullptr;
    int best_rank = 0, ties = 0;
    double best_score = 0;
    for (const ServerIndex index : from) {
      Server& s = servers.all[index];
      if (!s.Usable() || (anchor && !InGroup(r.rules.idempotency_scope, anchor->entry, s.entry))) continue;
      *in_service |= !s.health.ejected;
      if (share > 0 && s.own_count >= share) continue;  // the fleet's limit of the server
      if (!cold.Fits(s, r.work)) {
        x.Say(Context::kCold, "server ", s.entry.server, " held back: cold, at ",
              static_cast<int>(100 * servers.WarmShare(s)), "% or more of its capacity");
        continue;
      }
      const bool tried = std::any_of(r.attempts.begin(), r.attempts.end(),
                                     [&](const Attempt& a) { return a.server == index; });
      const int rank = 2 * s.health.ejected + tried;
      const bool crosses = s.entry.zone != x.settings.zone;
      const double score = s.own_work + r.work * (s.SlownessAt(x.now) - 1) -
                           (r.key != 0 && keys.Warm(r.key, index, x.now) ? kWarmWeight * r.work : 0) +
                           (crosses && home_counts ? crossing : 0);
      if (best && (rank > best_rank || (rank == best_rank && score > best_score))) continue;
      const bool tie = best && rank == best_rank && score == best_score;
      ties = tie ? ties + 1 : 1;
      if (tie && x.random.Below(ties) != 0) continue;
      best = &s, best_rank = rank, best_score = score;
    }
    return best && best_rank >= 2 && *in_service ? nullptr : best;
  }
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SERVER_PICKER_H_
