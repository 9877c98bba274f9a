// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/gossip.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "fleet/wire/codec.h"
#include "load_balancer/balancer.h"

namespace load_balancer::fleet {
namespace {

constexpr std::size_t kPushFanout = 3;                     // members told at once of a new verdict
constexpr std::size_t kMostPieces = 16;                    // datagrams of an answer
constexpr std::uint64_t kStartStep = 0x9e3779b97f4a7c15u;  // 2^64 by the golden ratio: starts spread evenly

StateOptions OptionsOf(const FleetSection& section, const std::string& name) {
  StateOptions options;
  options.name = name;
  options.verdicts = section.share_verdicts;
  options.affinity_entries = static_cast<std::size_t>(section.affinity_entries);
  options.affinity_ttl = static_cast<UnixMs>(section.affinity_ttl.count());
  options.most_skew = static_cast<UnixMs>(section.most_skew.count());
  options.longest_ejection = static_cast<UnixMs>(kMaxEjectionDuration.count());
  options.way = static_cast<UnixMs>(2 * section.probe_interval.count());
  return options;
}

}  // namespace

StateGossip::StateGossip(const FleetSection& section, const std::string& name, SharedState::Host& host,
                         Outlet& outlet)
    : fleet_(section.name),
      name_(name),
      outlet_(outlet),
      state_(OptionsOf(section, name), host),
      start_(XXH64(name.data(), name.size(), 0)) {}

bool StateGossip::Receive(UnixMs now, const Message& message) {
  if (!membership_ || message.sender.name == name_) return false;
  if (!message.state.is_null() && state_.Receive(now, message.state)) Push(now);
  const bool table = message.kind == Message::Kind::kSync;
  if (table) OnAsk(now, message);
  if (message.kind == Message::Kind::kState && message.slice && message.reply)
    Send(message.sender.address, state_.Lacking(now, message.state, *message.slice,
                                                RoomFor(fleet_, FromHere(Message::Kind::kState))));
  // A peer's table that came with the digest of its state, once that is held here, too.
  if (table && (!message.updates.empty() || message.slice)) joining_digest_ = message.digest;
  if (joined_ || !joining_digest_ || *joining_digest_ != state_.Digest(now)) return false;
  return joined_ = true;
}

// Of an older member: whoever differs sends everything, and asks for everything, since the one that is asked
// may be the one that lacks something.
void StateGossip::OnAsk(UnixMs now, const Message& message) {
  const Udp::endpoint& from = message.sender.address;
  if (message.state_buckets) return SendUnlike(now, from, *message.state_buckets);
  if (message.slice || message.digest == state_.Digest(now)) return;
  Send(from, state_.All(now, RoomFor(fleet_, FromHere(Message::Kind::kState))));
  if (message.reply) outlet_.Send(from, FromHere(Message::Kind::kSync));
}

void StateGossip::SendUnlike(UnixMs now, const Udp::endpoint& to, const Buckets& theirs) {
  Message message = FromHere(Message::Kind::kState);
  message.reply = true;
  message.slice.emplace();
  start_ += kStartStep;
  for (auto& piece : state_.Unlike(now, theirs, start_, RoomFor(fleet_, message), kMostPieces)) {
    message.slice = piece.slice;
    message.state = std::move(piece.entries);
    outlet_.Send(to, message);
  }
}

void StateGossip::Send(const Udp::endpoint& to, std::vector<nlohmann::json> pieces) {
  Message message = FromHere(Message::Kind::kState);
  for (nlohmann::json& piece : pieces) {
    message.state = std::move(piece);
    outlet_.Send(to, message);
  }
}

Message StateGossip::FromHere(Message::Kind kind) const {
  Message message;
  message.kind = kind;
  message.sender = membership_->self().last;
  return message;
}

// A new verdict goes to a few members at once; each passes it on when it is new there, too.
void StateGossip::Push(UnixMs now) {
  if (!membership_) return;
  Message message = FromHere(Message::Kind::kState);
  message.state = state_.Push(now, RoomFor(fleet_, message));
  for (const Udp::endpoint& to : membership_->Sample(kPushFanout)) outlet_.Send(to, message);
}

void StateGossip::AddTo(UnixMs now, Message* message) {
  if (message->kind == Message::Kind::kSync) {
    message->digest = state_.Digest(now);
    if (message->buckets) message->state_buckets = state_.Digests(now, Buckets::CountFor(state_.size()));
    return;
  }
  if (!message->state.is_null() || !membership_) return;
  std::size_t room = RoomFor(fleet_, *message);
  for (const Update& update : message->updates) room -= std::min(room, SizeOf(update));
  auto entries = state_.Fill(now, room, MostTransmits(membership_->options(), membership_->present()));
  if (!entries.empty()) message->state = std::move(entries);
}

void StateGossip::Tell(UnixMs now, Verdict verdict) {
  state_.Write(now, std::move(verdict));
  Push(now);
}

void StateGossip::Tell(UnixMs now, DutyFact fact) {
  if (state_.Write(now, std::move(fact))) Push(now);
}

}  // namespace load_balancer::fleet
