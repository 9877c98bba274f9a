// SPDX-License-Identifier: Apache-2.0
//
// The gateway's side of quotas: whether a request is within its partner's budget, and what is asked of the
// allocators. A function of its events: no clock, no socket. The design and why the sum of all gateways never
// exceeds a budget are in docs/federation.md, the figures in docs/quota.md.
#ifndef LOAD_BALANCER_QUOTA_ACCOUNT_H_
#define LOAD_BALANCER_QUOTA_ACCOUNT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error/failure.h"
#include "quota/messages.h"
#include "quota/partner_account.h"

namespace load_balancer::quota {

struct AccountOptions {
  std::string site;          // of this gateway
  std::size_t gateways = 1;  // of the site, as configured
  std::uint64_t life = 0;    // of this process: differs from that of any before, not 0
  std::size_t allocators = 1;
  Timings timings;
};

enum class Verdict { kInside, kOver, kUnknown };  // kUnknown: the partner has no budget

// To be kept with a request that was charged, for the case that it is proven not to have run.
struct Ticket {
  std::string partner;
  Time at;
  Milli cost = 0;  // 0: nothing was charged
};

struct Charged {
  Verdict verdict = Verdict::kUnknown;
  Over over = Over::kMark;  // the budget's choice
  Span retry_after{0};      // of kOver: until this request would fit, as far as is known now
  Ticket ticket;
};

// ---- actions ------------------------------------------------------------------------------------------
// To the holder of the duty `treasurer/N`; dropped if none is known.
struct SendRequest {
  std::size_t allocator = 0;
  Request request;
};
// Who decides over a partner here has changed; a line of the log.
struct SourceChanged {
  std::string partner;
  PartnerAccount::Source source = PartnerAccount::Source::kNone;
  Part part;
  GrantId grant;  // of kGrant
};
// A line of the log at level warn.
struct Complain {
  Failure failure;
};
using AccountAction = std::variant<SendRequest, SourceChanged, Complain>;
using AccountActions = std::vector<AccountAction>;

// All moments are of the process's monotonic clock. Each must be read after the event came in: of an answer,
// after it was read from the socket; of a charge, right before it.
class Account {
 public:
  // At the start of a process's life, or when it takes over the gateway's pool address from another. It has
  // no grant, and no floor until a grant's life and the drift have passed, since a life before may have lent
  // it.
  Account(AccountOptions options, std::shared_ptr<const Budgets> budgets, Time now);

  // A request of `partner` that costs so many units: 1, or its hinted work in ms. Call it once for each
  // request, where it came in.
  Charged Charge(Time now, std::string_view partner, double units);
  // The request was refused everywhere or is proven not to have run. Puts back no more than what could have
  // been spent had it never come (Bucket::Credit), so nothing after a grant that shrank the bucket.
  void Credit(Time now, const Ticket& ticket);

  // An answer of the holder of `treasurer/N`. Late, repeated and overtaken ones change nothing.
  void Receive(Time now, std::size_t allocator, const Answer& answer, AccountActions* actions);
  // Call it at Next() or soon after.
  void Tick(Time now, AccountActions* actions);
  Time Next() const { return next_; }

  // Other budgets bind. A floor that differs is the smaller of both until an allocator has heard from all
  // gateways that they have the new ones.
  void Renew(Time now, std::shared_ptr<const Budgets> budgets, AccountActions* actions);
  // The process gives the gateway's pool address away: it lets its grants end, and has no floor from now on.
  void Retire(Time now);

  // For operators.
  struct Line {
    std::string partner;
    PartnerAccount::Source source = PartnerAccount::Source::kNone;
    Part in_force;
    Ack held;
    Milli demand = 0;
  };
  std::vector<Line> Lines(Time now);  // of partners with recent traffic or a grant
  const Budgets& budgets() const { return *budgets_; }
  bool agreed() const { return agreed_; }

 private:
  struct Entry {
    PartnerAccount account;
    PartnerAccount::Source told = PartnerAccount::Source::kNone;  // in the last SourceChanged
    bool active = false;
  };
  Entry* Find(std::string_view partner);  // made at the first use; null: no budget
  void Activate(Time now, const std::string& partner, Entry& entry);
  void Tell(Time now, const std::string& partner, Entry& entry, AccountActions* actions);
  void SendOut(std::vector<Request> requests, AccountActions* actions);
  void Agree(Time now);

  const AccountOptions options_;
  std::shared_ptr<const Budgets> budgets_;
  const Time begun_;
  Time floors_from_;
  std::map<std::string, Entry, std::less<>> entries_;
  std::map<std::string, Entry*> active_;
  Time next_;
  std::uint64_t ask_ = 0;                // the last one's number
  std::map<std::uint64_t, Time> asked_;  // moments of asks whose grants may still be in force
  bool agreed_ = true;
  Time greet_at_ = Time::max();
  bool retired_ = false;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_ACCOUNT_H_
