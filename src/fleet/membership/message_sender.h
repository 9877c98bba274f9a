// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Builds and sends the membership messages of a member: pings with piggybacked gossip, and table exchanges.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_MESSAGE_SENDER_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_MESSAGE_SENDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/membership/view.h"

namespace load_balancer::fleet {

/// Sends messages that reflect a member's view of the fleet.
class MessageSender {
 public:
  /// Maximum number of messages that answer one table request.
  static constexpr std::size_t kMaxAnswerChunks = 32;

  /// All arguments must outlive this object.
  MessageSender(const MembershipOptions& options, MembershipView& view, MembershipCallbacks& callbacks)
      : options_(options), view_(view), callbacks_(callbacks) {}

  /// Returns a message from this member without content.
  Message MakeMessage(Message::Kind kind, std::uint64_t sequence) const;
  /// Sends a ping with gossip to `target`.
  void SendPing(const Update& target, std::uint64_t sequence);
  /// Sends the message without gossip.
  void Send(const Udp::endpoint& to, const Message& message) { callbacks_.Send(to, message); }
  /// Sends the message with as much gossip as fits. If the receiver is not considered alive, the update about
  /// the receiver comes first, so that the receiver can refute it.
  void SendWithGossip(const Udp::endpoint& to, const std::string& receiver, Message message);

  /// Requests the differences between the receiver's table and this member's table.
  void RequestTable(const Udp::endpoint& to);
  /// Sends the members in the buckets whose digests differ, in at most kMaxAnswerChunks messages. Begins at
  /// the hash `start`.
  void SendDifferences(const Udp::endpoint& to, const BucketDigests& their_digests, std::uint64_t start);
  /// Sends the updates that are missing in `answer`, within the range of the table that `answer` covers.
  void SendMissing(const Message& answer);
  /// Sends the complete table in as many messages as needed. Used for members of older versions. If
  /// `wants_reply`, the first message requests the receiver's table.
  void SendTable(const Udp::endpoint& to, bool wants_reply);

 private:
  void SendInChunks(const Udp::endpoint& to, Message message, const std::vector<Update>& updates);

  const MembershipOptions& options_;
  MembershipView& view_;
  MembershipCallbacks& callbacks_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_MESSAGE_SENDER_H_
