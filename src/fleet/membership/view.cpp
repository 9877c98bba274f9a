// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/view.h"

#include <utility>

namespace load_balancer::fleet {

using State = MemberState;

Claims::Claims(const MembershipOptions& options, Time now, MembershipOutlet& outlet, Health& health)
    : options_(options), outlet_(outlet), health_(health) {
  self_.last = {options_.name, options_.address, State::kAlive, options_.incarnation, ""};
  self_.since = now;
  news_.Spread(self_.last);
}

void Claims::Apply(Time now, Update update, std::string_view from, bool of_table) {
  if (update.name == options_.name) return ApplyToSelf(now, update);
  Member* member = table_.Find(update.name);
  if (!member) return ApplyNew(now, update, from);
  if (of_table && update.state == State::kDead && Present(member->last.state)) {
    update.state = State::kSuspect;
    update.accuser = from;
  }
  if (update.state == State::kSuspect && member->last.state == State::kSuspect &&
      update.incarnation == member->last.incarnation)
    return Confirm(update);
  if (Overrides(update, member->last)) Set(now, *member, update, from);
}

// Those that are gone are not learnt of: two members would remind each other of them for ever.
void Claims::ApplyNew(Time now, const Update& update, std::string_view why) {
  if (!Present(update.state) || table_.full()) return;
  outlet_.Changed(table_.Add(update, now), std::nullopt, why);
  news_.Spread(update);
  if (update.state == State::kSuspect) BeginSuspicion(now, update);
}

void Claims::ApplyToSelf(Time now, const Update& update) {
  if (update.incarnation < self_.last.incarnation) return;
  if (update.state == State::kAlive) {
    if (update.incarnation == self_.last.incarnation && update.address == self_.last.address) return;
    if (update.address != self_.last.address && update.incarnation > self_.last.incarnation) {
      silent_ = displaced_ = true;
      suspicions_.Clear();
      return outlet_.Displaced(update.address);
    }
  } else {
    health_.Worsen(1);
  }
  Refute(now, update.incarnation);
}

void Claims::Refute(Time now, std::uint64_t over) {
  Update alive = self_.last;
  alive.state = State::kAlive;
  alive.incarnation = over + 1;
  Set(now, self_, alive, "refuting");
}

void Claims::Set(Time now, Member& member, const Update& update, std::string_view why) {
  const State before = member.last.state;
  const bool renewed = update.incarnation != member.last.incarnation;
  member.last = update;
  if (before != update.state || renewed) {
    member.since = now;
    outlet_.Changed(member, before, why);
  }
  news_.Spread(update);
  suspicions_.End(update.name);
  if (update.state == State::kSuspect) BeginSuspicion(now, update);
}

void Claims::Suspect(Time now, const std::string& name, const std::string& accuser) {
  Member* member = table_.Find(name);
  if (!member || !Present(member->last.state)) return;
  Update update = member->last;
  update.state = State::kSuspect;
  update.accuser = accuser;
  if (member->last.state == State::kSuspect) return Confirm(update);
  Set(now, *member, update, accuser);
}

void Claims::BeginSuspicion(Time now, const Update& update) {
  suspicions_.Begin(now, update, ShortestSuspicion(options_, present()), present());
}

void Claims::Confirm(const Update& update) {
  if (suspicions_.Confirm(update)) news_.Spread(update);  // so that the others count this accuser, too
}

void Claims::EndSuspicions(Time now) {
  for (const std::string& name : suspicions_.Over(now)) {
    Member& member = *table_.Find(name);
    Update dead = member.last;
    dead.state = State::kDead;
    dead.accuser.clear();
    Set(now, member, dead, "unrefuted");
  }
}

void Claims::Leave(Time now) {
  Update left = self_.last;
  left.state = State::kLeft;
  Set(now, self_, left, "leaving");
  silent_ = true;
}

void Claims::Rejoin(Time now) {
  silent_ = false;
  Update back = self_.last;
  back.state = State::kAlive;
  ++back.incarnation;
  Set(now, self_, back, "rejoining");
  for (const auto& [name, member] : table_.all())
    if (member.last.state == State::kSuspect) BeginSuspicion(now, member.last);
}

}  // namespace load_balancer::fleet
