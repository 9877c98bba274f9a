// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/gossip.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "fleet/wire/codec.h"
#include "load_balancer/balancer.h"

namespace load_balancer::fleet {
namespace {

constexpr std::size_t kPushFanout = 3;        // number of members to which a new entry is pushed
constexpr std::size_t kMaxAnswerChunks = 16;  // maximum number of datagrams of an answer
// 2^64 divided by the golden ratio. Steps of this size spread the start hashes of consecutive answers evenly.
constexpr std::uint64_t kStartHashStep = 0x9e3779b97f4a7c15u;

StateOptions StateOptionsOf(const FleetSection& section, const std::string& name) {
  StateOptions options;
  options.name = name;
  options.share_ejections = section.share_ejections;
  options.affinity_entries = static_cast<std::size_t>(section.affinity_entries);
  options.affinity_ttl = static_cast<UnixMs>(section.affinity_ttl.count());
  options.max_clock_skew = static_cast<UnixMs>(section.max_clock_skew.count());
  options.max_ejection = static_cast<UnixMs>(kMaxEjectionDuration.count());
  options.propagation_time = static_cast<UnixMs>(2 * section.probe_interval.count());
  return options;
}

}  // namespace

StateGossip::StateGossip(const FleetSection& section, const std::string& name, SharedState::Host& host,
                         MessageSender& sender)
    : fleet_(section.name),
      name_(name),
      sender_(sender),
      state_(StateOptionsOf(section, name), host),
      last_start_hash_(XXH64(name.data(), name.size(), 0)) {}

bool StateGossip::Receive(UnixMs now, const Message& message) {
  if (!membership_ || message.sender.name == name_) return false;
  if (!message.state.is_null()) state_.Receive(now, message.state);
  PushNewEntries(now);
  if (message.kind == Message::Kind::kSync) AnswerSync(now, message);
  if (message.kind == Message::Kind::kState && message.range && message.wants_reply)
    SendMissing(now, message);
  return CompletesJoin(now, message);
}

// Returns whether this message completes the join. A joining member is up to date once the digest of its
// state equals the digest that a peer has sent with the peer's complete member table.
bool StateGossip::CompletesJoin(UnixMs now, const Message& message) {
  const bool has_table = message.kind == Message::Kind::kSync && (!message.updates.empty() || message.range);
  if (has_table) joining_digest_ = message.state_digest;
  if (has_joined_ || !joining_digest_ || *joining_digest_ != state_.ComputeDigest(now)) return false;
  has_joined_ = true;
  return true;
}

void StateGossip::AnswerSync(UnixMs now, const Message& message) {
  if (message.state_buckets)
    SendDiffering(now, message.sender.address, *message.state_buckets);
  else if (!message.range)
    AnswerDigest(now, message);
}

// Answers a sync from a member of an older version, which sends no bucket digests. If the digests differ,
// this member sends all its entries. If the peer wants a reply, this member also sends a sync with its own
// digest, so that the peer sends the entries that this member lacks.
void StateGossip::AnswerDigest(UnixMs now, const Message& message) {
  if (message.state_digest == state_.ComputeDigest(now)) return;
  const Udp::endpoint& from = message.sender.address;
  SendEach(from, state_.PackAll(now, RemainingStateBytes()));
  if (message.wants_reply) sender_.Send(from, MakeMessage(Message::Kind::kSync));
}

void StateGossip::SendDiffering(UnixMs now, const Udp::endpoint& to, const BucketDigests& peer_digests) {
  Message message = MakeMessage(Message::Kind::kState);
  message.wants_reply = true;
  message.range.emplace();
  last_start_hash_ += kStartHashStep;
  const std::size_t max_bytes = RemainingBytes(fleet_, message);
  for (auto& chunk : state_.PackDiffering(now, peer_digests, last_start_hash_, max_bytes, kMaxAnswerChunks)) {
    message.range = chunk.range;
    message.state = std::move(chunk.entries);
    if (!sender_.TrySend(to, message)) return;  // the next sync requests the rest
  }
}

void StateGossip::SendMissing(UnixMs now, const Message& request) {
  SendEach(request.sender.address,
           state_.PackMissing(now, request.state, *request.range, RemainingStateBytes()));
}

void StateGossip::SendEach(const Udp::endpoint& to, std::vector<nlohmann::json> entry_arrays) {
  Message message = MakeMessage(Message::Kind::kState);
  for (nlohmann::json& entries : entry_arrays) {
    message.state = std::move(entries);
    if (!sender_.TrySend(to, message)) return;  // the next sync requests the rest
  }
}

Message StateGossip::MakeMessage(Message::Kind kind) const {
  Message message;
  message.kind = kind;
  message.sender = membership_->self().update;
  return message;
}

std::size_t StateGossip::RemainingStateBytes() const {
  return RemainingBytes(fleet_, MakeMessage(Message::Kind::kState));
}

// Pushes new entries to a few members. Each receiver then pushes the entries that are new to it. Entries that
// the bandwidth limit does not admit stay unpushed until the next call.
void StateGossip::PushNewEntries(UnixMs now) {
  while (membership_ && state_.has_unpushed()) {
    Message message = MakeMessage(Message::Kind::kState);
    PackedPush push = state_.PackPush(now, RemainingBytes(fleet_, message));
    if (push.keys.empty()) return;
    message.state = std::move(push.entries);
    if (!Push(message)) return;
    state_.MarkPushed(push.keys);
  }
}

// Sends the message to a few members. Returns false if there are receivers and the bandwidth limit admitted
// no datagram.
bool StateGossip::Push(const Message& message) {
  const std::vector<Udp::endpoint> receivers = membership_->Sample(kPushFanout);
  const auto sent = std::count_if(receivers.begin(), receivers.end(), [&](const Udp::endpoint& receiver) {
    return sender_.TrySend(receiver, message);
  });
  return sent > 0 || receivers.empty();
}

void StateGossip::AttachState(UnixMs now, Message* message) {
  if (message->kind == Message::Kind::kSync) {
    message->state_digest = state_.ComputeDigest(now);
    if (message->member_buckets)
      message->state_buckets = state_.ComputeBucketDigests(now, BucketDigests::CountFor(state_.size()));
    return;
  }
  if (!message->state.is_null() || !membership_) return;
  std::size_t bytes_left = RemainingBytes(fleet_, *message);
  for (const Update& update : message->updates) bytes_left -= std::min(bytes_left, EncodedSize(update));
  auto entries = state_.PackPiggyback(now, bytes_left,
                                      MaxTransmissions(membership_->options(), membership_->CountPresent()));
  if (!entries.empty()) message->state = std::move(entries);
}

void StateGossip::Announce(UnixMs now, Ejection ejection) {
  state_.Write(now, std::move(ejection));
  PushNewEntries(now);
}

void StateGossip::Announce(UnixMs now, std::vector<FencedValue> values) {
  for (FencedValue& fenced : values) state_.Write(now, std::move(fenced));
  PushNewEntries(now);
}

}  // namespace load_balancer::fleet
