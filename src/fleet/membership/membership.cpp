// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/membership.h"

#include <algorithm>
#include <utility>

namespace load_balancer::fleet {
namespace {

using Kind = Message::Kind;
using SampleFrom = MemberTable::SampleFrom;
using UpdateSource = MembershipView::UpdateSource;

constexpr std::size_t kMaxSeedsPerJoin = 16;  // seeds contacted per interval if no other member is known

}  // namespace

Membership::Membership(MembershipOptions options, Time now, Callbacks& callbacks)
    : options_(std::move(options)),
      callbacks_(callbacks),
      random_(options_.seed),
      view_(options_, now, callbacks, health_),
      sender_(options_, view_, callbacks),
      probes_(options_, now, view_, sender_, health_, random_),
      next_sync_(now + options_.sync_interval) {}

Time Membership::Next() const {
  if (view_.is_silent()) return Time::max();
  return std::min({next_sync_, probes_.Next(), view_.suspicions().NextExpiry()});
}

void Membership::Tick(Time now) {
  if (view_.is_silent()) return;
  HandleStall(now);
  probes_.Continue(now);
  view_.DeclareExpiredDead(now);
  if (probes_.is_interval_over(now)) {
    probes_.End(now);
    if (CountPresent() == 1) Join();
    probes_.Begin(now);
    view_.ForgetAbsent(now);
  }
  if (now >= next_sync_) Sync(now);
}

// Postpones suspicions after a time in which this process did not run. The process received no messages in
// that time, so missing answers do not show that other members have failed.
void Membership::HandleStall(Time now) {
  const Span stalled_for = now - Next();
  if (stalled_for < options_.probe_interval) return;
  probes_.Clear();
  probes_.Restart(now);
  view_.suspicions().Postpone(stalled_for);
  health_.Worsen(1);
  callbacks_.OnStalled(stalled_for);
}

// Exchanges tables with up to three members. A present member supplies updates that were lost. A dead member
// that answers shows that a partition has healed. An unknown seed is needed if both sides of a partition have
// forgotten each other.
void Membership::Sync(Time now) {
  next_sync_ = now + options_.sync_interval;
  SyncWithSample(SampleFrom::kPresent);
  SyncWithSample(SampleFrom::kDead);
  SyncWithUnknownSeed();
}

void Membership::SyncWithSample(SampleFrom from) {
  for (const Member* member : view_.table().Sample(1, from, "", random_))
    sender_.RequestTable(member->update.address);
}

void Membership::SyncWithUnknownSeed() {
  if (options_.seeds.empty()) return;
  const auto& seed = options_.seeds[random_() % options_.seeds.size()];
  const bool is_known = std::any_of(others().begin(), others().end(), [&seed](const auto& other) {
    return IsPresent(other.second.update.state) && other.second.update.address == seed;
  });
  if (!is_known && seed != options_.address) sender_.RequestTable(seed);
}

void Membership::Join() {
  std::size_t contacted = 0;
  for (const auto& seed : options_.seeds) {
    if (seed == options_.address) continue;
    if (++contacted > kMaxSeedsPerJoin) return;
    sender_.RequestTable(seed);
  }
}

void Membership::RaiseIncarnation(Time now, std::uint64_t earlier_incarnation) {
  if (earlier_incarnation >= self().update.incarnation) view_.Refute(now, earlier_incarnation);
}

void Membership::Leave(Time now) {
  if (view_.is_silent()) return;
  view_.Leave(now);
  for (const Member* member : view_.table().Sample(kLeaveFanout, SampleFrom::kPresent, "", random_))
    sender_.SendWithGossip(member->update.address, member->update.name, sender_.MakeMessage(Kind::kAck, 0));
  probes_.Clear();
  view_.suspicions().Clear();
}

void Membership::Rejoin(Time now) {
  if (!view_.is_silent() || view_.is_displaced()) return;
  view_.Rejoin(now);
  probes_.Restart(now);
  next_sync_ = now;
}

void Membership::Receive(Time now, const Message& message) {
  if (view_.is_silent()) return;
  const std::uint64_t incarnation_before = self().update.incarnation;
  view_.Apply(now, message.sender, message.sender.name, UpdateSource::kGossip);
  if (message.sender.name == options_.name) return;
  const UpdateSource source = message.kind == Kind::kSync ? UpdateSource::kTable : UpdateSource::kGossip;
  for (const Update& update : message.updates) {
    if (view_.is_silent()) return;
    view_.Apply(now, update, message.sender.name, source);
  }
  if (view_.is_silent()) return;
  // Sends a refutation to the accuser at once. After a ping this is not needed, as the ack carries it.
  if (self().update.incarnation != incarnation_before && message.kind != Kind::kPing)
    sender_.SendWithGossip(message.sender.address, message.sender.name, sender_.MakeMessage(Kind::kAck, 0));
  Dispatch(now, message);
}

void Membership::Dispatch(Time now, const Message& message) {
  if (message.range && message.range->is_truncated)
    next_sync_ = std::min(next_sync_, now + options_.probe_interval);
  switch (message.kind) {
    case Kind::kPing:
      return probes_.OnPing(message);
    case Kind::kPingReq:
      return probes_.OnPingRequest(now, message);
    case Kind::kAck:
      return probes_.OnAck(message);
    case Kind::kNack:
      return probes_.OnNack(message);
    case Kind::kSync:
      return OnSync(message);
    case Kind::kState:
    case Kind::kLease:
    case Kind::kPayload:
      return;
  }
}

void Membership::OnSync(const Message& message) {
  if (!message.wants_reply) return;
  const Udp::endpoint& from = message.sender.address;
  if (message.range) return sender_.SendMissing(message);
  if (message.member_buckets) return sender_.SendDifferences(from, *message.member_buckets, random_());
  // A member of an older version sends its complete table or a digest of it.
  if (!message.updates.empty()) return sender_.SendTable(from, false);
  if (message.member_digest != view_.table().Digest(self().update)) sender_.SendTable(from, true);
}

std::vector<Udp::endpoint> Membership::Sample(std::size_t max_count) {
  std::vector<Udp::endpoint> addresses;
  for (const Member* member : view_.table().Sample(max_count, SampleFrom::kPresent, "", random_))
    addresses.push_back(member->update.address);
  return addresses;
}

}  // namespace load_balancer::fleet
