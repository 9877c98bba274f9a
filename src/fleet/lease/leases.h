// SPDX-License-Identifier: Apache-2.0
//
// Leases of duties that one member does at a time (Gray, Cheriton: "Leases: An Efficient Fault-Tolerant
// Mechanism for Distributed File Cache Consistency", 1989), granted by a majority of voters, each with a
// fencing token that only grows. The candidate's and holder's side, with this member's vote beside it. Owns
// no socket and no clock. Protocol, bounds and the argument are in docs/leases.md.
#ifndef LOAD_BALANCER_FLEET_LEASE_LEASES_H_
#define LOAD_BALANCER_FLEET_LEASE_LEASES_H_

#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "fleet/lease/acquisition.h"
#include "fleet/lease/denial_reporter.h"
#include "fleet/lease/fencing.h"
#include "fleet/lease/message.h"
#include "fleet/lease/voter.h"
#include "fleet/lease/voter_set.h"

namespace load_balancer::fleet {

struct LeaseOptions {
  using Endpoint = boost::asio::ip::udp::endpoint;
  std::string holder;            // who this is: the member's name and a mark of this life of it
  Endpoint address;              // where the others reach this member
  std::vector<Endpoint> voters;  // may hold `address`
  std::chrono::milliseconds term{3000};
  std::chrono::milliseconds drift{100};  // that a clock may gain or lose over a term
  std::vector<DutySpec> duties;
  std::uint64_t seed = 0;
  std::optional<StoredVotes> votes;  // what a life before has kept; nothing: that is not known
  VoteStore* store = nullptr;        // null: votes are in memory alone; outlives the leases
  bool may_vote = true;              // false: this voter grants nothing
};

enum class Role { kAlone, kHolder, kFollower, kWaiting };
std::string_view Name(Role role);

class Leases {
 public:
  using Endpoint = LeaseOptions::Endpoint;

  // What goes out. Called from within the calls below, and must not call back.
  class Outlet {
   public:
    virtual ~Outlet() = default;
    virtual void Send(const Endpoint& to, const LeaseMessage& message) = 0;
    // A duty's role is new, or, for `why` "renewed", the same for longer. The holder stops in `left`.
    virtual void OnRole(const std::string& duty, Role role, Token token, Span left, std::string_view why) = 0;
    // A voter refuses for a reason that an operator has to mend; once for each voter and reason, until it
    // grants.
    virtual void OnFailure(const Failure& failure) = 0;
  };

  // `wall` is Unix milliseconds here and below.
  Leases(LeaseOptions options, Time now, Outlet& outlet);

  // One more duty from now on; nothing if it is known.
  void Add(Time now, const DutySpec& duty);

  void Receive(Time now, const Endpoint& from, const LeaseMessage& message);
  // A holder has made known that it has the lease for `left` longer.
  void Hear(Time now, const std::string& duty, const std::string& holder, Token token, Span left);
  void Tick(Time now, std::uint64_t wall);
  Time Next() const;

  // Gives up what it holds, and asks for nothing until Resume. No guard holds any more. A lease whose acts
  // have effects (LeaseGuard::Outlasts) is not given back, but runs out.
  void Release(Time now);
  void Resume(Time now);

  // A token that has been seen in a life before.
  void Outgrow(const std::string& duty, Token token);
  Token largest(const std::string& duty) const { return duties_.at(duty).largest; }

  // The right to act, if the lease is held at `now`.
  std::optional<LeaseGuard> Guard(Time now, const std::string& duty) const;

  // By the clock as it is, not as it was at the last Tick: a process that stood still must not act.
  Role role(Time now, const std::string& duty) const;
  DutyKind kind(const std::string& duty) const { return duties_.at(duty).kind; }
  // Of the lease that is held or followed; 0: of none.
  Token token(const std::string& duty) const { return duties_.at(duty).token; }
  std::string holder(const std::string& duty) const { return duties_.at(duty).holder; }
  Span left(Time now, const std::string& duty) const;

  // Appends all that decides what this will do, times as spans from `now`: two that append the same go on
  // alike. For searches that must not look at one state twice.
  void Fingerprint(Time now, std::vector<std::uint64_t>* words) const;

 private:
  struct Duty {
    DutyKind kind = DutyKind::kExclusive;
    Role role = Role::kWaiting;
    std::string holder;
    Token token = 0, largest = 0;  // largest: that has been heard of
    Time until{};                  // of the lease held or followed, or of the wait
    Time next_try{};
    std::shared_ptr<HeldLease> lease;  // while held
    Time effects_until{};              // of what was done under leases that are over
    Bid bid;
    int failed = 0;  // bids, one after another
    // The last token that was given back: how often, and when, that is said again.
    Token given_back = 0;
    int releases = 0;
    Time next_release{};
  };

  void Ask(Time now, const std::string& name, Duty& duty, Token token);
  void Repeat(Time now, const std::string& name, Duty& duty);
  LeaseMessage Request(const std::string& name, const Duty& duty) const;
  std::size_t Majority() const;
  void OnGrant(Time now, const Endpoint& from, const LeaseMessage& message);
  void OnDeny(Time now, const Endpoint& from, const LeaseMessage& message);
  void GiveBack(Time now, const std::string& name, Duty& duty);
  void SayReleased(Time now, const std::string& name, Duty& duty);
  void EndRequest(Time now, const std::string& name, Duty& duty);
  void OnTimeUp(Time now, const std::string& name, Duty& duty);
  void Set(Time now, const std::string& name, Duty& duty, Role role, Time until, std::string_view why);
  void Deliver(Time now, const Endpoint& to, const LeaseMessage& message);
  static bool Ends(const Duty& duty);
  Span Random(Span from, Span to);

  const LeaseOptions options_;
  const LeaseTerms terms_;
  Outlet& outlet_;
  Voter voter_;
  std::map<std::string, Duty> duties_;
  std::uint64_t requests_;   // the number of the last one
  std::uint64_t draws_ = 0;  // of random spans
  Complaints complaints_;
  bool released_ = false;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_LEASES_H_
