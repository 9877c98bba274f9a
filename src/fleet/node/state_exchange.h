// SPDX-License-Identifier: Apache-2.0
//
// Shared state on a process's own clock, with a log line of what is taken and what is refused.
#ifndef LOAD_BALANCER_FLEET_NODE_STATE_EXCHANGE_H_
#define LOAD_BALANCER_FLEET_NODE_STATE_EXCHANGE_H_

#include <string>
#include <utility>

#include "base/time.h"
#include "base/wall_clock.h"
#include "fleet/node/fleet_listener.h"
#include "fleet/section.h"
#include "fleet/state/gossip.h"

namespace load_balancer::fleet {

class StateExchange : private SharedState::Host {
 public:
  // Called from within the calls below.
  class Host : public StateGossip::MessageSender {
   public:
    // Another member's fact of a duty, taken for the first time.
    virtual void OnFact(const FencedValue& fact) = 0;
  };

  // `component` speaks in the log. `facts` and `host` outlive this.
  StateExchange(const FleetSection& section, const std::string& name, std::string component,
                FleetListener& facts, Host& host);

  // From now on there are others to tell. `membership` outlives this or the call of Stop.
  void Join(Membership* membership) { gossip_.Join(membership); }
  void Stop() { gossip_.Stop(); }

  void Receive(const Message& message);
  // Adds entries as far as there is room, or, to a table, the digests of them all.
  void AttachState(Message* message) { gossip_.AttachState(UnixMilliseconds(), message); }

  // This process's own. A key's site waits for the next message that has room.
  void Announce(Ejection ejection) { gossip_.Announce(UnixMilliseconds(), std::move(ejection)); }
  void Announce(KeyAffinity affinity) { gossip_.Announce(UnixMilliseconds(), std::move(affinity)); }
  void Announce(FencedValue fenced) { gossip_.Announce(UnixMilliseconds(), std::move(fenced)); }

  SharedState::Summary Summarize();

 private:
  bool IsListed(const std::string& server) const override;
  void OnAccepted(const Entry& entry) override;
  void OnRejected(const std::string& subject, const std::string& origin, EntryRejection rejection) override;

  bool MayLogRefusal();

  const std::string name_, component_;
  FleetListener& facts_;
  Host& host_;
  StateGossip gossip_;
  Time refusals_from_{};  // of the count that follows
  int refusals_ = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_STATE_EXCHANGE_H_
