// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The replicated state of this process: gossip on the wall clock, with a log line for each accepted ejection
/// and each rejected entry.
#ifndef LOAD_BALANCER_FLEET_NODE_STATE_EXCHANGE_H_
#define LOAD_BALANCER_FLEET_NODE_STATE_EXCHANGE_H_

#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "base/wall_clock.h"
#include "fleet/node/fleet_listener.h"
#include "fleet/section.h"
#include "fleet/state/gossip.h"

namespace load_balancer::fleet {

class StateExchange : private SharedState::Host {
 public:
  /// Called from within the calls below.
  class Host : public StateGossip::MessageSender {
   public:
    /// Another member's value of a duty has been accepted.
    virtual void OnFencedValue(const FencedValue& fenced) = 0;
  };

  /// `component` is the name in log lines. `listener` and `host` outlive this.
  StateExchange(const FleetSection& section, const std::string& name, std::string component,
                FleetListener& listener, Host& host);

  /// Entries are exchanged from now on. `membership` outlives this or the call of Stop.
  void Join(Membership* membership) { gossip_.Join(membership); }
  void Stop() { gossip_.Stop(); }

  void Receive(const Message& message);
  /// Adds entries as far as there is room, or, to a sync, the digests of all entries.
  void AttachState(Message* message) { gossip_.AttachState(UnixMilliseconds(), message); }

  /// Disseminates an entry of this process. An affinity waits for a message that has room.
  void Announce(Ejection ejection) { gossip_.Announce(UnixMilliseconds(), std::move(ejection)); }
  void Announce(KeyAffinity affinity) { gossip_.Announce(UnixMilliseconds(), std::move(affinity)); }
  void Announce(std::vector<FencedValue> values) { gossip_.Announce(UnixMilliseconds(), std::move(values)); }
  /// Sends what the bandwidth limit has held back. To be called now and then.
  void ContinuePush() { gossip_.ContinuePush(UnixMilliseconds()); }

  SharedState::Summary Summarize();

 private:
  bool IsListed(const std::string& server) const override;
  void OnAccepted(const Entry& entry) override;
  void OnRejected(const std::string& subject, const std::string& origin, EntryRejection rejection) override;

  void LogAcceptedEjection(const Ejection& ejection, const Version& version) const;
  bool MayLogRejection();

  const std::string name_;
  const std::string component_;
  FleetListener& listener_;
  Host& host_;
  StateGossip gossip_;
  Time rejections_counted_from_{};
  int rejections_ = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_STATE_EXCHANGE_H_
