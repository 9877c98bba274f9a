// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Assembles and sends a member's membership messages: pings with piggybacked gossip, and table exchanges.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_MESSAGE_SENDER_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_MESSAGE_SENDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/membership/view.h"

namespace load_balancer::fleet {

class MessageSender {
 public:
  /// Messages in which differences of one table exchange are sent, at most.
  static constexpr std::size_t kMaxAnswerChunks = 32;

  /// All arguments must outlive this.
  MessageSender(const MembershipOptions& options, MembershipView& view, MembershipCallbacks& callbacks)
      : options_(options), view_(view), callbacks_(callbacks) {}

  /// A message of this member without content.
  Message MakeMessage(Message::Kind kind, std::uint64_t sequence) const;
  void SendPing(const Update& target, std::uint64_t sequence);
  void Send(const Udp::endpoint& to, const Message& message) { callbacks_.Send(to, message); }
  /// Sends the message with gossip as far as there is room, first what the receiver must refute.
  void SendWithGossip(const Udp::endpoint& to, const std::string& receiver, Message message);

  /// Asks for what differs between the receiver's table and this member's.
  void RequestTable(const Udp::endpoint& to);
  /// Sends the members in the buckets whose digests differ, from the hash `start` on, in at most
  /// kMaxAnswerChunks messages.
  void SendDifferences(const Udp::endpoint& to, const BucketDigests& their_digests, std::uint64_t start);
  /// Sends what the sender of `answer` lacks in the range of the table that it has sent.
  void SendMissing(const Message& answer);
  /// Sends the whole table in as many messages as it takes, for members of older versions. With
  /// `wants_reply` the first one requests the other's table.
  void SendTable(const Udp::endpoint& to, bool wants_reply);

 private:
  void SendInChunks(const Udp::endpoint& to, Message message, const std::vector<Update>& updates);

  const MembershipOptions& options_;
  MembershipView& view_;
  MembershipCallbacks& callbacks_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_MESSAGE_SENDER_H_
