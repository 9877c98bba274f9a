// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/membership.h"

#include <algorithm>
#include <utility>

namespace load_balancer::fleet {
namespace {

using Kind = Message::Kind;

constexpr std::size_t kMostSeedsAsked = 16;  // at a time, while no other member is known

}  // namespace

Membership::Membership(MembershipOptions options, Time now, Outlet& outlet)
    : options_(std::move(options)),
      outlet_(outlet),
      random_(options_.seed),
      claims_(options_, now, outlet, health_),
      mailer_(options_, claims_, outlet),
      probes_(options_, now, claims_, mailer_, health_, random_),
      next_sync_(now + options_.sync_interval) {}

Time Membership::Next() const {
  if (claims_.silent()) return Time::max();
  return std::min({next_sync_, probes_.Next(), claims_.suspicions().Next()});
}

void Membership::Tick(Time now) {
  if (claims_.silent()) return;
  AbsorbStall(now);
  probes_.Continue(now);
  claims_.EndSuspicions(now);
  if (probes_.due(now)) {
    probes_.End(now);
    if (present() == 1) Join();
    probes_.Begin(now);
    claims_.Forget(now);
  }
  if (now >= next_sync_) Sync(now);
}

// Whoever stood still has heard nobody, and must not blame others for it.
void Membership::AbsorbStall(Time now) {
  const Span late = now - Next();
  if (late < options_.probe_interval) return;
  probes_.Clear();
  probes_.Restart(now);
  claims_.suspicions().Delay(late);
  health_.Worsen(1);
  outlet_.Stalled(late);
}

// With one that is present, for what got lost on the way; with one that is not, so that a cut that healed is
// seen; and with a seed that is not known, as when both sides have forgotten each other.
void Membership::Sync(Time now) {
  next_sync_ = now + options_.sync_interval;
  for (const bool present : {true, false})
    for (const Member* member : claims_.table().Sample(1, present, "", random_))
      mailer_.AskForTable(member->last.address);
  if (options_.seeds.empty()) return;
  const auto& seed = options_.seeds[random_() % options_.seeds.size()];
  const bool known = std::any_of(others().begin(), others().end(), [&seed](const auto& other) {
    return Present(other.second.last.state) && other.second.last.address == seed;
  });
  if (!known && seed != options_.address) mailer_.AskForTable(seed);
}

void Membership::Join() {
  std::size_t asked = 0;
  for (const auto& seed : options_.seeds)
    if (seed != options_.address && ++asked <= kMostSeedsAsked) mailer_.AskForTable(seed);
}

void Membership::Outlive(Time now, std::uint64_t incarnation) {
  if (incarnation >= self().last.incarnation) claims_.Refute(now, incarnation);
}

void Membership::Leave(Time now) {
  if (claims_.silent()) return;
  claims_.Leave(now);
  for (const Member* member : claims_.table().Sample(kLeaveFanout, true, "", random_))
    mailer_.SendWithNews(member->last.address, member->last.name, mailer_.Make(Kind::kAck, 0));
  probes_.Clear();
  claims_.suspicions().Clear();
}

void Membership::Rejoin(Time now) {
  if (!claims_.silent() || claims_.displaced()) return;
  claims_.Rejoin(now);
  probes_.Restart(now);
  next_sync_ = now;
}

void Membership::Receive(Time now, const Message& message) {
  if (claims_.silent()) return;
  const std::uint64_t before = self().last.incarnation;
  claims_.Apply(now, message.sender, message.sender.name, false);
  if (message.sender.name == options_.name) return;
  for (const Update& update : message.updates) {
    if (claims_.silent()) return;
    claims_.Apply(now, update, message.sender.name, message.kind == Kind::kSync);
  }
  if (claims_.silent()) return;
  // Who accuses this member has the refutation at once; a ping's answer carries it anyway.
  if (self().last.incarnation != before && message.kind != Kind::kPing)
    mailer_.SendWithNews(message.sender.address, message.sender.name, mailer_.Make(Kind::kAck, 0));
  Dispatch(now, message);
}

void Membership::Dispatch(Time now, const Message& message) {
  if (message.range && message.range->is_truncated)
    next_sync_ = std::min(next_sync_, now + options_.probe_interval);
  switch (message.kind) {
    case Kind::kPing:
      return probes_.OnPing(message);
    case Kind::kPingReq:
      return probes_.OnPingReq(now, message);
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
  if (message.range) return mailer_.SendLacking(message);
  if (message.member_buckets)
    return mailer_.SendUnlike(message.sender.address, *message.member_buckets, random_());
  // Of an older member.
  if (!message.updates.empty()) return mailer_.SendTable(message.sender.address, false);
  if (message.member_digest != claims_.table().Digest(self().last))
    mailer_.SendTable(message.sender.address, true);
}

std::vector<Udp::endpoint> Membership::Sample(std::size_t most) {
  std::vector<Udp::endpoint> addresses;
  for (const Member* member : claims_.table().Sample(most, true, "", random_))
    addresses.push_back(member->last.address);
  return addresses;
}

}  // namespace load_balancer::fleet
