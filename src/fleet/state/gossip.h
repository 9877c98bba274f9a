// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Exchanges the replicated state between members. Every message carries as many new entries as fit. A new
/// ejection or fenced value is pushed to a few members immediately. When two members exchange their
/// membership tables, they also compare their entries and exchange those that differ. Uses no socket and no
/// clock of its own.
#ifndef LOAD_BALANCER_FLEET_STATE_GOSSIP_H_
#define LOAD_BALANCER_FLEET_STATE_GOSSIP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/membership/membership.h"
#include "fleet/section.h"
#include "fleet/state/state.h"

namespace load_balancer::fleet {

/// StateGossip sends and receives the entries of one member.
class StateGossip {
 public:
  /// MessageSender sends messages to members. StateGossip calls it from within its own functions. Its
  /// implementation of Send must call AttachState for each message.
  class MessageSender {
   public:
    virtual ~MessageSender() = default;
    virtual void Send(const Udp::endpoint& to, const Message& message) = 0;
    /// Sends a message with replicated state, which has a lower priority than probes and leases. Returns
    /// false and sends nothing if the remaining bandwidth is reserved for other messages.
    [[nodiscard]] virtual bool TrySend(const Udp::endpoint& to, const Message& message) = 0;
  };

  /// `name` is the name of this member. `host` and `sender` must outlive this object.
  StateGossip(const FleetSection& section, const std::string& name, SharedState::Host& host,
              MessageSender& sender);

  /// Starts the exchange of entries. `membership` must stay valid until Stop is called or this object is
  /// destroyed.
  void Join(Membership* membership) { membership_ = membership; }
  /// Stops the exchange of entries.
  void Stop() { membership_ = nullptr; }

  /// Processes a message of any kind, after membership has processed it. Returns true only once, when this
  /// member has first received the complete member table and state of a peer.
  bool Receive(UnixMs now, const Message& message);
  /// Adds to a message as many entries as fit. If the message is a sync, adds the digests of all entries
  /// instead.
  void AttachState(UnixMs now, Message* message);

  /// Pushes the entries that the bandwidth limit has delayed. Must be called periodically.
  void ContinuePush(UnixMs now) { PushNewEntries(now); }

  /// Writes entries of this member and disseminates them. Ejections and fenced values are pushed immediately;
  /// an affinity is sent with the next messages that it fits.
  void Announce(UnixMs now, Ejection ejection);
  void Announce(UnixMs now, KeyAffinity affinity) { state_.Write(now, std::move(affinity)); }
  void Announce(UnixMs now, std::vector<FencedValue> values);

  SharedState& state() { return state_; }

 private:
  Message MakeMessage(Message::Kind kind) const;
  std::size_t RemainingStateBytes() const;
  void PushNewEntries(UnixMs now);
  bool Push(const Message& message);
  void AnswerSync(UnixMs now, const Message& message);
  void AnswerDigest(UnixMs now, const Message& message);
  void SendDiffering(UnixMs now, const Udp::endpoint& to, const BucketDigests& peer_digests);
  void SendMissing(UnixMs now, const Message& request);
  void SendEach(const Udp::endpoint& to, std::vector<nlohmann::json> entry_arrays);
  bool CompletesJoin(UnixMs now, const Message& message);

  const std::string fleet_;
  const std::string name_;
  MessageSender& sender_;
  SharedState state_;
  Membership* membership_ = nullptr;
  bool has_joined_ = false;
  std::optional<std::uint64_t> joining_digest_;  // state digest of the last peer that sent its complete table
  std::uint64_t last_start_hash_;                // hash at which the last answer started
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_GOSSIP_H_
