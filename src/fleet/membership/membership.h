// SPDX-License-Identifier: Apache-2.0
//
// Who is present: SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey, 2018). Owns no
// socket and no clock: time and messages come in, messages and changes go out. Bounds are in docs/fleet.md.
#ifndef BRACKENSPOKE_FLEET_MEMBERSHIP_MEMBERSHIP_H_
#define BRACKENSPOKE_FLEET_MEMBERSHIP_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "fleet/wire/message.h"

namespace brackenspoke::fleet {

inline constexpr int kMostHealth = 8;              // Lifeguard's S: the worst local health score
inline constexpr int kConfirmations = 3;           // Lifeguard's K
inline constexpr int kLongestSuspicion = 6;        // Lifeguard's beta: the longest over the shortest
inline constexpr std::size_t kMostMembers = 4096;  // entries of the table
inline constexpr std::size_t kLeaveFanout = 16;    // members told at once of a leave

struct MembershipOptions {
  std::string fleet, name;
  Udp::endpoint address;             // where others reach this member
  std::vector<Udp::endpoint> seeds;  // whom to ask first; may hold `address`
  std::chrono::milliseconds probe_interval{1000};
  int suspicion_multiplier = 4;
  int indirect_probes = 3;
  int retransmit_multiplier = 4;
  std::chrono::milliseconds sync_interval{10000};
  std::chrono::milliseconds forget_after{3600000};  // from dead or left until the entry is dropped
  std::uint64_t incarnation = 1;                    // to begin with
  std::uint64_t seed = 0;                           // for the order of probes
};

// A member as this one sees it.
struct Member {
  Update last;   // the claim that holds
  Time since{};  // of its state
};

// The shortest suspicion in a fleet of `members`: multiplier x max(1, log10 n) probe intervals.
Span ShortestSuspicion(const MembershipOptions& options, std::size_t members);
// From a member's death until every other member holds it as dead, as long as no message is lost and no
// prober's health score is over 0: 2n intervals until it is probed and suspected, the longest suspicion, and
// the intervals that news may take.
Span DetectionBound(const MembershipOptions& options, std::size_t members);
// Times that a member passes each piece of news on: multiplier x ceil(log10(n + 1)).
int MostTransmits(const MembershipOptions& options, std::size_t members);

class Membership {
 public:
  // What goes out. Called from within the calls below, and must not call back.
  class Outlet {
   public:
    virtual ~Outlet() = default;
    virtual void Send(const Udp::endpoint& to, const Message& message) = 0;
    // A member's state is new (this member's included); `before` is nothing for one that was not known, and
    // `why` is one word or a name.
    virtual void Changed(const Member& member, std::optional<MemberState> before, std::string_view why) = 0;
    // This process stood still for so long.
    virtual void Stalled(Span late) = 0;
    // Another process has this one's name at a newer incarnation: this one is silent from now on.
    virtual void Displaced(const Udp::endpoint& by) = 0;
  };

  Membership(MembershipOptions options, Time now, Outlet& outlet);

  void Receive(Time now, const Message& message);
  // What is due by now. To be called at Next() or soon after.
  void Tick(Time now);
  Time Next() const;

  // Raises this member's incarnation to at least this.
  void Outlive(Time now, std::uint64_t incarnation);
  // Announces that this member goes; it is silent from then on, but for Rejoin.
  void Leave(Time now);
  void Rejoin(Time now);

  const Member& self() const { return self_; }
  // By name, this member not among them.
  const std::map<std::string, Member>& others() const { return others_; }
  // Alive or suspect, this member included unless it has left.
  std::size_t present() const;
  int health() const { return health_; }
  const MembershipOptions& options() const { return options_; }
  // Up to `most` other members that are present, at random.
  std::vector<Udp::endpoint> Sample(std::size_t most);

 private:
  struct Probe {
    std::string target;
    std::uint64_t sequence = 0;
    Time indirect_at{}, ends_at{};
    bool acked = false, asked_others = false;
    int nacks_due = 0;
  };
  struct Errand {  // a ping on behalf of another member
    Udp::endpoint requester;
    std::uint64_t sequence = 0;  // the requester's
    Time nack_at{};
  };
  struct Suspicion {
    Time began{}, ends{};
    Span shortest{}, longest{};
    int wanted = 0;  // confirmations that bring it down to the shortest
    std::set<std::string> accusers;
  };
  struct News {
    Update update;
    int transmits = 0;
  };

  void OnPing(Time now, const Message& message);
  void OnPingReq(Time now, const Message& message);
  void OnAck(Time now, const Message& message);
  void OnSync(Time now, const Message& message);

  // A claim from a message of `from`; of a table one that a member is dead is a suspicion only.
  void Apply(Time now, Update update, std::string_view from, bool of_table);
  void ApplyToSelf(Time now, const Update& update);
  void ApplyNew(Time now, const Update& update, std::string_view why);
  static bool Overrides(const Update& update, const Update& held);
  void Set(Time now, Member& member, const Update& update, std::string_view why);
  void Suspect(Time now, const std::string& name, const std::string& accuser);
  void StartSuspicion(Time now, const Update& update);
  void Confirm(Time now, const Update& update);
  void Refute(Time now, std::uint64_t over);

  void AbsorbStall(Time now);
  void EndProbe(Time now);
  void BeginProbe(Time now);
  void AskOthers();
  void EndSuspicions(Time now);
  void EndErrands(Time now);
  void PingSuspects();
  void Sync(Time now);
  void Forget(Time now);
  void Join();

  std::optional<std::string> NextTarget();
  std::vector<const Member*> Some(std::size_t most, bool present, const std::string& but);
  Message Make(Message::Kind kind, std::uint64_t sequence) const;
  void Ping(const Member& member, std::uint64_t sequence);
  // Adds what the receiver must hear of itself, and news as far as there is room.
  void SendWithNews(const Udp::endpoint& to, const std::string& receiver, Message message);
  void Ask(const Udp::endpoint& to);
  void SendTable(const Udp::endpoint& to, bool reply);
  std::uint64_t TableDigest() const;
  void Spread(const Update& update);
  void Worsen(int by);
  Span Scaled(Span span) const { return span * (health_ + 1); }

  const MembershipOptions options_;
  Outlet& outlet_;
  std::mt19937_64 random_;
  Member self_;
  bool silent_ = false;  // left or displaced
  bool displaced_ = false;
  std::map<std::string, Member> others_;
  std::map<std::string, Suspicion> suspicions_;
  std::map<std::string, News> news_;
  std::map<std::uint64_t, Errand> errands_;
  std::vector<std::string> round_;  // whom to probe yet, from the back
  std::optional<Probe> probe_;
  std::uint64_t last_sequence_ = 0;
  int health_ = 0;
  Time next_probe_{}, next_sync_{};
};

}  // namespace brackenspoke::fleet

#endif  // BRACKENSPOKE_FLEET_MEMBERSHIP_MEMBERSHIP_H_
