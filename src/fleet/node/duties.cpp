// SPDX-License-Identifier: Apache-2.0
//
// The part of Node that has to do with duties: their leases, and what is made known under them.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/wall_clock.h"
#include "fleet/lease/failures.h"
#include "fleet/node/node.h"

namespace load_balancer::fleet {
namespace {

using Steady = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

}  // namespace

void Node::StartLeases() {
  if (section_.lease_term.count() == 0) return Restore(kept_);
  LeaseOptions options;
  options.holder = holder_ = fmt::format("{}/{}.{}", name_, membership_->self().last.incarnation,
                                         Steady::now().time_since_epoch().count());
  options.address = section_.advertise;
  options.voters = section_.seeds;
  options.term = section_.lease_term;
  options.drift = section_.lease_drift;
  options.leased_roles = options_.duties;
  options.seed = seed_;
  LoadVotes(&options);
  leases_.emplace(std::move(options), Steady::now(), static_cast<Leases::Callbacks&>(*this));
  if (away_) leases_->Release(Steady::now());
  Restore(kept_);
}

// Once the address is had: the process that had it before votes no more.
void Node::LoadVotes(LeaseOptions* options) {
  if (options_.votes.empty()) return;
  std::vector<std::string> voters;
  for (const Udp::endpoint& voter : options->voters) voters.push_back(FormatEndpoint(voter));
  votes_ = std::make_unique<VoteFile>(options_.votes, name_, std::move(voters));
  options->vote_store = votes_.get();
  auto loaded = votes_->Load();
  if (loaded) {
    options->stored_votes = std::move(*loaded);
    return;
  }
  options->may_vote = &loaded.error().kind() != &kVoterSetLeap;
  log::Error(options_.component, loaded.error());
}

void Node::OnFailure(const Failure& failure) { log::Error(options_.component, failure); }

void Node::Send(const Udp::endpoint& to, const LeaseMessage& lease) {
  Message message;
  message.kind = Message::Kind::kLease;
  message.sender = membership_->self().last;
  message.lease = lease;
  Send(to, message);
}

void Node::OnLeaseStatus(const std::string& duty, LeaseStatus status, FencingToken token, Span left,
                         std::string_view why) {
  const auto left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
  log::Info(options_.component, fmt::format("lease duty={} role={} token={} left_ms={} why={}", duty,
                                            Name(status), token, left_ms, why));
  facts_.OnLeaseStatus(duty, status);
  const auto proof = ProveLease(duty);
  if (!proof) return;
  const auto published = Publish(*proof, "lease/" + duty, {{"holder", holder_}, {"left_ms", left_ms}}, left);
  if (!published) log::Warn(options_.component, published.error());
}

bool Node::Does(const std::string& duty) const {
  // An exclusive one never without a lease, though the address is not had yet.
  const auto exclusive = [&](const LeasedRole& each) {
    return each.name == duty && each.kind == LeasedRoleKind::kExclusive;
  };
  if (!leases_) return !leased() || std::none_of(options_.duties.begin(), options_.duties.end(), exclusive);
  const LeaseStatus status = leases_->status(Steady::now(), duty);
  return status == LeaseStatus::kHolder || status == LeaseStatus::kStandalone;
}

std::optional<LeaseProof> Node::ProveLease(const std::string& duty) const {
  return leases_ ? leases_->ProveLease(Steady::now(), duty) : std::nullopt;
}

bool Node::IsFollowerOf(const std::string& duty) const {
  return leases_ && leases_->status(Steady::now(), duty) == LeaseStatus::kFollower;
}

FencingToken Node::HeldToken(const std::string& duty) const {
  return leases_ && leases_->status(Steady::now(), duty) == LeaseStatus::kHolder ? leases_->token(duty) : 0;
}

std::string Node::HolderOf(const std::string& duty) const { return leases_ ? leases_->holder(duty) : ""; }

Result<void> Node::Publish(const LeaseProof& proof, const std::string& key, nlohmann::json value,
                           Span lasts) {
  if (!proof.IsValid(Steady::now())) return tl::unexpected(Failure(kLeaseExpired, key));
  const UnixMs now = UnixMilliseconds();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(lasts).count();
  state_.Announce(
      FencedValue{proof.lease_name(), key, proof.token(), now + static_cast<UnixMs>(ms), std::move(value)});
  return {};
}

std::string Node::DescribeLeases() const {
  if (!leases_) return "";
  const Time now = Steady::now();
  std::string line;
  for (const auto& [duty, kind] : options_.duties)
    line += fmt::format("{}{} {} holder={} token={} left={:.1f}s kind={}", line.empty() ? "" : ", ", duty,
                        Name(leases_->status(now, duty)),
                        leases_->holder(duty).empty() ? "-" : leases_->holder(duty), leases_->token(duty),
                        Seconds(leases_->remaining(now, duty)).count(), Name(kind));
  return line;
}

void Node::OnFact(const FencedValue& fact) {
  if (fact.key != "lease/" + fact.duty) return facts_.OnFencedValue(fact);
  if (!leases_ || !fact.value.is_object()) return;
  const auto holder = fact.value.find("holder"), left = fact.value.find("left_ms");
  if (holder == fact.value.end() || !holder->is_string() || left == fact.value.end() ||
      !left->is_number_integer())
    return;
  const auto ms = std::clamp<std::int64_t>(left->get<std::int64_t>(), 0, section_.lease_term.count());
  leases_->ObserveHolder(Steady::now(), fact.duty, holder->get<std::string>(), fact.token,
                         std::chrono::milliseconds(ms));
}

}  // namespace load_balancer::fleet
