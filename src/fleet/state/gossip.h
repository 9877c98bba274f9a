// SPDX-License-Identifier: Apache-2.0
//
// How shared state goes between members: news on every message that has room, a new verdict or duty's fact to
// a few members at once, and what differs with each sync of membership. Owns no socket and no clock.
#ifndef LOAD_BALANCER_FLEET_STATE_GOSSIP_H_
#define LOAD_BALANCER_FLEET_STATE_GOSSIP_H_

#include <cstdint>
#include <optional>
#include <string>

#include "fleet/membership/membership.h"
#include "fleet/section.h"
#include "fleet/state/state.h"

namespace load_balancer::fleet {

class StateGossip {
 public:
  // Called from within the calls below; has AddTo called for each message.
  class Outlet {
   public:
    virtual ~Outlet() = default;
    virtual void Send(const Udp::endpoint& to, const Message& message) = 0;
  };

  // `name` is this member's. `host` and `outlet` outlive this.
  StateGossip(const FleetSection& section, const std::string& name, SharedState::Host& host, Outlet& outlet);

  // From now on there are others to tell. `membership` outlives this or the call of Stop.
  void Join(Membership* membership) { membership_ = membership; }
  void Stop() { membership_ = nullptr; }

  // A message of any kind, after membership has it. True if a peer's whole table and state have now come for
  // the first time.
  bool Receive(UnixMs now, const Message& message);
  // Adds entries as far as there is room, or, to a table, the digests of them all.
  void AddTo(UnixMs now, Message* message);

  // This member's own. A key's site waits for the next message that has room.
  void Tell(UnixMs now, Verdict verdict);
  void Tell(UnixMs now, KeySite site) { state_.Write(now, std::move(site)); }
  void Tell(UnixMs now, DutyFact fact);

  SharedState& state() { return state_; }

 private:
  Message FromHere(Message::Kind kind) const;
  void Push(UnixMs now);
  void OnAsk(UnixMs now, const Message& message);
  void SendUnlike(UnixMs now, const Udp::endpoint& to, const Buckets& theirs);
  void Send(const Udp::endpoint& to, std::vector<nlohmann::json> pieces);

  const std::string fleet_, name_;
  Outlet& outlet_;
  SharedState state_;
  Membership* membership_ = nullptr;
  bool joined_ = false;
  std::optional<std::uint64_t> joining_digest_;
  std::uint64_t start_;  // of the next answer's range
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_GOSSIP_H_
