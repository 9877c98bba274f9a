// SPDX-License-Identifier: Apache-2.0
//
// This process as a member of its fleet: the UDP socket, the timer, the counts of what was dropped, and the
// log lines of every change. Membership itself is in membership.h; nothing here bears on where a request
// goes.
#ifndef BRACKENSPOKE_FLEET_NODE_NODE_H_
#define BRACKENSPOKE_FLEET_NODE_NODE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "fleet/lease/leases.h"
#include "fleet/lease/vote_file.h"
#include "fleet/membership/membership.h"
#include "fleet/section.h"
#include "fleet/state/state.h"

namespace brackenspoke::fleet {

struct Counts {
  std::uint64_t received = 0, sent = 0;              // datagrams
  std::uint64_t bytes_received = 0, bytes_sent = 0;  // of datagrams
  std::array<std::uint64_t, kDrops> dropped{};       // received, by Drop
  std::uint64_t throttled = 0;                       // not sent, for the sake of most_bytes_per_second
};

// What the fleet tells the proxy that this process is.
class Facts {
 public:
  virtual ~Facts() = default;
  // Whether discovery's list has the server now.
  virtual bool Listed(const std::string& server) const = 0;
  virtual void OnVerdict(const Verdict& verdict) = 0;
  virtual void OnKey(const KeySite& site, UnixMs met) = 0;
  // Of the fleet's limit of requests in flight at one server, what is this process's.
  virtual void OnShare(int most_in_flight) = 0;
  // A peer's whole table and state have come for the first time.
  virtual void OnJoined() = 0;
  // What this process is to a duty from now on.
  virtual void OnRole(const std::string& duty, Role role) = 0;
  // The holder of a duty has made this known.
  virtual void OnDutyFact(const DutyFact& fact) = 0;
};

// The duties that are done by one member at a time: discovery is available, maintenance exclusive.
inline constexpr char kDiscoveryDuty[] = "discovery", kMaintenanceDuty[] = "maintenance";

class Node : private Membership::Outlet, private SharedState::Host, private Leases::Outlet {
 public:
  // Joins at once, or, while another process holds the address (one that this one replaces), as soon as that
  // one leaves it. `name` is the member's, `seed` for random numbers. `facts` outlives this and is called
  // from the event loop only, never from within the constructor. `votes` is the file that keeps this voter's
  // votes; empty: they are in memory alone.
  Node(boost::asio::io_context& io, const FleetSection& section, const std::string& name, std::uint64_t seed,
       Facts& facts, std::string votes = "");

  void Leave();
  void Rejoin();
  // Leaves, and leaves the address to another process.
  void Stop();

  // For the process's next life; and what a life before had. To be called before the event loop runs.
  struct Kept {
    std::uint64_t incarnation = 0;
    std::map<std::string, Token> tokens;
  };
  Kept Keep() const;
  void Restore(const Kept& kept);

  // What this process has found, for its peers.
  void Tell(Verdict verdict);
  void Tell(KeySite site);

  // Whether this process is to do the duty: it holds the lease, or there are no leases, or, of an available
  // duty, no quorum for one.
  bool Does(const std::string& duty) const;
  // The right to act for the duty; nothing unless this process holds its lease.
  std::optional<LeaseGuard> Guard(const std::string& duty) const;
  // Whether duties have leases here; without them each process does each duty.
  bool leased() const { return section_.lease_term.count() > 0; }
  // Another member is known to hold it.
  bool FollowerOf(const std::string& duty) const;
  // Of the lease that this process holds; 0 if it holds none.
  Token HeldToken(const std::string& duty) const;
  std::string HolderOf(const std::string& duty) const;
  // Makes a fact of the guard's duty known for so long, under its token. Refuses with kPastDeadline.
  Result<void> Publish(const LeaseGuard& guard, const std::string& key, nlohmann::json value, Span lasts);

  // One line: every duty as "duty role holder token left".
  std::string DescribeLeases() const;
  // One line: of each kind of shared state how much is held, its newest and oldest age, the share of the
  // limit, and what was refused.
  std::string DescribeState();
  // One line: every member as "name state incarnation age", this one first, and the counts.
  std::string Describe() const;
  const Counts& counts() const { return counts_; }

 private:
  void Send(const Udp::endpoint& to, const Message& message) override;
  void Changed(const Member& member, std::optional<MemberState> before, std::string_view why) override;
  void Stalled(Span late) override;
  void Displaced(const Udp::endpoint& by) override;

  bool Listed(const std::string& server) const override;
  void Taken(const Entry& entry) override;
  void Refused(const std::string& about, const std::string& origin, Refusal why) override;

  void Send(const Udp::endpoint& to, const LeaseMessage& message) override;
  void OnRole(const std::string& duty, Role role, Token token, Span left, std::string_view why) override;
  void OnFailure(const Failure& failure) override;

  void Open();
  void StartLeases();
  void LoadVotes(LeaseOptions* options);
  void Receive();
  void OnDatagram(std::size_t size);
  void Count(Drop drop);
  void ReportDrops();
  void ReceiveState(const Message& message);
  void SendState(const Udp::endpoint& to);
  void PushState();
  void AddState(Message* message);
  void TakenFact(const DutyFact& fact);
  bool MayLogRefusal();
  void Settle();
  void UpdateShare();
  int Share() const;
  void Arm();
  bool MaySend(std::size_t size);

  const FleetSection section_;
  Udp::socket socket_;
  boost::asio::steady_timer timer_, again_, settle_;
  Facts& facts_;
  SharedState state_;
  std::array<std::uint8_t, kMostDatagram + 1> in_{};
  Udp::endpoint from_;
  Counts counts_, reported_;
  Time report_at_{};
  double allowance_;  // bytes that may be sent now
  Time allowed_at_;
  const std::string name_;
  const std::uint64_t seed_;
  bool stopped_ = false, waits_ = false;
  bool away_ = false;                     // told to leave while the address was not to be had
  std::optional<Membership> membership_;  // once the address is had
  std::string holder_;  // the name, the incarnation, and a mark that differs even if the wall clock went back
  const std::string votes_path_;
  std::unique_ptr<VoteFile> votes_;
  std::optional<Leases> leases_;  // where they are wanted
  Time armed_{};
  Kept kept_;  // of a life before
  bool joined_ = false;
  std::optional<std::uint64_t> joining_digest_;
  bool settled_ = false;  // every member may be taken to know of this one
  int share_ = -1;        // as last told
  Time refusals_from_{};  // of the count that follows
  int refusals_ = 0;
};

}  // namespace brackenspoke::fleet

#endif  // BRACKENSPOKE_FLEET_NODE_NODE_H_
