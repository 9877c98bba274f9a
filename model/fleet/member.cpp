// SPDX-License-Identifier: Apache-2.0
#include "model/fleet/member.h"

#include <algorithm>
#include <utility>

#include "fleet/node/lease_announcement.h"
#include "fleet/node/section_options.h"
#include "fleet/wire/codec.h"

namespace load_balancer::model {
namespace {

using fleet::Message;

fleet::MembershipOptions OptionsOf(const PoolOptions& options, const Host& host) {
  auto membership_options =
      fleet::MembershipOptionsOf(options.section, host.Name(), host.Wall(), options.seed);
  membership_options.address = host.Address();
  return membership_options;
}

std::chrono::milliseconds Milliseconds(Span span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

}  // namespace

PoolMember::PoolMember(model::Host& host, PoolOptions options)
    : host_(host),
      options_(std::move(options)),
      gossip_(options_.section, host.Name(), static_cast<fleet::SharedState::Host&>(*this),
              static_cast<fleet::StateGossip::MessageSender&>(*this)),
      budget_(options_.section.max_bytes_per_second, host.Now()),
      membership_(OptionsOf(options_, host), host.Now(), static_cast<fleet::Membership::Callbacks&>(*this)),
      votes_(host.Disk(), options_.pool, options_.section.seeds) {
  gossip_.Join(&membership_);
  if (options_.section.lease_term.count() > 0) StartLeases();
}

void PoolMember::StartLeases() {
  fleet::LeaseOptions options = fleet::LeaseOptionsOf(options_.section, options_.duties, options_.seed);
  options.holder = HolderName();
  options.address = host_.Address();
  options.stored_votes = votes_.Load().value();
  options.vote_store = &votes_;
  leases_.emplace(std::move(options), host_.Now(), static_cast<fleet::Leases::Callbacks&>(*this));
}

// Returns the member's name with the seed, which identifies this incarnation.
std::string PoolMember::HolderName() const {
  std::string holder = host_.Name();
  return holder.append("/").append(std::to_string(options_.seed));
}

void PoolMember::Receive(const Packet&, const Message& message) {
  membership_.Receive(host_.Now(), message);
  gossip_.Receive(host_.Wall(), message);
  if (leases_ && message.lease) leases_->Receive(host_.Now(), message.sender.address, *message.lease);
}

void PoolMember::Tick() {
  membership_.Tick(host_.Now());
  if (leases_) leases_->Tick(host_.Now(), host_.Wall());
  gossip_.ContinuePush(host_.Wall());
}

Time PoolMember::Next() const {
  return leases_ ? std::min(membership_.Next(), leases_->Next()) : membership_.Next();
}

void PoolMember::Announce(fleet::Ejection ejection) { gossip_.Announce(host_.Wall(), std::move(ejection)); }
void PoolMember::Announce(fleet::KeyAffinity affinity) {
  gossip_.Announce(host_.Wall(), std::move(affinity));
}

void PoolMember::Publish(const std::string& duty, const std::string& key, nlohmann::json value,
                         Span lifetime) {
  if (const auto proof = ProveLease(duty)) Publish(*proof, key, std::move(value), lifetime);
}

void PoolMember::Publish(const std::string& duty, std::vector<fleet::NamedValue> values, Span lifetime) {
  if (const auto proof = ProveLease(duty)) Publish(*proof, std::move(values), lifetime);
}

bool PoolMember::Publish(const fleet::LeaseProof& proof, const std::string& key, nlohmann::json value,
                         Span lifetime) {
  std::vector<fleet::NamedValue> values;
  values.push_back({key, std::move(value)});
  return Publish(proof, std::move(values), lifetime);
}

bool PoolMember::Publish(const fleet::LeaseProof& proof, std::vector<fleet::NamedValue> values,
                         Span lifetime) {
  if (!proof.IsValid(host_.Now())) return false;
  const fleet::UnixMs now = host_.Wall();
  const fleet::UnixMs until = now + static_cast<fleet::UnixMs>(Milliseconds(lifetime).count());
  std::vector<fleet::FencedValue> fenced;
  for (fleet::NamedValue& each : values)
    fenced.push_back({proof.lease_name(), std::move(each.key), proof.token(), until, std::move(each.value)});
  gossip_.Announce(now, std::move(fenced));
  return true;
}

void PoolMember::Send(const Endpoint& to, std::string channel, nlohmann::json payload) {
  Message message;
  message.kind = Message::Kind::kPayload;
  message.sender = membership_.self().update;
  message.channel = std::move(channel);
  message.payload = std::move(payload);
  Send(to, message);
}

void PoolMember::Leave() {
  if (leases_) leases_->Release(host_.Now());
  membership_.Leave(host_.Now());
}

void PoolMember::Rejoin() {
  membership_.Rejoin(host_.Now());
  if (leases_) leases_->Resume(host_.Now());
}

bool PoolMember::HoldsLease(const std::string& duty) const {
  return leases_ && leases_->status(host_.Now(), duty) == fleet::LeaseStatus::kHolder;
}

std::optional<fleet::LeaseProof> PoolMember::ProveLease(const std::string& duty) const {
  return leases_ ? leases_->ProveLease(host_.Now(), duty) : std::nullopt;
}

// Holder names have the form "name/incarnation".
std::string PoolMember::HolderOf(const std::string& duty) const {
  const std::string holder = leases_ ? leases_->holder(duty) : "";
  return holder.substr(0, holder.find('/'));
}

void PoolMember::Send(const Endpoint& to, const Message& message) {
  Message complete = message;
  gossip_.AttachState(host_.Wall(), &complete);
  // As in fleet::Transport, the message is sent without piggybacked state if only reserved bandwidth is left.
  if (!complete.state.is_null()) {
    if (TrySend(to, complete)) return;
    complete.state = nullptr;
  }
  const std::size_t bytes = EncodedSize(complete);
  if (budget_.TrySpend(host_.Now(), bytes)) return Deliver(to, std::move(complete), bytes);
  ++throttled_;
}

bool PoolMember::TrySend(const Endpoint& to, const Message& message) {
  const std::size_t bytes = EncodedSize(message);
  if (!budget_.TrySpendBulk(host_.Now(), bytes)) return false;
  Deliver(to, message, bytes);
  return true;
}

void PoolMember::Deliver(const Endpoint& to, Message message, std::size_t bytes) {
  if (options_.observer) options_.observer->OnMessageSent(*this, to, message);
  host_.Send(to, Datagram{options_.pool, std::move(message)}, bytes);
}

// Returns an upper bound of the encoded size; the codec may produce some bytes fewer.
std::size_t PoolMember::EncodedSize(const Message& message) const {
  std::size_t size = fleet::kMaxDatagramBytes - fleet::RemainingBytes(options_.section.name, message);
  for (const fleet::Update& update : message.updates) size += fleet::EncodedSize(update);
  if (!message.state.is_null()) size += nlohmann::json::to_msgpack(message.state).size();
  return size;
}

void PoolMember::OnMemberChanged(const fleet::Member& member, std::optional<fleet::MemberState> before,
                                 std::string_view) {
  if (options_.observer) options_.observer->OnMemberChanged(*this, member, before);
}

void PoolMember::OnDisplaced(const Endpoint&) {
  if (leases_) leases_->Release(host_.Now());
}

void PoolMember::OnAccepted(const fleet::Entry& entry) {
  if (const auto* fenced = std::get_if<fleet::FencedValue>(&entry.content)) ObserveLeaseAnnouncement(*fenced);
  if (options_.observer) options_.observer->OnEntryAccepted(*this, entry);
}

void PoolMember::ObserveLeaseAnnouncement(const fleet::FencedValue& fenced) {
  if (!leases_) return;
  const auto announcement = fleet::ReadLeaseAnnouncement(fenced, options_.section.lease_term);
  if (!announcement) return;
  leases_->ObserveHolder(host_.Now(), fenced.role, announcement->holder, fenced.token, announcement->left);
}

void PoolMember::Send(const Endpoint& to, const fleet::LeaseMessage& lease) {
  Message message;
  message.kind = Message::Kind::kLease;
  message.sender = membership_.self().update;
  message.lease = lease;
  Send(to, message);
}

void PoolMember::OnLeaseStatus(const std::string& duty, fleet::LeaseStatus status, fleet::FencingToken token,
                               Span left, std::string_view) {
  if (options_.observer) options_.observer->OnLeaseStatus(*this, duty, status, token, left);
  if (status != fleet::LeaseStatus::kHolder) return;
  const fleet::LeaseAnnouncement announcement{HolderName(), Milliseconds(left)};
  Publish(duty, fleet::AnnouncementKey(duty), ToJson(announcement), left);
}

}  // namespace load_balancer::model
