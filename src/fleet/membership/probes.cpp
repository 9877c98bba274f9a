// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/probes.h"

#include <algorithm>
#include <utility>

namespace load_balancer::fleet {
namespace {

using Kind = Message::Kind;

constexpr std::size_t kMostSuspectsAsked = 8;  // beside the probe's own target, per interval
constexpr std::size_t kAskedByFleet = 8;       // pings that a suspect gets per interval, in the mean

}  // namespace

Time Probes::Next() const {
  Time next = std::min(next_, errands_.Next());
  if (probe_ && !probe_->acked)
    next = std::min(next, probe_->asked_others ? probe_->ends_at : probe_->indirect_at);
  return next;
}

void Probes::Continue(Time now) {
  if (probe_ && !probe_->acked && !probe_->asked_others && now >= probe_->indirect_at) AskOthers();
  for (const Errand& overdue : errands_.EndOverdue(now))
    mailer_.Send(overdue.requester, mailer_.Make(Kind::kNack, overdue.sequence));
}

void Probes::End(Time now) {
  if (!probe_) return;
  const Probe ended = *std::exchange(probe_, std::nullopt);
  const Member* target = claims_.table().Find(ended.target);
  if (ended.acked || !target || !Present(target->last.state)) return;
  health_.Worsen(SilentHelpers(ended));
  claims_.Suspect(now, ended.target, options_.name);
}

// A helper that says nothing speaks against this member's own health, unless it may be gone itself; without
// helpers the failure does.
int Probes::SilentHelpers(const Probe& probe) const {
  if (!probe.had_helpers) return 1;
  return static_cast<int>(std::count_if(probe.helpers.begin(), probe.helpers.end(), [this](const auto& name) {
    const Member* helper = claims_.table().Find(name);
    return helper && helper->last.state == MemberState::kAlive;
  }));
}

void Probes::Begin(Time now) {
  next_ = now + health_.Scaled(options_.probe_interval);
  PingSuspects();
  const auto target = NextTarget();
  if (!target) return;
  probe_ = Probe{*target, ++last_sequence_, now + health_.Scaled(options_.probe_interval) / 2, next_};
  mailer_.Ping(claims_.table().Find(*target)->last, probe_->sequence);
}

// The direct way once more, and others' ways.
void Probes::AskOthers() {
  probe_->asked_others = true;
  const Member* target = claims_.table().Find(probe_->target);
  if (!target) return;
  mailer_.Ping(target->last, probe_->sequence);
  const auto helpers = claims_.table().Sample(static_cast<std::size_t>(options_.indirect_probes), true,
                                              probe_->target, random_);
  probe_->had_helpers = !helpers.empty();
  for (const Member* helper : helpers) {
    probe_->helpers.insert(helper->last.name);
    Message message = mailer_.Make(Kind::kPingReq, probe_->sequence);
    message.target = probe_->target;
    message.target_address = target->last.address;
    mailer_.SendWithNews(helper->last.address, helper->last.name, std::move(message));
  }
}

// Each ping tells the suspect what it is accused of, and brings its refutation back. All members hold the
// suspicion: some of them ask, not each.
void Probes::PingSuspects() {
  std::uniform_int_distribution<std::size_t> one_of(0, claims_.present() - 1);
  for (const std::string& name : claims_.suspicions().First(kMostSuspectsAsked))
    if (one_of(random_) < kAskedByFleet) mailer_.Ping(claims_.table().Find(name)->last, ++last_sequence_);
}

// Round the members in an order that is shuffled anew for each round: within 2n - 1 probes each one's turn
// comes.
std::optional<std::string> Probes::NextTarget() {
  const MemberTable& table = claims_.table();
  for (int refilled = 0; refilled < 2;) {
    if (round_.empty()) {
      ++refilled;
      for (const auto& [name, member] : table.all())
        if (Present(member.last.state)) round_.push_back(name);
      std::shuffle(round_.begin(), round_.end(), random_);
      if (round_.empty()) return std::nullopt;
    }
    std::string name = std::move(round_.back());
    round_.pop_back();
    const Member* found = table.Find(name);
    if (found && Present(found->last.state)) return name;
  }
  return std::nullopt;
}

void Probes::OnPing(const Message& message) {
  if (message.target != options_.name) return;  // who had this address before
  mailer_.SendWithNews(message.sender.address, message.sender.name,
                       mailer_.Make(Kind::kAck, message.sequence));
}

void Probes::OnPingReq(Time now, const Message& message) {
  if (message.target == options_.name || errands_.full()) return;
  errands_.Begin(++last_sequence_,
                 {message.sender.address, message.sequence, now + options_.probe_interval * 2 / 5});
  Update target;
  target.name = message.target;
  target.address = message.target_address;
  mailer_.Ping(target, last_sequence_);
}

void Probes::OnAck(const Message& message) {
  if (const auto done = errands_.End(message.sequence))
    mailer_.SendWithNews(done->requester, "", mailer_.Make(Kind::kAck, done->sequence));
  if (!probe_ || probe_->sequence != message.sequence || probe_->acked) return;
  probe_->acked = true;
  health_.Improve();
}

void Probes::OnNack(const Message& message) {
  if (probe_ && probe_->sequence == message.sequence) probe_->helpers.erase(message.sender.name);
}

void Probes::Clear() {
  probe_.reset();
  errands_.Clear();
}

}  // namespace load_balancer::fleet
