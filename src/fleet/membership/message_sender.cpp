// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/message_sender.h"

#include <map>
#include <utility>

#include "fleet/sync/chunks.h"
#include "fleet/wire/codec.h"

namespace load_balancer::fleet {

using Kind = Message::Kind;

Message MessageSender::MakeMessage(Kind kind, std::uint64_t sequence) const {
  Message message;
  message.kind = kind;
  message.sender = view_.self().update;
  message.sequence = sequence;
  return message;
}

void MessageSender::SendPing(const Update& target, std::uint64_t sequence) {
  Message message = MakeMessage(Kind::kPing, sequence);
  message.target = target.name;
  message.target_address = target.address;
  SendWithGossip(target.address, target.name, std::move(message));
}

void MessageSender::SendWithGossip(const Udp::endpoint& to, const std::string& receiver, Message message) {
  std::size_t remaining_bytes = RemainingBytes(options_.fleet, message);
  const auto add_if_it_fits = [&](const Update& update) {
    const std::size_t size = EncodedSize(update);
    if (size > remaining_bytes) return false;
    remaining_bytes -= size;
    message.updates.push_back(update);
    return true;
  };
  const Member* known = view_.table().Find(receiver);
  if (known && known->update.state != MemberState::kAlive) add_if_it_fits(known->update);
  view_.gossip().Transmit(receiver, MaxTransmissions(options_, view_.CountPresent()), add_if_it_fits);
  callbacks_.Send(to, message);
}

void MessageSender::RequestTable(const Udp::endpoint& to) {
  const Update& self = view_.self().update;
  Message message = MakeMessage(Kind::kSync, 0);
  message.wants_reply = true;
  message.member_digest = view_.table().Digest(self);
  message.member_buckets =
      view_.table().DigestByBucket(self, BucketDigests::CountFor(view_.table().all().size() + 1));
  callbacks_.Send(to, message);
}

void MessageSender::SendDifferences(const Udp::endpoint& to, const BucketDigests& their_digests,
                                    std::uint64_t start) {
  const MemberTable& table = view_.table();
  const BucketSet differing =
      table.DigestByBucket(view_.self().update, their_digests.count()).DifferingFrom(their_digests);
  if (differing.IsEmpty()) return;
  std::vector<HashedEntry<Update>> members;
  for (const auto& [name, member] : table.all())
    members.push_back({MemberTable::HashOf(name), EncodedSize(member.update), member.update});
  Message message = MakeMessage(Kind::kSync, 0);
  message.wants_reply = true;
  message.range.emplace();
  const std::size_t capacity = RemainingBytes(options_.fleet, message);
  for (auto& chunk : SplitIntoChunks(std::move(members), differing, start, capacity, kMaxAnswerChunks)) {
    message.range = chunk.range;
    message.updates = std::move(chunk.entries);
    callbacks_.Send(to, message);
  }
}

// Updates about absent members are sent only if the receiver considers those members present.
void MessageSender::SendMissing(const Message& answer) {
  std::map<std::string, const Update*> theirs{{answer.sender.name, &answer.sender}};
  for (const Update& update : answer.updates) theirs[update.name] = &update;
  std::vector<Update> missing;
  for (const auto& [name, member] : view_.table().all()) {
    if (!answer.range->Contains(MemberTable::HashOf(name))) continue;
    const auto their_update = theirs.find(name);
    const bool is_missing = their_update == theirs.end() ? IsPresent(member.update.state)
                                                         : Overrides(member.update, *their_update->second);
    if (is_missing) missing.push_back(member.update);
  }
  if (missing.empty()) return;
  Message message = MakeMessage(Kind::kSync, 0);
  message.range = answer.range;
  SendInChunks(answer.sender.address, std::move(message), missing);
}

void MessageSender::SendTable(const Udp::endpoint& to, bool wants_reply) {
  std::vector<Update> updates;
  for (const auto& [name, member] : view_.table().all()) updates.push_back(member.update);
  Message message = MakeMessage(Kind::kSync, 0);
  message.wants_reply = wants_reply;
  SendInChunks(to, std::move(message), updates);
}

// Sends the updates in as many messages as needed. Only the first message may request a reply.
void MessageSender::SendInChunks(const Udp::endpoint& to, Message message,
                                 const std::vector<Update>& updates) {
  const std::size_t capacity = RemainingBytes(options_.fleet, message);
  std::size_t remaining_bytes = capacity;
  for (const Update& update : updates) {
    const std::size_t size = EncodedSize(update);
    if (size > remaining_bytes) {
      callbacks_.Send(to, message);
      message.updates.clear();
      message.wants_reply = false;
      remaining_bytes = capacity;
    }
    remaining_bytes -= size;
    message.updates.push_back(update);
  }
  callbacks_.Send(to, message);
}

}  // namespace load_balancer::fleet
