// SPDX-License-Identifier: Apache-2.0
//
// Leases of duties that one member does at a time (Gray, Cheriton: "Leases: An Efficient Fault-Tolerant
// Mechanism for Distributed File Cache Consistency", 1989), granted by a majority of voters, each with a
// fencing token that only grows. Owns no socket and no clock. Bounds are in docs/fleet.md.
#ifndef BRACKENSPOKE_FLEET_LEASE_H_
#define BRACKENSPOKE_FLEET_LEASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "message.h"

namespace brackenspoke::fleet {

using Token = std::uint64_t;  // larger is newer

struct LeaseOptions {
  std::string holder;                 // who this is: the member's name and a mark of this life of it
  Udp::endpoint address;              // where the others reach this member
  std::vector<Udp::endpoint> voters;  // may hold `address`
  std::chrono::milliseconds term{3000};
  std::chrono::milliseconds drift{100};  // that clocks may differ over a term
  std::vector<std::string> duties;
  std::uint64_t seed = 0;
};

enum class Role { kAlone, kHolder, kFollower, kWaiting };
std::string_view Name(Role role);

class Leases {
 public:
  // What goes out. Called from within the calls below, and must not call back.
  class Outlet {
   public:
    virtual ~Outlet() = default;
    virtual void Send(const Udp::endpoint& to, const LeaseMessage& message) = 0;
    // A duty's role is new, or, for `why` "renewed", the same for another term. `until` is when the holder
    // stops.
    virtual void OnRole(const std::string& duty, Role role, Token token, Span left, std::string_view why) = 0;
  };

  // `wall` is Unix milliseconds here and below.
  Leases(LeaseOptions options, Time now, Outlet& outlet);

  void Receive(Time now, const Udp::endpoint& from, const LeaseMessage& message);
  // A holder has made known that it has the lease for `left` longer.
  void Hear(Time now, const std::string& duty, const std::string& holder, Token token, Span left);
  void Tick(Time now, std::uint64_t wall);
  Time Next() const;

  // Gives up what it holds, and asks for nothing until Resume.
  void Release(Time now);
  void Resume(Time now);

  // A token that has been seen in a life before.
  void Outgrow(const std::string& duty, Token token);
  Token largest(const std::string& duty) const { return duties_.at(duty).largest; }

  // By the clock as it is, not as it was at the last Tick: a process that stood still must not act.
  Role role(Time now, const std::string& duty) const;
  // Of the lease that is held or followed; 0: of none.
  Token token(const std::string& duty) const { return duties_.at(duty).token; }
  std::string holder(const std::string& duty) const { return duties_.at(duty).holder; }
  Span left(Time now, const std::string& duty) const;

 private:
  struct Duty {
    Role role = Role::kAlone;
    std::string holder;
    Token token = 0, largest = 0;  // largest: that has been heard of
    Time until{};                  // of the lease held or followed, or of the wait
    Time next_try{};
    // The request under way.
    bool asking = false;
    Token asked = 0;
    Time asked_at{}, answers_by{};
    std::set<Udp::endpoint> granted;
  };
  // What a voter remembers.
  struct Vote {
    std::string holder;
    Token token = 0, largest = 0;
    Time until{};
  };

  void Ask(Time now, const std::string& name, Duty& duty, Token token);
  void OnAsk(Time now, const Udp::endpoint& from, const LeaseMessage& message);
  void OnGrant(Time now, const Udp::endpoint& from, const LeaseMessage& message);
  void OnDeny(Time now, const LeaseMessage& message);
  void GiveBack(const std::string& name, Duty& duty);
  void EndRequest(Time now, const std::string& name, Duty& duty);
  void Set(Time now, const std::string& name, Duty& duty, Role role, Time until, std::string_view why);
  void Deliver(Time now, const Udp::endpoint& to, const LeaseMessage& message);
  std::size_t Majority() const { return options_.voters.size() / 2 + 1; }
  Span Random(Span from, Span to);

  const LeaseOptions options_;
  Outlet& outlet_;
  std::mt19937_64 random_;
  std::map<std::string, Duty> duties_;
  std::map<std::string, Vote> votes_;
  Time votes_from_;  // before, a life of this voter that is forgotten may have granted
  bool released_ = false;
};

}  // namespace brackenspoke::fleet

#endif  // BRACKENSPOKE_FLEET_LEASE_H_
