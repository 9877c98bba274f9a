// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/mailer.h"

#include <utility>

#include "fleet/wire/codec.h"

namespace brackenspoke::fleet {

using Kind = Message::Kind;

Message Mailer::Make(Kind kind, std::uint64_t sequence) const {
  Message message;
  message.kind = kind;
  message.sender = claims_.self().last;
  message.sequence = sequence;
  return message;
}

void Mailer::Ping(const Update& target, std::uint64_t sequence) {
  Message message = Make(Kind::kPing, sequence);
  message.target = target.name;
  message.target_address = target.address;
  SendWithNews(target.address, target.name, std::move(message));
}

void Mailer::SendWithNews(const Udp::endpoint& to, const std::string& receiver, Message message) {
  std::size_t room = RoomFor(options_.fleet, message);
  const auto take = [&](const Update& update) {
    const std::size_t size = SizeOf(update);
    if (size > room) return false;
    room -= size;
    message.updates.push_back(update);
    return true;
  };
  const Member* known = claims_.table().Find(receiver);
  if (known && known->last.state != MemberState::kAlive) take(known->last);
  claims_.news().PassOn(receiver, MostTransmits(options_, claims_.present()), take);
  outlet_.Send(to, message);
}

void Mailer::AskForTable(const Udp::endpoint& to) {
  Message message = Make(Kind::kSync, 0);
  message.reply = true;
  message.table = claims_.table().Digest(claims_.self().last);
  outlet_.Send(to, message);
}

void Mailer::SendTable(const Udp::endpoint& to, bool reply) {
  Message message = Make(Kind::kSync, 0);
  message.reply = reply;
  std::size_t room = RoomFor(options_.fleet, message);
  for (const auto& [name, member] : claims_.table().all()) {
    const std::size_t size = SizeOf(member.last);
    if (size > room) {
      outlet_.Send(to, message);
      message.updates.clear();
      message.reply = false;
      room = RoomFor(options_.fleet, message);
    }
    room -= size;
    message.updates.push_back(member.last);
  }
  outlet_.Send(to, message);
}

}  // namespace brackenspoke::fleet
