// SPDX-License-Identifier: Apache-2.0
//
// Spill: whether a request that this site cannot serve goes to a gateway of a neighbour site, and to which.
// A function of its events and its seed: no clock, no socket, no threads. State and rules: docs/spill.md.
#ifndef LOAD_BALANCER_OVERFLOW_OVERFLOW_ROUTER_H_
#define LOAD_BALANCER_OVERFLOW_OVERFLOW_ROUTER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/error/failure.h"
#include "base/time.h"
#include "overflow/admission_threshold.h"
#include "overflow/estimate.h"
#include "overflow/key_affinity.h"
#include "overflow/options.h"
#include "overflow/remote_gateways.h"
#include "overflow/rules.h"
#include "overflow/token_bucket.h"

namespace load_balancer::overflow {

// ---- events, besides Refused of rules.h ---------------------------------------------------------------
// An estimate of any site, this one's among them: from the federation pool, an answer's header, or made by
// the ambassador in this very process. `wall` is this machine's Unix ms.
struct EstimateHeard {
  Estimate estimate;
  UnixMs wall = 0;
};
// How a SendTo ended. Every one ends by exactly one of these, or by ClientGone.
enum class SpillOutcome {
  kOk,         // the neighbour's final answer went to the client, whatever it says
  kRefused,    // the neighbour says that it did not run and took nothing of it on
  kNotRun,     // never sent: no connection
  kMayHaveRun  // sent, and no answer: time-out, reset, or an answer that does not say
};
struct SpillAnswered {
  RequestId request = 0;
  Neighbour neighbour;  // as in the SendTo
  SpillOutcome outcome = SpillOutcome::kMayHaveRun;
  Span took{0};
  std::optional<EstimateHeard> estimate;  // that the answer carried
};
// Nobody waits for the request any longer; nothing further is said of it.
struct ClientGone {
  RequestId request = 0;
};
// Whether the federation pool has a neighbour's gateway as present.
struct Presence {
  Neighbour neighbour;
  bool present = true;
};
// The time of a SetTimer has come; also to be sent once at the start.
struct Tick {};
// Other settings bind from here on.
struct NewSettings {
  Options options;
  Directory sites;
};
using Event = std::variant<Refused, EstimateHeard, SpillAnswered, ClientGone, Presence, Tick, NewSettings>;

// ---- actions ------------------------------------------------------------------------------------------
// Hand the request to that gateway, marked as spilled, and give it up after `timeout`.
struct SendTo {
  RequestId request = 0;
  Neighbour neighbour;
  Span timeout{0};
};
// Final: the request gets its answer at once.
struct GiveUp {
  RequestId request = 0;
  bool may_have_run = false;  // then it promises nothing; otherwise another try is harmless
  Span retry_after{0};        // 0: no advice
  Why why = Why::kNoShare;
};
// One decision that changes who serves what; or, with `kind` set, a fault, and `text` is what it is about.
struct Log {
  const FailureKind* kind = nullptr;
  std::string text;
};
struct SetTimer {
  Time at{};
};
using Action = std::variant<SendTo, GiveUp, Log, SetTimer>;

class Spill {
 public:
  // `sites` has this site and this gateway among them.
  Spill(Options options, Directory sites, std::string own_site, std::uint64_t seed, Time now);

  // Appends what is to be done at `now` because of `event`. `now` never falls. Every Refused gets one SendTo
  // or GiveUp at once, every SpillAnswered of an open request another SendTo, a GiveUp, or nothing after kOk.
  void Handle(Time now, const Event& event, std::vector<Action>* actions);

  // The newest known of a site, to be carried by answers to spilled requests; null: none.
  const Estimate* EstimateOf(const std::string& site) const { return estimates_.Find(site); }

  struct Counts {
    std::uint64_t sent = 0, answered = 0, refused = 0, not_run = 0, may_have_run = 0, gone = 0;
    std::array<std::uint64_t, kWhys> given_up{};  // by Why
  };
  const Counts& counts() const { return counts_; }
  std::size_t open() const { return open_.size(); }
  // One line for an operator: each site with what it says, its age, this gateway's share, and the counts, of
  // those given up by why.
  std::string Describe(Time now) const;

 private:
  struct Open {
    Refused request;
    Time aim_at{}, deadline_at{};
    double kept_free = 0;  // part of a share that is left to those of higher worth
    int attempts = 0;
    std::set<std::string> tried;  // sites
    Neighbour at;
  };

  void On(const Refused& event);
  void On(const EstimateHeard& event);
  void On(const SpillAnswered& event);
  void On(const ClientGone& event);
  void On(const Presence& event);
  void On(const Tick& event);
  void On(const NewSettings& event);

  // Sends the request on or, with why not, nothing.
  std::optional<Why> TrySend(Open& open);
  std::optional<Why> Choose(const Open& open, Neighbour* chosen);
  // Whether the site could take it; if not, why not.
  std::optional<Why> Unfit(const Open& open, const std::string& site);
  Neighbour PickGateway(const std::string& site);
  void End(RequestId request, Why why, bool may_have_run);
  void Hear(const EstimateHeard& event);
  void Judge(const Neighbour& neighbour, bool good);
  // Brings the share of each neighbour to what its estimate says now.
  void UpdateShares();
  // Whether the site's gateways may spill now: unless it is known to be quiet.
  bool MaySpill(const std::string& site) const;
  // Whether the request is worth enough for what is offered to this gateway now; sets what it leaves free.
  bool WorthIt(Open& open);
  void Complain(const Failure& failure);
  void ReportState();
  std::size_t Below(std::size_t bound);

  Time now_{};
  std::vector<Action>* out_ = nullptr;
  Options options_;
  Directory sites_;
  const std::string own_site_;
  std::mt19937_64 random_;
  Estimates estimates_;
  Neighbours neighbours_;
  StickyKeys keys_;
  Price price_;
  std::map<std::string, Share> shares_;
  std::map<RequestId, Open> open_;
  bool spilling_ = false;  // as last told
  Time next_complaint_{};
  Counts counts_;
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_OVERFLOW_ROUTER_H_
