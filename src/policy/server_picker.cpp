// SPDX-License-Identifier: Apache-2.0
#include "policy/server_picker.h"

#include <algorithm>

namespace load_balancer {
namespace {

// Cost of crossing zones at a cross_zone_price of 1, as a multiple of the mean work of a request.
constexpr double kCrossingWork = 10;
// Weight of one outcome in the losses of a zone, and step of own_zone_preference_.
constexpr double kZoneGain = 0.1;
// Work saved by session affinity, as a multiple of the request's work.
constexpr double kAffinityGain = 2;
// Ranks of candidates; a lower rank is better.
constexpr int kTriedRank = 1;      // an attempt of the request has reached the server
constexpr int kUnreachedRank = 2;  // an attempt of the request has not reached the server
constexpr int kEjectedRank = 3;

bool IsInScope(IdempotencyScope scope, const ServerEntry& first_run_server, const ServerEntry& entry) {
  if (scope == IdempotencyScope::kAll) return true;
  if (entry.zone != first_run_server.zone) return false;
  return scope == IdempotencyScope::kZone || entry.cell == first_run_server.cell;
}

int RankByAttempts(const Request& request, ServerIndex server) {
  int rank = 0;
  for (const Attempt& attempt : request.attempts) {
    if (attempt.server == server) rank = std::max(rank, attempt.is_unreached ? kUnreachedRank : kTriedRank);
  }
  return rank;
}

}  // namespace

Server* ServerPicker::Pick(const Request& request, const Server* first_run_server) {
  bool is_any_in_service = false;
  Server* best =
      first_run_server ? nullptr : PickFrom(servers_.subset(), request, first_run_server, &is_any_in_service);
  if (best) return best;
  const bool may_leave_subset = first_run_server || servers_.subset().size() < servers_.ring().size();
  return may_leave_subset ? PickFrom(servers_.ring(), request, first_run_server, &is_any_in_service)
                          : nullptr;
}

Server* ServerPicker::PickFrom(const std::vector<ServerIndex>& indices, const Request& request,
                               const Server* first_run_server, bool* is_any_in_service) {
  const double price = context_.settings().cross_zone_price;
  const bool applies_crossing_cost = price > 0 && context_.random().UniformReal() < own_zone_preference_;
  const double crossing_cost =
      applies_crossing_cost ? kCrossingWork * price * traffic_.request_work().mean() : 0;
  Candidate best;
  for (const ServerIndex index : indices) {
    Server& server = servers_.at(index);
    if (!server.IsUsable()) continue;
    if (first_run_server &&
        !IsInScope(request.rules.idempotency_scope, first_run_server->entry, server.entry))
      continue;
    if (!server.health.is_ejected) *is_any_in_service = true;
    if (HasCapacity(server, request)) UpdateBest(Evaluate(server, request, crossing_cost), &best);
  }
  const bool is_best_ejected = best.server && best.rank >= kEjectedRank;
  return is_best_ejected && *is_any_in_service ? nullptr : best.server;
}

// Replaces `best` if the candidate is better. Of equal candidates, each is kept with the same probability
// (reservoir sampling).
void ServerPicker::UpdateBest(const Candidate& candidate, Candidate* best) {
  if (best->server) {
    if (candidate.rank > best->rank) return;
    if (candidate.rank == best->rank && candidate.cost > best->cost) return;
  }
  const bool is_tie = best->server && candidate.rank == best->rank && candidate.cost == best->cost;
  const std::uint64_t ties = is_tie ? best->ties + 1 : 1;
  best->ties = ties;
  if (is_tie && context_.random().UniformBelow(ties) != 0) return;
  *best = candidate;
  best->ties = ties;
}

bool ServerPicker::HasCapacity(Server& server, const Request& request) {
  if (max_in_flight_ > 0 && server.load.attempts() >= max_in_flight_) return false;
  if (slow_start_.Admits(server, request.work)) return true;
  context_.LogLine(LogTopic::kSlowStart, "server ", server.entry.server, " skipped: in slow start, at ",
                   static_cast<int>(100 * servers_.CapacityShare(server)), "% or more of its capacity");
  return false;
}

ServerPicker::Candidate ServerPicker::Evaluate(Server& server, const Request& request,
                                               double crossing_cost) const {
  const ServerIndex index = servers_.IndexOf(server);
  const bool is_warm = request.key != 0 && affinity_.IsWarm(request.key, index, context_.now());
  const bool is_crossing = server.entry.zone != context_.settings().zone;
  Candidate candidate;
  candidate.server = &server;
  candidate.rank = (server.health.is_ejected ? kEjectedRank : 0) + RankByAttempts(request, index);
  candidate.cost = server.load.work() + request.work * (server.slowness.At(context_.now()) - 1);
  candidate.cost -= is_warm ? kAffinityGain * request.work : 0;
  candidate.cost += is_crossing ? crossing_cost : 0;
  return candidate;
}

// If this zone loses more priority weight than the other zones, and the difference exceeds the cost of
// crossing, that cost would keep all requests in this zone while other zones are idle. The share of picks
// that include the cost is then reduced.
void ServerPicker::RecordOutcome(const Request& request, const Server& server, bool is_in_time, bool ok) {
  const double late_loss = ok ? 1 - request.rules.late_priority_share : 1;
  const double loss = is_in_time ? 0 : late_loss;
  const bool is_own_zone = server.entry.zone == context_.settings().zone;
  double& zone_loss = is_own_zone ? own_zone_loss_ : other_zones_loss_;
  zone_loss += kZoneGain * (loss - zone_loss);
  if (is_own_zone)
    other_zones_loss_ *= 1 - kZoneGain / 4;  // other zones may have recovered while they get no traffic
  const bool prefers_other_zones = own_zone_loss_ - other_zones_loss_ > context_.settings().cross_zone_price;
  own_zone_preference_ =
      std::clamp(own_zone_preference_ + (prefers_other_zones ? -kZoneGain : kZoneGain), 0.0, 1.0);
}

}  // namespace load_balancer
