// SPDX-License-Identifier: Apache-2.0
//
// The treasurer's side of quotas: hands out draws of the budgets of one duty `treasurer/N`. A function of its
// events: no clock, no socket. Why the sum of what it hands out never exceeds a budget is in
// docs/federation.md.
#ifndef BRACKENSPOKE_QUOTA_TREASURER_H_
#define BRACKENSPOKE_QUOTA_TREASURER_H_

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
#include "quota/floors.h"
#include "quota/messages.h"
#include "quota/partner_treasury.h"

namespace brackenspoke::quota {

struct TreasurerOptions {
  std::size_t index = 0;  // N of the duty
  std::size_t treasurers = 1;
  Layout layout;
  Timings timings;
};

// ---- actions ------------------------------------------------------------------------------------------
struct SendAnswer {
  std::string gateway;
  Answer answer;
};
// A line of the log: this process hands out the duty's draws from now on.
struct TermBegan {
  std::size_t treasurer = 0;
  std::uint64_t token = 0;
};
// A line of the log at level warn.
struct TreasurerComplains {
  Failure failure;
};
using TreasurerAction = std::variant<SendAnswer, TermBegan, TreasurerComplains>;
using TreasurerActions = std::vector<TreasurerAction>;

// All moments are of the process's monotonic clock, and must be read after the event came in: a request after
// it was read from its socket. Between Receive or Tick and the sending of what they give any time may pass.
class Treasurer {
 public:
  Treasurer(TreasurerOptions options, std::shared_ptr<const Budgets> budgets);

  // A request that came from the pool address of `gateway`. Nothing happens if the guard does not hold.
  void Receive(Time now, const fleet::LeaseGuard& guard, const std::string& gateway, const Request& request,
               TreasurerActions* actions);
  // Call it at Next() or soon after, while the lease is held.
  void Tick(Time now, const fleet::LeaseGuard& guard, TreasurerActions* actions);
  Time Next() const { return schedule_.empty() ? Time::max() : schedule_.begin()->first; }

  // Other budgets bind.
  void Renew(std::shared_ptr<const Budgets> budgets);

  // By when all draws that it has handed out have ended. The lease must not be given back before: whoever
  // gets it next takes none to be out. `now` if there are none.
  Time OutUntil(Time now) const;

  // The demand of each partner's gateways, for a next holder or life: {"v": 1, "partners": {partner:
  // {gateway: thousandths a second}}}. Nothing rests on it but how the first draws are divided.
  nlohmann::json Ledger(Time now) const;
  // Takes all of a ledger, or nothing of it with kBadLedger. Gateways and partners that are not configured
  // are passed over.
  Result<void> Load(Time now, const nlohmann::json& ledger);

  // For operators: what is out.
  struct Line {
    std::string partner;
    Milli rate = 0;                       // of the budget
    Milli committed = 0;                  // draws and floors that may be in force now
    std::map<std::string, Milli> demand;  // of the gateways that asked lately
  };
  std::vector<Line> Lines(Time now) const;

 private:
  void Begin(const fleet::LeaseGuard& guard, TreasurerActions* actions);
  void HandOut(Time now, const fleet::LeaseGuard& guard, TreasurerActions* actions);
  void AnswerOther(Time now, GatewayId gateway, const Request& request, TreasurerActions* actions);
  Answer Empty(Time now, std::uint64_t life) const;
  struct Entry {
    PartnerTreasury treasury;
    Time scheduled = Time::max();
  };
  Entry* Find(const std::string& partner);  // null: no budget of this duty
  void Schedule(const std::string& partner, Entry& entry);

  const TreasurerOptions options_;
  const Gateways gateways_;
  Revisions revisions_;
  DrawId last_;                              // its token is the lease's
  std::map<std::string, Entry> treasuries_;  // outlives a lease: what it knows of gateways stays true
  std::set<std::pair<Time, std::string>> schedule_;
  std::set<std::string> complained_;
};

}  // namespace brackenspoke::quota

#endif  // BRACKENSPOKE_QUOTA_TREASURER_H_
