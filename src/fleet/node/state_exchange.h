// SPDX-License-Identifier: Apache-2.0
//
// How shared state goes between members: news on every message that has room, a new verdict or duty's fact to
// a few members at once, and everything where digests differ.
#ifndef BRACKENSPOKE_FLEET_NODE_STATE_EXCHANGE_H_
#define BRACKENSPOKE_FLEET_NODE_STATE_EXCHANGE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "fleet/membership/membership.h"
#include "fleet/node/facts.h"
#include "fleet/section.h"
#include "fleet/state/state.h"

namespace brackenspoke::fleet {

class StateExchange : private SharedState::Host {
 public:
  // Called from within the calls below.
  class Host {
   public:
    virtual ~Host() = default;
    virtual void Send(const Udp::endpoint& to, const Message& message) = 0;
    // Another member's fact of a duty, taken for the first time.
    virtual void OnFact(const DutyFact& fact) = 0;
  };

  // `component` speaks in the log. `facts` and `host` outlive this.
  StateExchange(const FleetSection& section, const std::string& name, std::string component, Facts& facts,
                Host& host);

  // From now on there are others to tell. `membership` outlives this or the call of Stop.
  void Join(Membership* membership) { membership_ = membership; }
  void Stop() { membership_ = nullptr; }

  void Receive(const Message& message);
  // Adds entries as far as there is room, or, to a table, the digest of them all.
  void AddTo(Message* message);

  // This process's own. A key's site waits for the next message that has room.
  void Tell(Verdict verdict);
  void Tell(KeySite site);
  void Tell(DutyFact fact);

  SharedState::Summary Summarize();

 private:
  bool Listed(const std::string& server) const override;
  void Taken(const Entry& entry) override;
  void Refused(const std::string& about, const std::string& origin, Refusal why) override;

  Message FromHere() const;
  void Push();
  void SendAll(const Udp::endpoint& to);
  void AskForState(const Udp::endpoint& to);
  bool MayLogRefusal();

  const std::string fleet_, name_, component_;
  Facts& facts_;
  Host& host_;
  SharedState state_;
  Membership* membership_ = nullptr;
  bool joined_ = false;
  std::optional<std::uint64_t> joining_digest_;
  Time refusals_from_{};  // of the count that follows
  int refusals_ = 0;
};

}  // namespace brackenspoke::fleet

#endif  // BRACKENSPOKE_FLEET_NODE_STATE_EXCHANGE_H_
