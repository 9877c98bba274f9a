// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Exchange of the replicated state between members: new entries on every message that has room, a new
/// ejection or fenced value at once to a few members, and what differs with each sync of membership. Has no
/// socket and no clock.
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

class StateGossip {
 public:
  /// Sends messages to members. Called from within the calls below; calls AttachState for each message.
  class MessageSender {
   public:
    virtual ~MessageSender() = default;
    virtual void Send(const Udp::endpoint& to, const Message& message) = 0;
    /// Sends a message of replicated state, which can wait. False, and nothing is sent, if the bandwidth that
    /// is left is reserved for other messages.
    [[nodiscard]] virtual bool TrySend(const Udp::endpoint& to, const Message& message) = 0;
  };

  /// `name` is this member's. `host` and `sender` outlive this.
  StateGossip(const FleetSection& section, const std::string& name, SharedState::Host& host,
              MessageSender& sender);

  /// Entries are exchanged from now on. `membership` outlives this or the call of Stop.
  void Join(Membership* membership) { membership_ = membership; }
  void Stop() { membership_ = nullptr; }

  /// Takes a message of any kind, after membership has taken it. True if this member has received the whole
  /// table and state of a peer for the first time.
  bool Receive(UnixMs now, const Message& message);
  /// Adds entries as far as there is room, or, to a sync, the digests of all entries.
  void AttachState(UnixMs now, Message* message);

  /// Sends what the bandwidth limit has held back of entries that are to be pushed. To be called now and
  /// then.
  void ContinuePush(UnixMs now) { PushNewEntries(now); }

  /// Writes an entry of this member and disseminates it. An affinity waits for a message that has room.
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
  void SendDiffering(UnixMs now, const Udp::endpoint& to, const BucketDigests& theirs);
  void SendMissing(UnixMs now, const Message& listing);
  void SendEach(const Udp::endpoint& to, std::vector<nlohmann::json> entry_arrays);
  bool HasJoinedNow(UnixMs now, const Message& message);

  const std::string fleet_;
  const std::string name_;
  MessageSender& sender_;
  SharedState state_;
  Membership* membership_ = nullptr;
  bool has_joined_ = false;
  std::optional<std::uint64_t> joining_digest_;  // of the peer that sent its whole table
  std::uint64_t next_start_;                     // the hash at which the next answer's ranges begin
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_GOSSIP_H_
