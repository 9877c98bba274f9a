// SPDX-License-Identifier: Apache-2.0
#include "model/lease/member.h"

#include <algorithm>
#include <sstream>

namespace brackenspoke::model {
namespace {

using std::chrono::milliseconds;

constexpr char kDuty[] = "d", kVotes[] = "votes";
constexpr std::size_t kBytes = 120;  // of a message, about
constexpr milliseconds kBetweenActs(20);

}  // namespace

LeaseMember::LeaseMember(Host& host, World& world, Arena& arena, std::size_t index)
    : host_(host),
      world_(world),
      arena_(arena),
      index_(index),
      holder_(host.Name() + "/" + std::to_string(++arena.lives)),
      leases_(Options(), host.Now(), *this),
      act_at_(host.Now()) {
  arena_.present[index_] = this;
}

LeaseMember::~LeaseMember() { arena_.present[index_] = nullptr; }

fleet::LeaseOptions LeaseMember::Options() const {
  fleet::LeaseOptions options;
  options.holder = holder_;
  options.address = host_.Address();
  options.voters = arena_.members;
  options.term = arena_.term;
  options.drift = arena_.drift;
  options.duties = {{kDuty, fleet::DutyKind::kExclusive}};
  options.seed = world_.random()();
  options.votes = Load();
  options.store = const_cast<LeaseMember*>(this);
  return options;
}

// A line a vote: duty, holder, token, largest token, span.
bool LeaseMember::Save(const fleet::StoredVotes& votes) {
  std::ostringstream text;
  for (const auto& [duty, vote] : votes)
    text << duty << ' ' << vote.holder << ' ' << vote.token << ' ' << vote.largest << ' ' << vote.span_ms
         << '\n';
  host_.Disk()[kVotes] = text.str();
  return true;
}

std::optional<fleet::StoredVotes> LeaseMember::Load() const {
  const auto file = host_.Disk().find(kVotes);
  if (file == host_.Disk().end()) return std::nullopt;
  fleet::StoredVotes votes;
  std::istringstream text(file->second);
  std::string duty;
  for (fleet::StoredVote vote; text >> duty >> vote.holder >> vote.token >> vote.largest >> vote.span_ms;)
    votes[duty] = vote;
  return votes;
}

void LeaseMember::Receive(const Packet& packet) {
  if (const auto* word = std::any_cast<Word>(packet.content.get()))
    leases_.Hear(host_.Now(), kDuty, word->holder, word->token, word->left);
  else
    leases_.Receive(host_.Now(), packet.from, std::any_cast<const fleet::LeaseMessage&>(*packet.content));
}

void LeaseMember::Tick() {
  const Time now = host_.Now();
  leases_.Tick(now, host_.Wall());
  if (now < act_at_) return;
  if (guard_) {
    Act(*std::exchange(guard_, std::nullopt));
    act_at_ = now + kBetweenActs;
    return;
  }
  guard_ = leases_.Guard(now, kDuty);
  // Most acts are quick; some take long from the check to the resource.
  const auto way =
      milliseconds(world_.random()() % 8 == 0 ? world_.random()() % 4000 : world_.random()() % 20);
  act_at_ = now + (guard_ ? way : kBetweenActs);
}

Time LeaseMember::Next() const {
  const bool acting = guard_ || leases_.role(host_.Now(), kDuty) == fleet::Role::kHolder;
  return acting ? std::min(leases_.Next(), act_at_) : leases_.Next();
}

void LeaseMember::GiveBack() { leases_.Release(host_.Now()); }
void LeaseMember::Resume() { leases_.Resume(host_.Now()); }

bool LeaseMember::Acts() const {
  const Time now = host_.Now();
  return leases_.role(now, kDuty) == fleet::Role::kHolder || (guard_ && guard_->Holds(now));
}

void LeaseMember::Act(const fleet::LeaseGuard& guard) {
  if (!arena_.resource.Admit(guard, host_.Now())) return void(++arena_.refused);
  ++arena_.acts;
  for (const LeaseMember* other : arena_.present)
    if (other && other != this && other->Acts())
      arena_.broken = host_.Name() + " was let act while " + other->host_.Name() + " holds";
  if (guard.token() < arena_.written) arena_.broken = "a token at the resource fell";
  if (guard.token() == arena_.written && arena_.writer != holder_)
    arena_.broken = "two have written with one token";
  arena_.written = guard.token();
  arena_.writer = holder_;
}

void LeaseMember::Send(const Endpoint& to, const fleet::LeaseMessage& message) {
  host_.Send(to, message, kBytes);
}

// Whoever comes to act, or acts for longer, must be the only one: no overlap begins at another moment.
void LeaseMember::OnRole(const std::string&, fleet::Role role, fleet::Token token, Span left,
                         std::string_view) {
  if (role != fleet::Role::kHolder) return;
  for (const LeaseMember* other : arena_.present)
    if (other && other != this && other->Acts())
      arena_.broken = other->host_.Name() + " and " + host_.Name() + " act at once";
  if (arena_.holder != holder_ || token != arena_.newest) ++arena_.leases;
  if (token < arena_.newest && arena_.disks_last) arena_.broken = "a token is smaller than one before";
  if (token == arena_.newest && arena_.holder != holder_) arena_.broken = "two have had one token";
  arena_.newest = token;
  arena_.holder = holder_;
  if (!arena_.told) return;
  for (const Endpoint& other : arena_.members)
    if (other != host_.Address()) host_.Send(other, Word{holder_, token, left}, kBytes);
}

void LeaseMember::OnFailure(const Failure& failure) { arena_.broken = failure.Text(); }

}  // namespace brackenspoke::model
