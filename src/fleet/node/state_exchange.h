// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The replicated state of this process. Runs gossip with the time of the wall clock and logs accepted
/// ejections and rejected entries.
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

/// Exchanges replicated entries with the other members.
class StateExchange : private SharedState::Host {
 public:
  /// Sends messages and receives accepted values. Its functions are called only from within calls of
  /// StateExchange.
  class Host : public StateGossip::MessageSender {
   public:
    /// Called when a fenced value of another member has been accepted.
    virtual void OnFencedValue(const FencedValue& fenced) = 0;
  };

  /// `component` is the component name in log lines. `listener` and `host` must outlive this object.
  StateExchange(const FleetSection& section, const std::string& name, std::string component,
                FleetListener& listener, Host& host);

  /// Starts to exchange entries. `membership` must remain valid until Stop is called or this object is
  /// destroyed.
  void Join(Membership* membership) { gossip_.Join(membership); }
  void Stop() { gossip_.Stop(); }

  void Receive(const Message& message);
  /// Adds as many entries to the message as fit. To a sync message it adds the digests of all entries.
  void AttachState(Message* message) { gossip_.AttachState(UnixMilliseconds(), message); }

  /// Disseminates an entry of this process. An affinity is sent with a later message that has space for it.
  void Announce(Ejection ejection) { gossip_.Announce(UnixMilliseconds(), std::move(ejection)); }
  void Announce(KeyAffinity affinity) { gossip_.Announce(UnixMilliseconds(), std::move(affinity)); }
  void Announce(std::vector<FencedValue> values) { gossip_.Announce(UnixMilliseconds(), std::move(values)); }
  /// Sends entries that the bandwidth limit has delayed. Call this periodically.
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
