// SPDX-License-Identifier: Apache-2.0
//
// Decides whether a request that this site cannot serve is forwarded to another site, and to which gateway.
// The router is a deterministic function of its events and its seed: it uses no clock, socket or thread. Its
// state and rules are described in docs/spill.md.
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

// ---- events, besides RejectedRequest in rules.h --------------------------------------------------------
// EstimateReceived carries an estimate of any site, including this one. It comes from the federation pool,
// from a header of a response, or from the publisher in this process. `wall` is this machine's Unix time in
// ms.
struct EstimateReceived {
  Estimate estimate;
  UnixMs wall = 0;
};
// ForwardOutcome says how a ForwardTo ended.
enum class ForwardOutcome {
  kOk,         // the other gateway's final response went to the client, whatever its status
  kRejected,   // the other gateway states that it rejected the request and ran no part of it
  kNotRun,     // the request was never sent, as there was no connection
  kMayHaveRun  // it was sent, but timed out, was reset, or got a response that does not say whether it ran
};
// ForwardEnded reports the end of a ForwardTo. Each ForwardTo ends with exactly one ForwardEnded or
// ClientGone.
struct ForwardEnded {
  RequestId request = 0;
  RemoteGateway destination;  // the same as in the ForwardTo
  ForwardOutcome outcome = ForwardOutcome::kMayHaveRun;
  Span took{0};
  std::optional<EstimateReceived> estimate;  // from a header of the response
};
// ClientGone reports that the client no longer waits for the request. The router returns no ForwardTo or
// GiveUp for this request afterwards.
struct ClientGone {
  RequestId request = 0;
};
// PresenceChanged reports whether the federation pool counts a gateway of another site as present.
struct PresenceChanged {
  RemoteGateway gateway;
  bool present = true;
};
// Tick reports that the time of a SetTimer has come. The caller also sends a Tick when it starts.
struct Tick {};
// NewSettings replaces the options and the directory.
struct NewSettings {
  Options options;
  Directory sites;
};
using Event = std::variant<RejectedRequest, EstimateReceived, ForwardEnded, ClientGone, PresenceChanged, Tick,
                           NewSettings>;

// ---- actions -------------------------------------------------------------------------------------------
// ForwardTo tells the caller to forward the request to the gateway, marked as forwarded, and to end the
// attempt after `timeout`.
struct ForwardTo {
  RequestId request = 0;
  RemoteGateway destination;
  Span timeout{0};
};
// GiveUp tells the caller to send the rejection to the client at once. The router returns no further
// action for the request.
struct GiveUp {
  RequestId request = 0;
  bool may_have_run = false;  // if false, the response states that the request can safely be repeated
  Span retry_after{0};        // advice to the client when to retry; 0: none
  RejectReason reason = RejectReason::kNoCapacity;
};
// Log tells the caller to log a decision that affects which site serves requests. If `kind` is set, the
// decision is a failure, and `text` names what the failure concerns.
struct Log {
  const FailureKind* kind = nullptr;
  std::string text;
};
// SetTimer tells the caller to send a Tick at the given time.
struct SetTimer {
  Time at{};
};
using Action = std::variant<ForwardTo, GiveUp, Log, SetTimer>;

// OverflowRouter makes the decisions of one gateway.
class OverflowRouter {
 public:
  // `sites` includes this site and this gateway.
  OverflowRouter(Options options, Directory sites, std::string own_site, std::uint64_t seed, Time now);

  // Appends the actions that follow from `event` at `now`, which never decreases. Every RejectedRequest leads
  // at once to a ForwardTo or a GiveUp. Every ForwardEnded of an open request leads to another ForwardTo, to
  // a GiveUp, or to nothing if its outcome is kOk.
  void Handle(Time now, const Event& event, std::vector<Action>* actions);

  // Returns the newest estimate of the site, or null if there is none. Responses to forwarded requests carry
  // the estimate of the site that responds.
  const Estimate* FindEstimate(const std::string& site) const { return estimates_.Find(site); }

  struct Counts {
    std::uint64_t sent = 0, answered = 0, rejected = 0, not_run = 0, may_have_run = 0, client_gone = 0;
    std::array<std::uint64_t, kReasonCount> given_up{};  // by RejectReason
  };
  const Counts& counts() const { return counts_; }
  // Returns the number of forwarded requests that have not ended yet.
  std::size_t open() const { return open_.size(); }
  // Returns one line for an operator: the estimate of each site with its age and the rate of this gateway's
  // token bucket, and the counts. Requests given up are counted by reason.
  std::string Describe(Time now) const;

 private:
  struct Open {
    RejectedRequest request;
    Time objective_at{}, deadline_at{};
    double reserved_fraction = 0;  // fraction of a bucket's depth reserved for requests of higher weight
    int attempts = 0;
    std::set<std::string> tried;  // sites to which the request has been sent
    RemoteGateway destination;
  };

  void On(const RejectedRequest& event);
  void On(const EstimateReceived& event);
  void On(const ForwardEnded& event);
  void On(const ClientGone& event);
  void On(const PresenceChanged& event);
  void On(const Tick& event);
  void On(const NewSettings& event);

  // Forwards the request and returns nothing, or returns the reason for which it cannot be forwarded.
  std::optional<RejectReason> TryForward(Open& open);
  // Sets `chosen` to the destination, or returns the reason for which there is none.
  std::optional<RejectReason> Choose(const Open& open, RemoteGateway* chosen);
  // Returns the reason for which the site cannot take the request, or nothing if it can.
  std::optional<RejectReason> CheckSite(const Open& open, const std::string& site);
  RemoteGateway PickGateway(const std::string& site);
  void End(RequestId request, RejectReason reason, bool may_have_run);
  void UpdateEstimate(const EstimateReceived& event);
  // Counts a result towards the ejection of the gateway.
  void RecordResult(const RemoteGateway& gateway, bool success);
  // Sets the rate and depth of each site's token bucket from its present estimate.
  void UpdateBuckets();
  // Returns whether the site's gateways may forward requests now: always, unless the site is known to have
  // settled spare capacity.
  bool MayForward(const std::string& site) const;
  // Returns whether the request passes the admission threshold. Sets `open.reserved_fraction`, the fraction
  // of each bucket's depth that is reserved for requests of higher weight.
  bool PassesThreshold(Open& open);
  void LogFailure(const Failure& failure);
  // Logs when this site begins or ceases to forward requests.
  void LogState();
  // Returns a random index below `bound`.
  std::size_t RandomIndex(std::size_t bound);

  Time now_{};
  std::vector<Action>* actions_ = nullptr;
  Options options_;
  Directory sites_;
  const std::string own_site_;
  std::mt19937_64 random_;
  Estimates estimates_;
  RemoteGateways remote_gateways_;
  AffinityTable affinities_;
  AdmissionThreshold threshold_;
  std::map<std::string, TokenBucket> buckets_;  // by site
  std::map<RequestId, Open> open_;
  bool is_forwarding_ = false;  // the state that was logged last
  Time next_failure_log_at_{};
  Counts counts_;
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_OVERFLOW_ROUTER_H_
