// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/lease_participant.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/wall_clock.h"
#include "fleet/lease/failures.h"
#include "fleet/node/lease_announcement.h"
#include "fleet/node/section_options.h"

namespace load_balancer::fleet {
namespace {

using Steady = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

}  // namespace

void LeaseParticipant::Start(std::uint64_t incarnation) {
  if (!has_leases()) return;
  // The reading of the steady clock distinguishes incarnations even if the wall clock has gone back.
  holder_ = fmt::format("{}/{}.{}", name_, incarnation, Steady::now().time_since_epoch().count());
  LeaseOptions options = LeaseOptionsOf(section_, options_.duties, seed_);
  options.holder = holder_;
  LoadVotes(&options);
  leases_.emplace(std::move(options), Steady::now(), static_cast<Leases::Callbacks&>(*this));
}

void LeaseParticipant::LoadVotes(LeaseOptions* options) {
  if (options_.votes.empty()) return;
  std::vector<std::string> voters;
  for (const Udp::endpoint& voter : options->voters) voters.push_back(FormatEndpoint(voter));
  vote_file_ = std::make_unique<VoteFile>(options_.votes, name_, std::move(voters));
  options->vote_store = vote_file_.get();
  auto loaded = vote_file_->Load();
  if (loaded) {
    options->stored_votes = std::move(*loaded);
    return;
  }
  options->may_vote = &loaded.error().kind() != &kVoterSetChangeTooLarge;
  log::Error(options_.component, loaded.error());
}

void LeaseParticipant::Release() {
  if (leases_) leases_->Release(Steady::now());
}

void LeaseParticipant::Resume() {
  if (leases_) leases_->Resume(Steady::now());
}

void LeaseParticipant::Receive(const Udp::endpoint& from, const LeaseMessage& message) {
  if (leases_) leases_->Receive(Steady::now(), from, message);
}

void LeaseParticipant::Tick() {
  if (leases_) leases_->Tick(Steady::now(), UnixMilliseconds());
}

Time LeaseParticipant::Next() const { return leases_ ? leases_->Next() : Time::max(); }

bool LeaseParticipant::ReceiveAnnouncement(const FencedValue& fenced) {
  if (fenced.key != AnnouncementKey(fenced.role)) return false;
  const auto announcement = ReadLeaseAnnouncement(fenced, section_.lease_term);
  if (leases_ && announcement)
    leases_->ObserveHolder(Steady::now(), fenced.role, announcement->holder, fenced.token,
                           announcement->left);
  return true;
}

std::map<std::string, FencingToken> LeaseParticipant::HighestTokens() const {
  std::map<std::string, FencingToken> tokens;
  if (!leases_) return tokens;
  for (const auto& [duty, kind] : options_.duties) tokens[duty] = leases_->largest_token(duty);
  return tokens;
}

void LeaseParticipant::RaiseTokens(const std::map<std::string, FencingToken>& tokens) {
  if (!leases_) return;
  for (const auto& [duty, token] : tokens) leases_->RaiseLargestToken(duty, token);
}

void LeaseParticipant::Send(const Udp::endpoint& to, const LeaseMessage& message) {
  host_.SendLease(to, message);
}

void LeaseParticipant::OnFailure(const Failure& failure) { log::Error(options_.component, failure); }

void LeaseParticipant::OnLeaseStatus(const std::string& duty, LeaseStatus status, FencingToken token,
                                     Span left, std::string_view why) {
  const auto left_ms = std::chrono::duration_cast<milliseconds>(left);
  log::Info(options_.component, fmt::format("lease duty={} role={} token={} left_ms={} why={}", duty,
                                            Name(status), token, left_ms.count(), why));
  listener_.OnLeaseStatus(duty, status);
  const auto proof = ProveLease(duty);
  if (!proof) return;
  const auto published = host_.Publish(*proof, AnnouncementKey(duty), ToJson({holder_, left_ms}), left);
  if (!published) log::Warn(options_.component, published.error());
}

bool LeaseParticipant::IsExclusive(const std::string& duty) const {
  return std::any_of(options_.duties.begin(), options_.duties.end(), [&duty](const LeasedRole& spec) {
    return spec.name == duty && spec.kind == LeasedRoleKind::kExclusive;
  });
}

bool LeaseParticipant::IsResponsibleFor(const std::string& duty) const {
  // An exclusive role requires a lease, and before Start this process cannot have one.
  if (!leases_) return !has_leases() || !IsExclusive(duty);
  const LeaseStatus status = leases_->status(Steady::now(), duty);
  return status == LeaseStatus::kHolder || status == LeaseStatus::kStandalone;
}

std::optional<LeaseProof> LeaseParticipant::ProveLease(const std::string& duty) const {
  return leases_ ? leases_->ProveLease(Steady::now(), duty) : std::nullopt;
}

bool LeaseParticipant::IsFollowerOf(const std::string& duty) const {
  return leases_ && leases_->status(Steady::now(), duty) == LeaseStatus::kFollower;
}

FencingToken LeaseParticipant::HeldToken(const std::string& duty) const {
  const bool is_holder = leases_ && leases_->status(Steady::now(), duty) == LeaseStatus::kHolder;
  return is_holder ? leases_->token(duty) : 0;
}

std::string LeaseParticipant::HolderOf(const std::string& duty) const {
  return leases_ ? leases_->holder(duty) : "";
}

std::string LeaseParticipant::Describe() const {
  std::string line;
  if (!leases_) return line;
  for (const auto& [duty, kind] : options_.duties) {
    if (!line.empty()) line += ", ";
    line += DescribeDuty(duty, kind);
  }
  return line;
}

std::string LeaseParticipant::DescribeDuty(const std::string& duty, LeasedRoleKind kind) const {
  const Time now = Steady::now();
  const std::string holder = leases_->holder(duty).empty() ? "-" : leases_->holder(duty);
  return fmt::format("{} {} holder={} token={} left={:.1f}s kind={}", duty, Name(leases_->status(now, duty)),
                     holder, leases_->token(duty), Seconds(leases_->remaining(now, duty)).count(),
                     Name(kind));
}

}  // namespace load_balancer::fleet
