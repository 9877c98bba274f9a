// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet/wire/codec.h"

namespace brackenspoke::fleet {
namespace {

using Kind = Message::Kind;
using State = MemberState;

constexpr std::size_t kMostSeedsAsked = 16;    // at a time, while no other member is known
constexpr std::size_t kMostErrands = 256;      // pings on behalf of others that are open
constexpr std::size_t kMostSuspectsAsked = 8;  // beside the probe's own target, per interval

bool Present(State state) { return state == State::kAlive || state == State::kSuspect; }

// Lifeguard's dogpile: from the longest towards the shortest with each confirmation.
Span SuspicionLasts(Span shortest, Span longest, int wanted, int confirmed) {
  if (wanted <= 0) return shortest;
  const double share = std::log(confirmed + 1.0) / std::log(wanted + 1.0);
  const auto span = longest - std::chrono::duration_cast<Span>((longest - shortest) * share);
  return std::max(span, shortest);
}

}  // namespace

Span ShortestSuspicion(const MembershipOptions& options, std::size_t members) {
  const double nodes = std::max(1.0, std::log10(std::max<double>(1, static_cast<double>(members))));
  return std::chrono::duration_cast<Span>(options.probe_interval * (options.suspicion_multiplier * nodes));
}

int MostTransmits(const MembershipOptions& options, std::size_t members) {
  return options.retransmit_multiplier *
         static_cast<int>(std::ceil(std::log10(static_cast<double>(members) + 1)));
}

Span DetectionBound(const MembershipOptions& options, std::size_t members) {
  return options.probe_interval * (2 * members + static_cast<std::size_t>(MostTransmits(options, members))) +
         ShortestSuspicion(options, members) * kLongestSuspicion;
}

Membership::Membership(MembershipOptions options, Time now, Outlet& outlet)
    : options_(std::move(options)), outlet_(outlet), random_(options_.seed), next_probe_(now) {
  self_.last = {options_.name, options_.address, State::kAlive, options_.incarnation, ""};
  self_.since = now;
  next_sync_ = now + options_.sync_interval;
  Spread(self_.last);
}

std::size_t Membership::present() const {
  const auto count = std::count_if(others_.begin(), others_.end(),
                                   [](const auto& other) { return Present(other.second.last.state); });
  return static_cast<std::size_t>(count) + (silent_ ? 0 : 1);
}

Time Membership::Next() const {
  if (silent_) return Time::max();
  Time next = std::min(next_probe_, next_sync_);
  if (probe_ && !probe_->acked)
    next = std::min(next, probe_->asked_others ? probe_->ends_at : probe_->indirect_at);
  for (const auto& [name, suspicion] : suspicions_) next = std::min(next, suspicion.ends);
  for (const auto& [sequence, errand] : errands_) next = std::min(next, errand.nack_at);
  return next;
}

void Membership::Tick(Time now) {
  if (silent_) return;
  AbsorbStall(now);
  if (probe_ && !probe_->acked && !probe_->asked_others && now >= probe_->indirect_at) AskOthers();
  EndErrands(now);
  EndSuspicions(now);
  if (now >= next_probe_) {
    EndProbe(now);
    BeginProbe(now);
    Forget(now);
  }
  if (now >= next_sync_) Sync(now);
}

// Whoever stood still has heard nobody, and must not blame others for it.
void Membership::AbsorbStall(Time now) {
  const Span late = now - Next();
  if (late < options_.probe_interval) return;
  probe_.reset();
  errands_.clear();
  for (auto& [name, suspicion] : suspicions_) {
    suspicion.began += late;
    suspicion.ends += late;
  }
  next_probe_ = now;
  Worsen(1);
  outlet_.Stalled(late);
}

void Membership::EndProbe(Time now) {
  if (!probe_) return;
  const Probe ended = *std::exchange(probe_, std::nullopt);
  const auto target = others_.find(ended.target);
  if (ended.acked || target == others_.end() || !Present(target->second.last.state)) return;
  // A helper that says nothing speaks against this member's own health; without helpers the failure does.
  Worsen(ended.asked_others && ended.nacks_due >= 0 ? ended.nacks_due : 1);
  Suspect(now, ended.target, options_.name);
}

void Membership::BeginProbe(Time now) {
  next_probe_ = now + Scaled(options_.probe_interval);
  if (present() == 1) Join();
  PingSuspects();
  const auto target = NextTarget();
  if (!target) return;
  probe_ = Probe{*target, ++last_sequence_, now + Scaled(options_.probe_interval) / 2, next_probe_};
  Ping(others_.at(*target), probe_->sequence);
}

// The direct way once more, and others' ways.
void Membership::AskOthers() {
  probe_->asked_others = true;
  const auto found = others_.find(probe_->target);
  if (found == others_.end()) return;
  Ping(found->second, probe_->sequence);
  const auto helpers = Some(static_cast<std::size_t>(options_.indirect_probes), true, probe_->target);
  probe_->nacks_due = helpers.empty() ? -1 : static_cast<int>(helpers.size());
  for (const Member* helper : helpers) {
    Message message = Make(Kind::kPingReq, probe_->sequence);
    message.target = probe_->target;
    message.target_address = found->second.last.address;
    SendWithNews(helper->last.address, helper->last.name, std::move(message));
  }
}

void Membership::EndSuspicions(Time now) {
  std::vector<std::string> over;
  for (const auto& [name, suspicion] : suspicions_)
    if (now >= suspicion.ends) over.push_back(name);
  for (const std::string& name : over) {
    Member& member = others_.at(name);
    Update dead = member.last;
    dead.state = State::kDead;
    dead.accuser.clear();
    Set(now, member, dead, "unrefuted");
  }
}

void Membership::EndErrands(Time now) {
  for (auto it = errands_.begin(); it != errands_.end();) {
    if (now < it->second.nack_at) {
      ++it;
      continue;
    }
    outlet_.Send(it->second.requester, Make(Kind::kNack, it->second.sequence));
    it = errands_.erase(it);
  }
}

// Each ping tells the suspect what it is accused of, and brings its refutation back.
void Membership::PingSuspects() {
  std::size_t asked = 0;
  for (const auto& [name, suspicion] : suspicions_) {
    if (++asked > kMostSuspectsAsked) return;
    Ping(others_.at(name), ++last_sequence_);
  }
}

// With one that is present, for what got lost on the way; with one that is not, so that a cut that healed is
// seen; and with a seed that is not known, as when both sides have forgotten each other.
void Membership::Sync(Time now) {
  next_sync_ = now + options_.sync_interval;
  for (const bool present : {true, false})
    for (const Member* member : Some(1, present, "")) Ask(member->last.address);
  if (options_.seeds.empty()) return;
  const auto& seed = options_.seeds[random_() % options_.seeds.size()];
  const bool known = std::any_of(others_.begin(), others_.end(), [&seed](const auto& other) {
    return Present(other.second.last.state) && other.second.last.address == seed;
  });
  if (!known && seed != options_.address) Ask(seed);
}

void Membership::Forget(Time now) {
  std::erase_if(others_, [&](const auto& other) {
    return !Present(other.second.last.state) && now - other.second.since >= options_.forget_after;
  });
}

void Membership::Join() {
  std::size_t asked = 0;
  for (const auto& seed : options_.seeds)
    if (seed != options_.address && ++asked <= kMostSeedsAsked) Ask(seed);
}

void Membership::Outlive(Time now, std::uint64_t incarnation) {
  if (incarnation >= self_.last.incarnation) Refute(now, incarnation);
}

void Membership::Leave(Time now) {
  if (silent_) return;
  Update left = self_.last;
  left.state = State::kLeft;
  Set(now, self_, left, "leaving");
  const auto told = Some(kLeaveFanout, true, "");
  silent_ = true;
  for (const Member* member : told)
    SendWithNews(member->last.address, member->last.name, Make(Kind::kAck, 0));
  probe_.reset();
  errands_.clear();
  suspicions_.clear();
}

void Membership::Rejoin(Time now) {
  if (!silent_ || displaced_) return;
  silent_ = false;
  Update back = self_.last;
  back.state = State::kAlive;
  ++back.incarnation;
  Set(now, self_, back, "rejoining");
  for (auto& [name, member] : others_)
    if (member.last.state == State::kSuspect) StartSuspicion(now, member.last);
  next_probe_ = next_sync_ = now;
}

void Membership::Receive(Time now, const Message& message) {
  if (silent_) return;
  if (message.sender.name == options_.name) {
    ApplyToSelf(now, message.sender);
    return;
  }
  const bool of_table = message.kind == Kind::kSync;
  const std::uint64_t before = self_.last.incarnation;
  Apply(now, message.sender, message.sender.name, false);
  for (const Update& update : message.updates) {
    if (silent_) break;
    Apply(now, update, message.sender.name, of_table);
  }
  if (silent_) return;
  // Who accuses this member has the refutation at once; a ping's answer carries it anyway.
  if (self_.last.incarnation != before && message.kind != Kind::kPing)
    SendWithNews(message.sender.address, message.sender.name, Make(Kind::kAck, 0));
  switch (message.kind) {
    case Kind::kPing:
      return OnPing(now, message);
    case Kind::kPingReq:
      return OnPingReq(now, message);
    case Kind::kAck:
      return OnAck(now, message);
    case Kind::kNack:
      if (probe_ && probe_->sequence == message.sequence && probe_->nacks_due > 0) --probe_->nacks_due;
      return;
    case Kind::kSync:
      return OnSync(now, message);
    case Kind::kState:
    case Kind::kLease:
      return;
  }
}

void Membership::OnPing(Time, const Message& message) {
  if (message.target != options_.name) return;  // who had this address before
  SendWithNews(message.sender.address, message.sender.name, Make(Kind::kAck, message.sequence));
}

void Membership::OnPingReq(Time now, const Message& message) {
  if (message.target == options_.name || errands_.size() >= kMostErrands) return;
  errands_[++last_sequence_] = {message.sender.address, message.sequence,
                                now + options_.probe_interval * 2 / 5};
  Member target;
  target.last.name = message.target;
  target.last.address = message.target_address;
  Ping(target, last_sequence_);
}

void Membership::OnAck(Time, const Message& message) {
  if (const auto errand = errands_.find(message.sequence); errand != errands_.end()) {
    const Errand done = errand->second;
    errands_.erase(errand);
    SendWithNews(done.requester, "", Make(Kind::kAck, done.sequence));
  }
  if (!probe_ || probe_->sequence != message.sequence || probe_->acked) return;
  probe_->acked = true;
  health_ = std::max(0, health_ - 1);
}

void Membership::OnSync(Time, const Message& message) {
  if (!message.reply) return;
  if (!message.updates.empty()) return SendTable(message.sender.address, false);
  if (message.table != TableDigest()) SendTable(message.sender.address, true);
}

// The higher incarnation, and of equal ones the graver claim; what is dead or has left is taken back by a
// newer incarnation alone.
bool Membership::Overrides(const Update& update, const Update& held) {
  if (update.incarnation != held.incarnation) return update.incarnation > held.incarnation;
  return update.state > held.state;
}

void Membership::Apply(Time now, Update update, std::string_view from, bool of_table) {
  if (update.name == options_.name) return ApplyToSelf(now, update);
  const auto found = others_.find(update.name);
  if (found == others_.end()) return ApplyNew(now, update, from);
  Member& member = found->second;
  if (of_table && update.state == State::kDead && Present(member.last.state)) {
    update.state = State::kSuspect;
    update.accuser = from;
  }
  if (update.state == State::kSuspect && member.last.state == State::kSuspect &&
      update.incarnation == member.last.incarnation)
    return Confirm(now, update);
  if (Overrides(update, member.last)) Set(now, member, update, from);
}

// Those that are gone are not learnt of: two members would remind each other of them for ever.
void Membership::ApplyNew(Time now, const Update& update, std::string_view why) {
  if (!Present(update.state) || others_.size() >= kMostMembers) return;
  Member& member = others_[update.name];
  member.last = update;
  member.since = now;
  outlet_.Changed(member, std::nullopt, why);
  Spread(update);
  if (update.state == State::kSuspect) StartSuspicion(now, update);
}

void Membership::ApplyToSelf(Time now, const Update& update) {
  if (update.incarnation < self_.last.incarnation) return;
  if (update.state == State::kAlive) {
    if (update.incarnation == self_.last.incarnation && update.address == self_.last.address) return;
    if (update.address != self_.last.address && update.incarnation > self_.last.incarnation) {
      silent_ = displaced_ = true;
      probe_.reset();
      suspicions_.clear();
      return outlet_.Displaced(update.address);
    }
  } else {
    Worsen(1);
  }
  Refute(now, update.incarnation);
}

void Membership::Refute(Time now, std::uint64_t over) {
  Update alive = self_.last;
  alive.state = State::kAlive;
  alive.incarnation = over + 1;
  Set(now, self_, alive, "refuting");
}

void Membership::Set(Time now, Member& member, const Update& update, std::string_view why) {
  const State before = member.last.state;
  const bool renewed = update.incarnation != member.last.incarnation;
  member.last = update;
  if (before != update.state || renewed) {
    member.since = now;
    outlet_.Changed(member, before, why);
  }
  Spread(update);
  suspicions_.erase(update.name);
  if (update.state == State::kSuspect) StartSuspicion(now, update);
}

void Membership::Suspect(Time now, const std::string& name, const std::string& accuser) {
  const auto found = others_.find(name);
  if (found == others_.end() || !Present(found->second.last.state)) return;
  Update update = found->second.last;
  update.state = State::kSuspect;
  update.accuser = accuser;
  if (found->second.last.state == State::kSuspect) return Confirm(now, update);
  Set(now, found->second, update, accuser);
}

void Membership::StartSuspicion(Time now, const Update& update) {
  Suspicion& suspicion = suspicions_[update.name];
  suspicion = {};
  suspicion.began = now;
  suspicion.shortest = ShortestSuspicion(options_, present());
  suspicion.longest = suspicion.shortest * kLongestSuspicion;
  // Those who could confirm: neither the suspect nor the accuser.
  suspicion.wanted = std::min(kConfirmations, static_cast<int>(present()) - 2);
  suspicion.accusers.insert(update.accuser);
  suspicion.ends = now + SuspicionLasts(suspicion.shortest, suspicion.longest, suspicion.wanted, 0);
}

void Membership::Confirm(Time, const Update& update) {
  const auto found = suspicions_.find(update.name);
  if (found == suspicions_.end()) return;
  Suspicion& suspicion = found->second;
  const int confirmed = static_cast<int>(suspicion.accusers.size()) - 1;
  if (confirmed >= suspicion.wanted || !suspicion.accusers.insert(update.accuser).second) return;
  suspicion.ends = suspicion.began +
                   SuspicionLasts(suspicion.shortest, suspicion.longest, suspicion.wanted, confirmed + 1);
  Spread(update);  // so that the others count this accuser, too
}

// Round the members in an order that is shuffled anew for each round: within 2n - 1 probes each one's turn
// comes.
std::optional<std::string> Membership::NextTarget() {
  for (int refilled = 0; refilled < 2;) {
    if (round_.empty()) {
      ++refilled;
      for (const auto& [name, member] : others_)
        if (Present(member.last.state)) round_.push_back(name);
      std::shuffle(round_.begin(), round_.end(), random_);
      if (round_.empty()) return std::nullopt;
    }
    std::string name = std::move(round_.back());
    round_.pop_back();
    const auto found = others_.find(name);
    if (found != others_.end() && Present(found->second.last.state)) return name;
  }
  return std::nullopt;
}

// Up to `most` others at random, of those that are present or of those that are dead.
std::vector<const Member*> Membership::Some(std::size_t most, bool present, const std::string& but) {
  std::vector<const Member*> all, some;
  for (const auto& [name, member] : others_) {
    const bool fits = present ? Present(member.last.state) : member.last.state == State::kDead;
    if (fits && name != but) all.push_back(&member);
  }
  std::sample(all.begin(), all.end(), std::back_inserter(some), most, random_);
  return some;
}

std::vector<Udp::endpoint> Membership::Sample(std::size_t most) {
  std::vector<Udp::endpoint> addresses;
  for (const Member* member : Some(most, true, "")) addresses.push_back(member->last.address);
  return addresses;
}

Message Membership::Make(Kind kind, std::uint64_t sequence) const {
  Message message;
  message.kind = kind;
  message.sender = self_.last;
  message.sequence = sequence;
  return message;
}

void Membership::Ping(const Member& member, std::uint64_t sequence) {
  Message message = Make(Kind::kPing, sequence);
  message.target = member.last.name;
  message.target_address = member.last.address;
  SendWithNews(member.last.address, member.last.name, std::move(message));
}

void Membership::SendWithNews(const Udp::endpoint& to, const std::string& receiver, Message message) {
  std::size_t room = RoomFor(options_.fleet, message);
  const auto take = [&](const Update& update) {
    const std::size_t size = SizeOf(update);
    if (size > room) return false;
    room -= size;
    message.updates.push_back(update);
    return true;
  };
  if (const auto found = others_.find(receiver);
      found != others_.end() && found->second.last.state != State::kAlive)
    take(found->second.last);
  // What has been passed on least goes first.
  std::vector<News*> fresh;
  for (auto& [name, news] : news_)
    if (name != receiver) fresh.push_back(&news);
  std::stable_sort(fresh.begin(), fresh.end(),
                   [](const News* a, const News* b) { return a->transmits < b->transmits; });
  for (News* news : fresh) {
    if (!take(news->update)) break;
    ++news->transmits;
  }
  const int most = MostTransmits(options_, present());
  std::erase_if(news_, [most](const auto& entry) { return entry.second.transmits >= most; });
  outlet_.Send(to, message);
}

// Whether its table is another one: only then it is sent.
void Membership::Ask(const Udp::endpoint& to) {
  Message message = Make(Kind::kSync, 0);
  message.reply = true;
  message.table = TableDigest();
  outlet_.Send(to, message);
}

// Of those that are present, this one among them: of others that are gone a joiner need not know.
std::uint64_t Membership::TableDigest() const {
  std::uint64_t digest = 0;
  const auto add = [&digest](const Update& update) {
    // A sum: the same in whatever order.
    digest += XXH64(update.name.data(), update.name.size(), update.incarnation);
  };
  add(self_.last);
  for (const auto& [name, member] : others_)
    if (Present(member.last.state)) add(member.last);
  return digest;
}

// The whole table, in as many messages as it takes; the first one alone asks for the other's.
void Membership::SendTable(const Udp::endpoint& to, bool reply) {
  Message message = Make(Kind::kSync, 0);
  message.reply = reply;
  std::size_t room = RoomFor(options_.fleet, message);
  for (const auto& [name, member] : others_) {
    const std::size_t size = SizeOf(member.last);
    if (size > room) {
      outlet_.Send(to, message);
      message.updates.clear();
      message.reply = false;
      room = RoomFor(options_.fleet, message);
    }
    room -= size;
    message.updates.push_back(member.last);
  }
  outlet_.Send(to, message);
}

void Membership::Spread(const Update& update) { news_[update.name] = {update, 0}; }

void Membership::Worsen(int by) { health_ = std::min(kMostHealth, health_ + by); }

}  // namespace brackenspoke::fleet
