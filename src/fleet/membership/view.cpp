// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/view.h"

#include <utility>

namespace load_balancer::fleet {

using State = MemberState;

MembershipView::MembershipView(const MembershipOptions& options, Time now, MembershipCallbacks& callbacks,
                               LocalHealth& health)
    : options_(options), callbacks_(callbacks), health_(health) {
  self_.update = {options_.name, options_.address, State::kAlive, options_.incarnation, ""};
  self_.changed_at = now;
  gossip_.Add(self_.update);
}

void MembershipView::Apply(Time now, Update update, std::string_view sender, UpdateSource source) {
  if (update.name == options_.name) return ApplyToSelf(now, update);
  Member* member = table_.Find(update.name);
  if (!member) return ApplyToUnknown(now, update, sender);
  const Update& current = member->update;
  if (source == UpdateSource::kTable && update.state == State::kDead && IsPresent(current.state)) {
    update.state = State::kSuspect;
    update.accuser = sender;
  }
  const bool are_both_suspicions = update.state == State::kSuspect && current.state == State::kSuspect;
  if (are_both_suspicions && update.incarnation == current.incarnation) return ConfirmSuspicion(update);
  if (Overrides(update, current)) SetUpdate(now, *member, update, sender);
}

// Ignores updates about unknown members that are dead or have left. Otherwise two members could report such a
// member to each other for ever.
void MembershipView::ApplyToUnknown(Time now, const Update& update, std::string_view reason) {
  if (!IsPresent(update.state) || table_.is_full()) return;
  callbacks_.OnMemberChanged(table_.Add(update, now), std::nullopt, reason);
  gossip_.Add(update);
  if (update.state == State::kSuspect) BeginSuspicion(now, update);
}

void MembershipView::ApplyToSelf(Time now, const Update& update) {
  if (update.incarnation < self_.update.incarnation) return;
  if (update.state != State::kAlive) {
    health_.Worsen(1);
    return Refute(now, update.incarnation);
  }
  const bool is_newer = update.incarnation > self_.update.incarnation;
  const bool is_own_address = update.address == self_.update.address;
  if (!is_newer && is_own_address) return;
  if (is_newer && !is_own_address) {
    is_silent_ = true;
    is_displaced_ = true;
    suspicions_.Clear();
    return callbacks_.OnDisplaced(update.address);
  }
  Refute(now, update.incarnation);
}

void MembershipView::Refute(Time now, std::uint64_t refuted_incarnation) {
  Update alive = self_.update;
  alive.state = State::kAlive;
  alive.incarnation = refuted_incarnation + 1;
  SetUpdate(now, self_, alive, "refuting");
}

void MembershipView::SetUpdate(Time now, Member& member, const Update& update, std::string_view reason) {
  const State before = member.update.state;
  const bool is_new_incarnation = update.incarnation != member.update.incarnation;
  member.update = update;
  if (before != update.state || is_new_incarnation) {
    member.changed_at = now;
    callbacks_.OnMemberChanged(member, before, reason);
  }
  gossip_.Add(update);
  suspicions_.End(update.name);
  if (update.state == State::kSuspect) BeginSuspicion(now, update);
}

void MembershipView::Suspect(Time now, const std::string& name, const std::string& accuser) {
  Member* member = table_.Find(name);
  if (!member || !IsPresent(member->update.state)) return;
  Update update = member->update;
  update.state = State::kSuspect;
  update.accuser = accuser;
  if (member->update.state == State::kSuspect) return ConfirmSuspicion(update);
  SetUpdate(now, *member, update, accuser);
}

void MembershipView::BeginSuspicion(Time now, const Update& update) {
  const std::size_t present = CountPresent();
  suspicions_.Begin(now, update, MinSuspicionTimeout(options_, present), present);
}

// Gossips a new confirmation, so that the other members count its accuser as well.
void MembershipView::ConfirmSuspicion(const Update& update) {
  if (suspicions_.Confirm(update)) gossip_.Add(update);
}

void MembershipView::DeclareExpiredDead(Time now) {
  for (const std::string& name : suspicions_.ExpiredSuspects(now)) {
    Member& member = *table_.Find(name);
    Update dead = member.update;
    dead.state = State::kDead;
    dead.accuser.clear();
    SetUpdate(now, member, dead, "unrefuted");
  }
}

void MembershipView::Leave(Time now) {
  Update left = self_.update;
  left.state = State::kLeft;
  SetUpdate(now, self_, left, "leaving");
  is_silent_ = true;
}

void MembershipView::Rejoin(Time now) {
  is_silent_ = false;
  Update alive = self_.update;
  alive.state = State::kAlive;
  ++alive.incarnation;
  SetUpdate(now, self_, alive, "rejoining");
  for (const auto& [name, member] : table_.all())
    if (member.update.state == State::kSuspect) BeginSuspicion(now, member.update);
}

}  // namespace load_balancer::fleet
