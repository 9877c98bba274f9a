// SPDX-License-Identifier: Apache-2.0
//
// A member's messages about members, with the news that they take along.
#ifndef BRACKENSPOKE_FLEET_MEMBERSHIP_MAILER_H_
#define BRACKENSPOKE_FLEET_MEMBERSHIP_MAILER_H_

#include <cstdint>
#include <string>

#include "fleet/membership/claims.h"

namespace brackenspoke::fleet {

class Mailer {
 public:
  // All of these outlive this.
  Mailer(const MembershipOptions& options, Claims& claims, MembershipOutlet& outlet)
      : options_(options), claims_(claims), outlet_(outlet) {}

  Message Make(Message::Kind kind, std::uint64_t sequence) const;
  void Ping(const Update& target, std::uint64_t sequence);
  // Adds what the receiver must hear of itself, and news as far as there is room.
  void SendWithNews(const Udp::endpoint& to, const std::string& receiver, Message message);
  void Send(const Udp::endpoint& to, const Message& message) { outlet_.Send(to, message); }
  // Asks for a table if it is another one than this member's.
  void AskForTable(const Udp::endpoint& to);
  // The whole table, in as many messages as it takes; `reply`: the first one asks for the other's.
  void SendTable(const Udp::endpoint& to, bool reply);

 private:
  const MembershipOptions& options_;
  Claims& claims_;
  MembershipOutlet& outlet_;
};

}  // namespace brackenspoke::fleet

#endif  // BRACKENSPOKE_FLEET_MEMBERSHIP_MAILER_H_
