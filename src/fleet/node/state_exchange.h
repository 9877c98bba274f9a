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
  class Host : public StateGossip::Outlet {
   public:
    // Another member's fact of a duty, taken for the first time.
    virtual void OnFact(const DutyFact& fact) = 0;
  };

  // `component` speaks in the log. `facts` and `host` outlive this.
  StateExchange(const FleetSection& section, const std::string& name, std::string component, Facts& facts,
                Host& host);

  // From now on there are others to tell. `membership` outlives this or the call of Stop.
  void Join(Membership* membership) { gossip_.Join(membership); }
  void Stop() { gossip_.Stop(); }

  void Receive(const Message& message);
  // Adds entries as far as there is room, or, to a table, the digests of them all.
  void AddTo(Message* message) { gossip_.AddTo(UnixMilliseconds(), message); }

  // This process's own. A key's site waits for the next message that has room.
  void Tell(Verdict verdict) { gossip_.Tell(UnixMilliseconds(), std::move(verdict)); }
  void Tell(KeySite site) { gossip_.Tell(UnixMilliseconds(), std::move(site)); }
  void Tell(DutyFact fact) { gossip_.Tell(UnixMilliseconds(), std::move(fact)); }

  SharedState::Summary Summarize();

 private:
  bool Listed(const std::string& server) const override;
  void Taken(const Entry& entry) override;
  void Refused(const std::string& about, const std::string& origin, Refusal why) override;

  bool MayLogRefusal();

  const std::string name_, component_;
  Facts& facts_;
  Host& host_;
  StateGossip gossip_;
  Time refusals_from_{};  // of the count that follows
  int refusals_ = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_STATE_EXCHANGE_H_
