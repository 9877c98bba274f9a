// SPDX-License-Identifier: Apache-2.0
#include "model/lease/member.h"

#include <algorithm>

namespace load_balancer::model {
namespace {

using std::chrono::milliseconds;

constexpr char kLeaseName[] = "d";
constexpr std::size_t kMessageBytes = 120;  // approximate size of a message
constexpr milliseconds kActionInterval(20);

}  // namespace

LeaseMember::LeaseMember(Host& host, World& world, LeaseRun& run, std::size_t index)
    : host_(host),
      world_(world),
      run_(run),
      index_(index),
      holder_(host.Name() + "/" + std::to_string(++run.incarnations)),
      votes_(host.Disk(), 0, run.voters.at(index)),
      leases_(Options(), host.Now(), *this),
      next_action_at_(host.Now()) {
  run_.running_members[index_] = this;
}

LeaseMember::~LeaseMember() { run_.running_members[index_] = nullptr; }

fleet::LeaseOptions LeaseMember::Options() {
  fleet::LeaseOptions options;
  options.holder = holder_;
  options.address = host_.Address();
  options.voters = run_.voters.at(index_);
  options.term = run_.term;
  options.drift = run_.drift;
  options.leased_roles = {{kLeaseName, fleet::LeasedRoleKind::kExclusive}};
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
  if (const auto* announcement = std::any_cast<Announcement>(packet.content.get()))
    leases_.ObserveHolder(host_.Now(), kLeaseName, announcement->holder, announcement->token,
                          announcement->remaining);
  else
    leases_.Receive(host_.Now(), packet.from, std::any_cast<const fleet::LeaseMessage&>(*packet.content));
}

void LeaseMember::Tick() {
  const Time now = host_.Now();
  leases_.Tick(now, host_.Wall());
  if (now < next_action_at_) return;
  if (proof_) {
    Act(*std::exchange(proof_, std::nullopt));
    next_action_at_ = now + kActionInterval;
    return;
  }
  proof_ = leases_.ProveLease(now, kLeaseName);
  // Most actions reach the resource soon after the check; some take long.
  const auto delay =
      milliseconds(world_.random()() % 8 == 0 ? world_.random()() % 4000 : world_.random()() % 20);
  next_action_at_ = now + (proof_ ? delay : kActionInterval);
}

Time LeaseMember::Next() const {
  const bool is_acting = proof_ || leases_.status(host_.Now(), kLeaseName) == fleet::LeaseStatus::kHolder;
  return is_acting ? std::min(leases_.Next(), next_action_at_) : leases_.Next();
}

void LeaseMember::Release() { leases_.Release(host_.Now()); }
void LeaseMember::Resume() { leases_.Resume(host_.Now()); }

bool LeaseMember::IsActing() const {
  const Time now = host_.Now();
  return leases_.status(now, kLeaseName) == fleet::LeaseStatus::kHolder || (proof_ && proof_->IsValid(now));
}

void LeaseMember::Act(const fleet::LeaseProof& proof) {
  if (!run_.resource.Admit(proof, host_.Now())) return void(++run_.rejected);
  ++run_.admitted;
  for (const LeaseMember* other : run_.running_members)
    if (other && other != this && other->IsActing())
      run_.violation = host_.Name() + "'s action was admitted while " + other->host_.Name() + " may act";
  if (proof.token() < run_.last_token) run_.violation = "the resource admitted a smaller token than before";
  if (proof.token() == run_.last_token && run_.last_writer != holder_)
    run_.violation = "two members acted under the same token";
  run_.last_token = proof.token();
  run_.last_writer = holder_;
  // Some actions have lasting effects.
  if (world_.random()() % 4 != 0) return;
  const Time until = host_.Now() + milliseconds(world_.random()() % run_.term.count());
  proof.ExtendEffects(until);
  run_.effects.push_back({&host_, proof.token(), std::min(until, proof.deadline())});
}

void LeaseMember::Send(const Endpoint& to, const fleet::LeaseMessage& message) {
  host_.Send(to, message, kMessageBytes);
}

// Checks, whenever a member becomes holder or renews its lease, that no other member may act. An overlap can
// only begin at such a moment.
void LeaseMember::OnLeaseStatus(const std::string&, fleet::LeaseStatus status, fleet::FencingToken token,
                                Span remaining, std::string_view) {
  if (status != fleet::LeaseStatus::kHolder) return;
  for (const LeaseMember* other : run_.running_members)
    if (other && other != this && other->IsActing())
      run_.violation = other->host_.Name() + " and " + host_.Name() + " may act at the same time";
  std::erase_if(run_.effects, [](const LeaseRun::Effect& each) { return each.host->Now() >= each.until; });
  for (const LeaseRun::Effect& effect : run_.effects)
    if (effect.token != token)
      run_.violation =
          host_.Name() + " holds the lease while an action of " + effect.host->Name() + " has effects";
  if (run_.newest_holder != holder_ || token != run_.newest_token) ++run_.handovers;
  if (token < run_.newest_token && run_.disks_survive)
    run_.violation = "a new lease has a smaller token than an earlier one";
  if (token == run_.newest_token && run_.newest_holder != holder_)
    run_.violation = "two members held leases with the same token";
  run_.newest_token = token;
  run_.newest_holder = holder_;
  if (!run_.are_leases_announced) return;
  for (const Endpoint& other : run_.members)
    if (other != host_.Address()) host_.Send(other, Announcement{holder_, token, remaining}, kMessageBytes);
}

void LeaseMember::OnFailure(const Failure& failure) {
  if (!run_.expected_failures.contains(&failure.kind())) run_.violation = failure.Text();
}

}  // namespace load_balancer::model
