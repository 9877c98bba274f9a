// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/message_sender.h"

#include <map>
#include <utility>

#include "fleet/sync/chunks.h"
#include "fleet/wire/codec.h"

namespace load_balancer::fleet {

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
  std::size_t room = RemainingBytes(options_.fleet, message);
  const auto take = [&](const Update& update) {
    const std::size_t size = EncodedSize(update);
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
  message.wants_reply = true;
  message.member_digest = claims_.table().Digest(claims_.self().last);
  message.member_buckets =
      claims_.table().Digests(claims_.self().last, BucketDigests::CountFor(claims_.table().all().size() + 1));
  outlet_.Send(to, message);
}

void Mailer::SendUnlike(const Udp::endpoint& to, const BucketDigests& theirs, std::uint64_t start) {
  const MemberTable& table = claims_.table();
  const BucketSet differing = table.Digests(claims_.self().last, theirs.count()).DifferingFrom(theirs);
  if (differing.IsEmpty()) return;
  std::vector<HashedEntry<Update>> all;
  for (const auto& [name, member] : table.all())
    all.push_back({MemberTable::HashOf(name), EncodedSize(member.last), member.last});
  Message message = Make(Kind::kSync, 0);
  message.wants_reply = true;
  message.range.emplace();
  const std::size_t room = RemainingBytes(options_.fleet, message);
  for (auto& chunk : SplitIntoChunks(std::move(all), differing, start, room, kMaxAnswerChunks)) {
    message.range = chunk.range;
    message.updates = std::move(chunk.entries);
    outlet_.Send(to, message);
  }
}

// Of those that are gone the other need not know unless it holds them as present.
void Mailer::SendLacking(const Message& answer) {
  std::map<std::string, const Update*> listed{{answer.sender.name, &answer.sender}};
  for (const Update& update : answer.updates) listed[update.name] = &update;
  std::vector<Update> lacking;
  for (const auto& [name, member] : claims_.table().all()) {
    if (!answer.range->Contains(MemberTable::HashOf(name))) continue;
    const auto other = listed.find(name);
    if (other == listed.end() ? Present(member.last.state) : Overrides(member.last, *other->second))
      lacking.push_back(member.last);
  }
  if (lacking.empty()) return;
  Message message = Make(Kind::kSync, 0);
  message.range = answer.range;
  SendAll(answer.sender.address, std::move(message), lacking);
}

void Mailer::SendTable(const Udp::endpoint& to, bool reply) {
  std::vector<Update> all;
  for (const auto& [name, member] : claims_.table().all()) all.push_back(member.last);
  Message message = Make(Kind::kSync, 0);
  message.wants_reply = reply;
  SendAll(to, std::move(message), all);
}

void Mailer::SendAll(const Udp::endpoint& to, Message message, const std::vector<Update>& updates) {
  const std::size_t all = RemainingBytes(options_.fleet, message);
  std::size_t room = all;
  for (const Update& update : updates) {
    const std::size_t size = EncodedSize(update);
    if (size > room) {
      outlet_.Send(to, message);
      message.updates.clear();
      message.wants_reply = false;
      room = all;
    }
    room -= size;
    message.updates.push_back(update);
  }
  outlet_.Send(to, message);
}

}  // namespace load_balancer::fleet
