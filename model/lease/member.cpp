// SPDX-License-Identifier: Apache-2.0
#include "model/lease/member.h"

#include <algorithm>

namespace load_balancer::model {
namespace {

using std::chrono::milliseconds;

constexpr char kDuty[] = "d";
constexpr std::size_t kBytes = 120;  // of a message, about
constexpr milliseconds kBetweenActs(20);

}  // namespace

LeaseMember::LeaseMember(Host& host, World& world, Arena& arena, std::size_t index)
    : host_(host),
      world_(world),
      arena_(arena),
      index_(index),
      holder_(host.Name() + "/" + std::to_string(++arena.lives)),
      votes_(host.Disk(), 0, arena.voters.at(index)),
      leases_(Options(), host.Now(), *this),
      act_at_(host.Now()) {
  arena_.present[index_] = this;
}

LeaseMember::~LeaseMember() { arena_.present[index_] = nullptr; }

fleet::LeaseOptions LeaseMember::Options() {
  fleet::LeaseOptions options;
  options.holder = holder_;
  options.address = host_.Address();
  options.voters = arena_.voters.at(index_);
  options.term = arena_.term;
  options.drift = arena_.drift;
  options.leased_roles = {{kDuty, fleet::LeasedRoleKind::kExclusive}};
  options.seed = world_.random()();
  options.vote_store = &votes_;
  auto loaded = votes_.Load();
  if (loaded) {
    options.stored_votes = std::move(*loaded);
    return options;
  }
  options.may_vote = false;
  OnFailure(loaded.error());
  return options;
}

void LeaseMember::Receive(const Packet& packet) {
  if (const auto* word = std::any_cast<Word>(packet.content.get()))
    leases_.ObserveHolder(host_.Now(), kDuty, word->holder, word->token, word->left);
  else
    leases_.Receive(host_.Now(), packet.from, std::any_cast<const fleet::LeaseMessage&>(*packet.content));
}

void LeaseMember::Tick() {
  const Time now = host_.Now();
  leases_.Tick(now, host_.Wall());
  if (now < act_at_) return;
  if (proof_) {
    Act(*std::exchange(proof_, std::nullopt));
    act_at_ = now + kBetweenActs;
    return;
  }
  proof_ = leases_.ProveLease(now, kDuty);
  // Most acts are quick; some take long from the check to the resource.
  const auto way =
      milliseconds(world_.random()() % 8 == 0 ? world_.random()() % 4000 : world_.random()() % 20);
  act_at_ = now + (proof_ ? way : kBetweenActs);
}

Time LeaseMember::Next() const {
  const bool acting = proof_ || leases_.status(host_.Now(), kDuty) == fleet::LeaseStatus::kHolder;
  return acting ? std::min(leases_.Next(), act_at_) : leases_.Next();
}

void LeaseMember::GiveBack() { leases_.Release(host_.Now()); }
void LeaseMember::Resume() { leases_.Resume(host_.Now()); }

bool LeaseMember::Acts() const {
  const Time now = host_.Now();
  return leases_.status(now, kDuty) == fleet::LeaseStatus::kHolder || (proof_ && proof_->IsValid(now));
}

void LeaseMember::Act(const fleet::LeaseProof& proof) {
  if (!arena_.resource.Admit(proof, host_.Now())) return void(++arena_.refused);
  ++arena_.acts;
  for (const LeaseMember* other : arena_.present)
    if (other && other != this && other->Acts())
      arena_.broken = host_.Name() + " was let act while " + other->host_.Name() + " holds";
  if (proof.token() < arena_.written) arena_.broken = "a token at the resource fell";
  if (proof.token() == arena_.written && arena_.writer != holder_)
    arena_.broken = "two have written with one token";
  arena_.written = proof.token();
  arena_.writer = holder_;
  // Some acts are felt for longer.
  if (world_.random()() % 4 != 0) return;
  const Time until = host_.Now() + milliseconds(world_.random()() % arena_.term.count());
  proof.ExtendEffects(until);
  arena_.effects.push_back({&host_, proof.token(), std::min(until, proof.deadline())});
}

void LeaseMember::Send(const Endpoint& to, const fleet::LeaseMessage& message) {
  host_.Send(to, message, kBytes);
}

// Whoever comes to act, or acts for longer, must be the only one: no overlap begins at another moment.
void LeaseMember::OnLeaseStatus(const std::string&, fleet::LeaseStatus status, fleet::FencingToken token,
                                Span left, std::string_view) {
  if (status != fleet::LeaseStatus::kHolder) return;
  for (const LeaseMember* other : arena_.present)
    if (other && other != this && other->Acts())
      arena_.broken = other->host_.Name() + " and " + host_.Name() + " act at once";
  std::erase_if(arena_.effects, [](const Arena::Effect& each) { return each.host->Now() >= each.until; });
  for (const Arena::Effect& effect : arena_.effects)
    if (effect.token != token)
      arena_.broken = host_.Name() + " holds while what " + effect.host->Name() + " did has its effects";
  if (arena_.holder != holder_ || token != arena_.newest) ++arena_.leases;
  if (token < arena_.newest && arena_.disks_last) arena_.broken = "a token is smaller than one before";
  if (token == arena_.newest && arena_.holder != holder_) arena_.broken = "two have had one token";
  arena_.newest = token;
  arena_.holder = holder_;
  if (!arena_.told) return;
  for (const Endpoint& other : arena_.members)
    if (other != host_.Address()) host_.Send(other, Word{holder_, token, left}, kBytes);
}

void LeaseMember::OnFailure(const Failure& failure) {
  if (!arena_.expected.contains(&failure.kind())) arena_.broken = failure.Text();
}

}  // namespace load_balancer::model
