// SPDX-License-Identifier: Apache-2.0
//
// The budget allocator: while it holds the lease `treasurer/N`, it divides the budgets of the partners that
// hash to N among the gateways, as grants that expire. It is a function of its events, without clock or
// socket. docs/federation.md shows why the sum of the grants never exceeds a budget.
#ifndef LOAD_BALANCER_QUOTA_ALLOCATOR_H_
#define LOAD_BALANCER_QUOTA_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/error/failure.h"
#include "fleet/lease/guard.h"
#include "quota/messages.h"
#include "quota/partner_allocator.h"
#include "quota/reserved_minimums.h"

namespace load_balancer::quota {

struct AllocatorOptions {
  std::size_t index = 0;       // N of the lease `treasurer/N`
  std::size_t allocators = 1;  // how many of these leases there are
  Layout layout;
  Timings timings;
};

// ---- actions ------------------------------------------------------------------------------------------
struct SendAnswer {
  std::string gateway;
  Answer answer;
};
// To be logged: this process holds the lease and issues its grants from now on.
struct TermBegan {
  std::size_t allocator = 0;
  std::uint64_t token = 0;
};
// To be logged as a warning.
struct AllocatorWarning {
  Failure failure;
};
using AllocatorAction = std::variant<SendAnswer, TermBegan, AllocatorWarning>;
using AllocatorActions = std::vector<AllocatorAction>;

// Issues the grants of one lease. All times are of the process's monotonic clock and must be read after the
// event occurred: for a request, after it was read from the socket. The actions that Receive and Tick append
// may be carried out at any later time.
class Allocator {
 public:
  Allocator(AllocatorOptions options, std::shared_ptr<const Budgets> budgets);

  // Handles a request that came from the pool address of `gateway`. Does nothing if the guard no longer
  // holds.
  void Receive(Time now, const fleet::LeaseGuard& guard, const std::string& gateway, const Request& request,
               AllocatorActions* actions);
  // Issues what is due. Call it at Next() or soon after, while the lease is held.
  void Tick(Time now, const fleet::LeaseGuard& guard, AllocatorActions* actions);
  Time Next() const { return schedule_.empty() ? Time::max() : schedule_.begin()->first; }

  // Replaces the budgets, after a reload of the configuration.
  void Renew(std::shared_ptr<const Budgets> budgets);

  // When the last outstanding grant expires; `now` if there is none. The lease must not be released before,
  // as the next holder assumes that no grant is outstanding.
  Time OutUntil(Time now) const;

  // The demand of each partner's gateways, for the next holder or process: {"v": 1, "partners": {partner:
  // {gateway: thousandths a second}}}. It is a hint for dividing the first grants; safety does not depend on
  // it.
  nlohmann::json Ledger(Time now) const;
  // Loads a whole ledger, or nothing of it with kBadLedger. Skips gateways and partners that are not
  // configured.
  Result<void> Load(Time now, const nlohmann::json& ledger);

  // The status of one partner's budget, for operators.
  struct Line {
    std::string partner;
    Milli rate = 0;                       // of the budget
    Milli committed = 0;                  // grants and floors that may be in force now
    std::map<std::string, Milli> demand;  // of the gateways that asked recently
  };
  std::vector<Line> Lines(Time now) const;

 private:
  void Begin(const fleet::LeaseGuard& guard, AllocatorActions* actions);
  void IssueGrants(Time now, const fleet::LeaseGuard& guard, AllocatorActions* actions);
  void AnswerOther(Time now, GatewayId gateway, const Request& request, AllocatorActions* actions);
  Answer Empty(Time now, std::uint64_t life) const;
  struct Entry {
    PartnerAllocator allocator;
    Time scheduled = Time::max();
  };
  Entry* Find(const std::string& partner);  // null: no budget of this lease
  void Schedule(const std::string& partner, Entry& entry);

  const AllocatorOptions options_;
  const Gateways gateways_;
  Revisions revisions_;
  GrantId last_;                           // its token is the lease's
  std::map<std::string, Entry> partners_;  // kept across leases
  std::set<std::pair<Time, std::string>> schedule_;
  std::set<std::string> warned_;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_ALLOCATOR_H_
