// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// One partner's budget at its allocator: the demand of the gateways, and which grants to issue.
#ifndef LOAD_BALANCER_QUOTA_PARTNER_ALLOCATOR_H_
#define LOAD_BALANCER_QUOTA_PARTNER_ALLOCATOR_H_

#include <map>
#include <optional>
#include <vector>

#include "quota/commitments.h"
#include "quota/division.h"
#include "quota/grant_planner.h"
#include "quota/messages.h"

namespace load_balancer::quota {

/// A grant, and the process that it is for.
struct IssuedGrant {
  GatewayId gateway = 0;
  std::uint64_t incarnation = 0;  ///< Of the gateway's process.
  Grant grant;                    ///< Without the partner's name.
};

/// Divides one budget. All times are of the allocator's monotonic clock.
class PartnerAllocator {
 public:
  explicit PartnerAllocator(const Timings& timings);

  /// A gateway's process requests a grant in its message `number`.
  void OnGrantRequest(Time now, GatewayId gateway, std::uint64_t incarnation, std::uint64_t number,
                      const GrantRequest& request);
  /// A gateway's process has put a grant in force.
  void OnAck(Time now, GatewayId gateway, std::uint64_t incarnation, const GrantAck& ack);
  /// Sets the demand of a gateway according to a ledger, which counts until the gateway's first request.
  void SetExpectedDemand(Time now, GatewayId gateway, MilliUnits demand);

  /// The grants to issue now: one for each unanswered request, and another one where a gateway's grant is
  /// less than its target, or more than it while others lack some. None lasts beyond `deadline`. `last` is
  /// the id of the last grant that was issued, and is advanced.
  std::vector<IssuedGrant> IssueGrants(Time now, Time deadline, const Budget& budget,
                                       const ReservedMinimums& minimums, GrantId* last);
  /// Gateways that should request a grant, because their reserved minimum is needed elsewhere and is not lent
  /// for long. Call it after IssueGrants.
  std::vector<GatewayId> Recalls(Time now, const GatewayRegistry& gateways, const ReservedMinimums& minimums);
  /// When to issue grants again without an event; Time::max(): never.
  Time due() const { return due_; }

  const Commitments& commitments() const { return commitments_; }
  /// The demand of the gateways that requested a grant recently.
  std::map<GatewayId, MilliUnits> Demand(Time now) const;

 private:
  /// A gateway that has requested a grant, by its latest request.
  struct Requester {
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    Time received_at;
    MilliUnits demand = 0;
    MilliUnits min_depth = 0;
    bool is_answered = false;
    Time turn_until = Time::min();
  };
  struct ExpectedDemand {
    MilliUnits demand = 0;
    Time until;
  };

  void Prune(Time now);
  // Sets the rate that each gateway should have.
  void ComputeTargets(Time now, const Budget& budget, const ReservedMinimums& minimums);
  void StartTurn(Time now, GatewayId gateway, const RateClaim& claim, MilliUnits rate);
  // The gateways that are to get another grant, those first whose rate shrinks the most.
  std::vector<GatewayId> GatewaysDue() const;
  MilliUnits HeldRate(GatewayId gateway, const Requester& requester) const;
  // Issues a grant of the gateway's target, as far as it fits and is of use.
  std::optional<IssuedGrant> IssueGrant(Time now, Time deadline, GatewayId gateway, const Budget& budget,
                                        GrantPlanner* planner, GrantId* last);
  bool WasRequestedSince(GatewayId gateway, Time since) const;
  void Schedule(Time now);

  const Timings* timings_;
  Commitments commitments_;
  std::map<GatewayId, Requester> requesters_;
  std::map<GatewayId, ExpectedDemand> expected_;
  std::map<GatewayId, MilliUnits> targets_;
  bool is_short_ = false;    // demand exceeds the capacity
  bool is_waiting_ = false;  // a gateway gets its target only when another has returned what it has
  std::map<GatewayId, Time> recalled_at_;
  Time issued_at_ = Time::min();
  Time due_ = Time::max();
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_PARTNER_ALLOCATOR_H_
