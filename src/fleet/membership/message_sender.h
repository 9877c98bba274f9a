// SPDX-License-Identifier: Apache-2.0
//
// A member's messages about members, with the news that they take along.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_MESSAGE_SENDER_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_MESSAGE_SENDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/membership/view.h"

namespace load_balancer::fleet {

class Mailer {
 public:
  static constexpr std::size_t kMaxAnswerChunks = 32;

  // All of these outlive this.
  Mailer(const MembershipOptions& options, Claims& claims, MembershipOutlet& outlet)
      : options_(options), claims_(claims), outlet_(outlet) {}

  Message Make(Message::Kind kind, std::uint64_t sequence) const;
  void Ping(const Update& target, std::uint64_t sequence);
  // Adds what the receiver must hear of itself, and news as far as there is room.
  void SendWithNews(const Udp::endpoint& to, const std::string& receiver, Message message);
  void Send(const Udp::endpoint& to, const Message& message) { outlet_.Send(to, message); }
  // Asks for what a table has unlike this member's.
  void AskForTable(const Udp::endpoint& to);
  // What is unlike in an asker's table, listed from the hash `start` on, at most kMaxAnswerChunks messages.
  void SendUnlike(const Udp::endpoint& to, const BucketDigests& theirs, std::uint64_t start);
  // What an answer's sender lacks of what it has listed.
  void SendLacking(const Message& answer);
  // The whole table, in as many messages as it takes, as older members ask for it; `reply`: the first one
  // asks for the other's.
  void SendTable(const Udp::endpoint& to, bool reply);

 private:
  // As many messages as it takes; the first one is as it stands.
  void SendAll(const Udp::endpoint& to, Message message, const std::vector<Update>& updates);

  const MembershipOptions& options_;
  Claims& claims_;
  MembershipOutlet& outlet_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_MESSAGE_SENDER_H_
