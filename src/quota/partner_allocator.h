// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// One partner's budget at its allocator: tracks the demand of the gateways and decides which grants to
/// issue.
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

/// A grant, and the process to which it is sent.
struct IssuedGrant {
  GatewayId gateway = 0;
  std::uint64_t incarnation = 0;  ///< The incarnation of the gateway's process.
  Grant grant;                    ///< The grant, without the partner's name.
};

/// Divides one budget among gateways. All times are readings of the allocator's monotonic clock.
class PartnerAllocator {
 public:
  /// `timings` must outlive this object.
  explicit PartnerAllocator(const Timings& timings);

  /// Handles a grant request from message `number` of a gateway's process.
  void OnGrantRequest(Time now, GatewayId gateway, std::uint64_t incarnation, std::uint64_t number,
                      const GrantRequest& request);
  /// Handles an acknowledgement: a gateway's process has put a grant in force.
  void OnAck(Time now, GatewayId gateway, std::uint64_t incarnation, const GrantAck& ack);
  /// Sets the demand of a gateway according to a ledger. This demand is used until the gateway's first
  /// request, but for no longer than two request intervals.
  void SetExpectedDemand(Time now, GatewayId gateway, MilliUnits demand);

  /// Returns the grants to issue now: one for each unanswered request, and one for each gateway whose grant
  /// differs from its target while some gateway has less than it needs. No grant lasts beyond `deadline`.
  /// `last` is the id of the last grant that was issued. Each new grant gets the next higher number.
  std::vector<IssuedGrant> IssueGrants(Time now, Time deadline, const Budget& budget,
                                       const ReservedMinimums& minimums, GrantId* last);
  /// Returns the gateways that should request a grant, because other gateways need their reserved minimum and
  /// it is not lent, or will soon no longer be lent. Call this function after IssueGrants.
  std::vector<GatewayId> Recalls(Time now, const GatewayRegistry& gateways, const ReservedMinimums& minimums);
  /// Returns the time at which to issue grants again if no request or acknowledgement arrives before;
  /// Time::max() if no grants are due.
  Time due() const { return due_; }

  const Commitments& commitments() const { return commitments_; }
  /// Returns the demand of each gateway that requested a grant recently.
  std::map<GatewayId, MilliUnits> Demand(Time now) const;

 private:
  /// The latest request of a gateway.
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
  // Sets the target of each gateway: the rate that it should have.
  void ComputeTargets(Time now, const Budget& budget, const ReservedMinimums& minimums);
  void StartTurn(Time now, GatewayId gateway, const RateClaim& claim, MilliUnits rate);
  // Returns the gateways that should get another grant, beginning with those whose rate shrinks the most.
  std::vector<GatewayId> GatewaysDue() const;
  MilliUnits HeldRate(GatewayId gateway, const Requester& requester) const;
  // Issues a grant with a rate of at most the gateway's target. Returns nothing if no useful grant fits, or
  // if the gateway already has an equal grant that lasts as long.
  std::optional<IssuedGrant> IssueGrant(Time now, Time deadline, GatewayId gateway, const Budget& budget,
                                        GrantPlanner* planner, GrantId* last);
  bool WasRequestedSince(GatewayId gateway, Time since) const;
  void Schedule(Time now);

  const Timings* timings_;
  Commitments commitments_;
  std::map<GatewayId, Requester> requesters_;
  std::map<GatewayId, ExpectedDemand> expected_;
  std::map<GatewayId, MilliUnits> targets_;
  bool is_oversubscribed_ = false;  // whether demand exceeds the capacity
  // Whether some gateway gets its target rate only after other gateways have returned parts of their
  // allocations.
  bool is_waiting_ = false;
  std::map<GatewayId, Time> recalled_at_;
  Time issued_at_ = Time::min();
  Time due_ = Time::max();
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_PARTNER_ALLOCATOR_H_
