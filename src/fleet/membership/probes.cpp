// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/probes.h"

#include <algorithm>
#include <utility>

namespace load_balancer::fleet {
namespace {

using Kind = Message::Kind;

constexpr std::size_t kMaxSuspectsPinged = 8;  // by one member per interval, besides its probe
constexpr std::size_t kPingsPerSuspect = 8;    // mean number per interval from all members of the fleet
constexpr int kMaxRefills = 2;                 // new rounds begun in one search for a target

}  // namespace

Time Probes::Next() const {
  Time next = std::min(next_interval_, indirect_probes_.NextNack());
  if (probe_ && !probe_->is_acked)
    next = std::min(next, probe_->is_indirect ? probe_->ends_at : probe_->indirect_at);
  return next;
}

void Probes::Continue(Time now) {
  const bool is_unanswered = probe_ && !probe_->is_acked && !probe_->is_indirect;
  if (is_unanswered && now >= probe_->indirect_at) RequestIndirectProbes();
  for (const IndirectProbe& overdue : indirect_probes_.FinishOverdue(now))
    sender_.Send(overdue.requester, sender_.MakeMessage(Kind::kNack, overdue.requester_sequence));
}

void Probes::End(Time now) {
  if (!probe_) return;
  const Probe ended = *std::exchange(probe_, std::nullopt);
  const Member* target = view_.table().Find(ended.target);
  if (ended.is_acked || !target || !IsPresent(target->update.state)) return;
  health_.Worsen(HealthPenalty(ended));
  view_.Suspect(now, ended.target, options_.name);
}

// Returns by how much a failed probe worsens the local health score (Lifeguard). Each helper that is
// considered alive and sent no nack adds one, as this member may have failed to receive the nack. Without
// helpers, the failed probe adds one.
int Probes::HealthPenalty(const Probe& failed) const {
  if (!failed.had_helpers) return 1;
  const auto is_alive = [this](const std::string& name) {
    const Member* helper = view_.table().Find(name);
    return helper && helper->update.state == MemberState::kAlive;
  };
  return static_cast<int>(
      std::count_if(failed.silent_helpers.begin(), failed.silent_helpers.end(), is_alive));
}

void Probes::Begin(Time now) {
  const Span interval = health_.Scale(options_.probe_interval);
  next_interval_ = now + interval;
  PingSuspects();
  const auto target = NextTarget();
  if (!target) return;
  probe_ = Probe{*target, ++last_sequence_, now + interval / 2, next_interval_};
  sender_.SendPing(view_.table().Find(*target)->update, probe_->sequence);
}

// Requests indirect probes of the target, and pings it directly once more.
void Probes::RequestIndirectProbes() {
  probe_->is_indirect = true;
  const Member* target = view_.table().Find(probe_->target);
  if (!target) return;
  sender_.SendPing(target->update, probe_->sequence);
  const auto max_helpers = static_cast<std::size_t>(options_.indirect_probes);
  const auto helpers =
      view_.table().Sample(max_helpers, MemberTable::SampleFrom::kPresent, probe_->target, random_);
  probe_->had_helpers = !helpers.empty();
  for (const Member* helper : helpers) {
    probe_->silent_helpers.insert(helper->update.name);
    Message message = sender_.MakeMessage(Kind::kPingReq, probe_->sequence);
    message.target = probe_->target;
    message.target_address = target->update.address;
    sender_.SendWithGossip(helper->update.address, helper->update.name, std::move(message));
  }
}

// Pings suspects, so that they learn of the suspicion and answer with a refutation. Since every member
// suspects them, each member pings with a probability that limits the total number of pings from the fleet.
void Probes::PingSuspects() {
  std::uniform_int_distribution<std::size_t> any_member(0, view_.CountPresent() - 1);
  for (const std::string& name : view_.suspicions().FirstSuspects(kMaxSuspectsPinged))
    if (any_member(random_) < kPingsPerSuspect)
      sender_.SendPing(view_.table().Find(name)->update, ++last_sequence_);
}

// Returns the next target. Each round visits all members in a newly shuffled order (SWIM, section 4.3), so
// each member is probed within 2n - 1 intervals.
std::optional<std::string> Probes::NextTarget() {
  for (int refills = 0; refills < kMaxRefills;) {
    if (round_.empty()) {
      ++refills;
      RefillRound();
      if (round_.empty()) return std::nullopt;
    }
    std::string name = std::move(round_.back());
    round_.pop_back();
    const Member* member = view_.table().Find(name);
    if (member && IsPresent(member->update.state)) return name;
  }
  return std::nullopt;
}

void Probes::RefillRound() {
  for (const auto& [name, member] : view_.table().all())
    if (IsPresent(member.update.state)) round_.push_back(name);
  std::shuffle(round_.begin(), round_.end(), random_);
}

void Probes::OnPing(const Message& message) {
  // A ping with another target is meant for a process that had this address before.
  if (message.target != options_.name) return;
  sender_.SendWithGossip(message.sender.address, message.sender.name,
                         sender_.MakeMessage(Kind::kAck, message.sequence));
}

void Probes::OnPingRequest(Time now, const Message& message) {
  if (message.target == options_.name || indirect_probes_.is_full()) return;
  const Time nack_at = now + options_.probe_interval * 2 / 5;
  ++last_sequence_;
  indirect_probes_.Begin(last_sequence_, {message.sender.address, message.sequence, nack_at});
  Update target;
  target.name = message.target;
  target.address = message.target_address;
  sender_.SendPing(target, last_sequence_);
}

void Probes::OnAck(const Message& message) {
  if (const auto finished = indirect_probes_.Finish(message.sequence))
    sender_.SendWithGossip(finished->requester, "",
                           sender_.MakeMessage(Kind::kAck, finished->requester_sequence));
  if (!probe_ || probe_->sequence != message.sequence || probe_->is_acked) return;
  probe_->is_acked = true;
  health_.Improve();
}

void Probes::OnNack(const Message& message) {
  if (probe_ && probe_->sequence == message.sequence) probe_->silent_helpers.erase(message.sender.name);
}

void Probes::Clear() {
  probe_.reset();
  indirect_probes_.Clear();
}

}  // namespace load_balancer::fleet
