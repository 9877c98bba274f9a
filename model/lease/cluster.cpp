// SPDX-License-Identifier: Apache-2.0
#include "model/lease/cluster.h"

#include <xxhash.h>

#include <algorithm>

#include "fleet/lease/fingerprint.h"

namespace load_balancer::model {
namespace {

using fleet::LeaseMessage;
using Kind = Step::Kind;

constexpr char kLeaseName[] = "d";
constexpr std::chrono::milliseconds kClockUnit(500);  // one sixth of the 3 s unit of true time

fleet::Leases::Endpoint AddressOf(std::size_t index) {
  return {boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(index + 1)};
}

bool AreEqual(const LeaseMessage& a, const LeaseMessage& b) {
  return a.type == b.type && a.token == b.token && a.holder == b.holder &&
         a.request_number == b.request_number && a.requested_token == b.requested_token &&
         a.retry_after_ms == b.retry_after_ms && a.denial_reason == b.denial_reason;
}

std::string NameOf(std::size_t index) { return std::string(1, static_cast<char>('A' + index)); }

}  // namespace

LeaseCluster::LeaseCluster(const ClusterOptions& options) : options_(options) {
  for (std::size_t i = 0; i < kClusterMembers; ++i) {
    members_[i].cluster = this;
    members_[i].index = i;
    if (options_.has_initial_disks) members_[i].disk.emplace();
    StartMember(i);
  }
}

Time LeaseCluster::ClockOf(std::size_t index) const {
  return Time(std::chrono::hours(1)) + elapsed_units_ * options_.clock_rates[index] * kClockUnit;
}

std::uint64_t LeaseCluster::WallClockOf(std::size_t index) const {
  return options_.are_wall_clocks_running ? static_cast<std::uint64_t>(1 + elapsed_units_) : 1 + 2 * index;
}

void LeaseCluster::Member::Send(const fleet::Leases::Endpoint& to, const LeaseMessage& message) {
  if (message.type == LeaseMessage::Type::kDenial) return;
  const std::size_t receiver = to.port() - 1u;
  const bool is_pending = std::any_of(
      cluster->pending_messages_.begin(), cluster->pending_messages_.end(), [&](const PendingMessage& each) {
        return each.from == index && each.to == receiver && AreEqual(each.message, message);
      });
  if (!is_pending) cluster->pending_messages_.push_back({index, receiver, message});
}

void LeaseCluster::Member::OnLeaseStatus(const std::string&, fleet::LeaseStatus status,
                                         fleet::FencingToken token, Span, std::string_view) {
  if (status != fleet::LeaseStatus::kHolder) return;
  if (token == cluster->newest_token_ && cluster->newest_holder_ != index)
    cluster->violation_ = "two members held leases with the same token";
  cluster->newest_token_ = token;
  cluster->newest_holder_ = index;
}

bool LeaseCluster::Member::Save(const fleet::StoredVotes& votes) {
  disk = votes;
  return true;
}

void LeaseCluster::StartMember(std::size_t index) {
  Member& member = members_[index];
  fleet::LeaseOptions options;
  options.holder = NameOf(index) + "/" + std::to_string(++member.incarnation);
  options.address = AddressOf(index);
  for (std::size_t i = 0; i < kClusterMembers; ++i) options.voters.push_back(AddressOf(i));
  options.term = index == 0 ? options_.first_term : options_.term;
  options.drift = options_.drift;
  options.leased_roles = {{kLeaseName, fleet::LeasedRoleKind::kExclusive}};
  options.seed = index;
  options.stored_votes = member.disk;
  options.vote_store = &member;
  member.proof.reset();
  member.is_released = false;
  member.leases = std::make_unique<fleet::Leases>(std::move(options), ClockOf(index), member);
}

std::vector<Step> LeaseCluster::EnabledSteps() const {
  std::vector<Step> steps{{Kind::kAdvanceTime, 1}, {Kind::kAdvanceTime, 5}};
  for (std::uint8_t i = 0; i < kClusterMembers; ++i) {
    const Member& member = members_[i];
    if (member.leases->Next() <= ClockOf(i)) steps.push_back({Kind::kTick, i});
    if (member.proof) steps.push_back({Kind::kAct, i});
    if (member.leases->status(ClockOf(i), kLeaseName) == fleet::LeaseStatus::kHolder) {
      if (!member.proof && proofs_ < options_.max_proofs) steps.push_back({Kind::kTakeProof, i});
      if (faults_ < options_.max_faults) steps.push_back({Kind::kRelease, i});
    }
    if (member.is_released) steps.push_back({Kind::kResume, i});
    if (faults_ == options_.max_faults) continue;
    steps.push_back({Kind::kRestart, i});
    steps.push_back({Kind::kRestartWithoutDisk, i});
  }
  for (std::uint8_t i = 0; i < pending_messages_.size(); ++i) {
    steps.push_back({Kind::kDeliver, i});
    if (faults_ < options_.max_faults) steps.push_back({Kind::kDeliverCopy, i});
  }
  return steps;
}

void LeaseCluster::Apply(const Step& step) {
  if (step.kind == Kind::kAdvanceTime) {
    elapsed_units_ += step.operand;
  } else if (step.kind <= Kind::kDrop && step.operand >= pending_messages_.size()) {
    return;  // an initial state may name a message that was not sent
  } else if (step.kind == Kind::kDrop) {
    pending_messages_.erase(pending_messages_.begin() + step.operand);
  } else if (step.kind == Kind::kDeliver || step.kind == Kind::kDeliverCopy) {
    const PendingMessage pending = pending_messages_[step.operand];
    if (step.kind == Kind::kDeliverCopy)
      ++faults_;
    else
      pending_messages_.erase(pending_messages_.begin() + step.operand);
    members_[pending.to].leases->Receive(ClockOf(pending.to), AddressOf(pending.from), pending.message);
  } else {
    Member& member = members_[step.operand];
    const Time now = ClockOf(step.operand);
    switch (step.kind) {
      case Kind::kTick:
        member.leases->Tick(now, WallClockOf(step.operand));
        break;
      case Kind::kTakeProof:
        ++proofs_;
        member.proof = member.leases->ProveLease(now, kLeaseName);
        break;
      case Kind::kAct:
        Act(step.operand);
        break;
      case Kind::kRelease:
        ++faults_;
        member.is_released = true;
        member.leases->Release(now);
        break;
      case Kind::kResume:
        member.is_released = false;
        member.leases->Resume(now);
        break;
      default:
        if (step.kind == Kind::kRestartWithoutDisk) member.disk.reset();
        ++faults_;
        StartMember(step.operand);
    }
  }
}

bool LeaseCluster::IsActing(std::size_t index) const {
  const Member& member = members_[index];
  return member.leases->status(ClockOf(index), kLeaseName) == fleet::LeaseStatus::kHolder ||
         (member.proof && member.proof->IsValid(ClockOf(index)));
}

void LeaseCluster::Act(std::size_t index) {
  Member& member = members_[index];
  const fleet::LeaseProof proof = *std::exchange(member.proof, std::nullopt);
  if (!resource_.Admit(proof, ClockOf(index))) return;
  for (std::size_t i = 0; i < kClusterMembers; ++i)
    if (i != index && IsActing(i))
      violation_ = NameOf(index) + "'s action was admitted while " + NameOf(i) + " may act";
  if (proof.token() < last_token_) violation_ = "the resource admitted a smaller token than before";
  if (proof.token() == last_token_ && last_writer_ != index)
    violation_ = "two members acted under the same token";
  last_token_ = proof.token();
  last_writer_ = index;
}

std::optional<std::string> LeaseCluster::FindViolation() const {
  if (violation_) return violation_;
  for (std::size_t i = 0; i < kClusterMembers; ++i)
    for (std::size_t j = 0; j < i; ++j)
      if (IsActing(i) && IsActing(j)) return NameOf(j) + " and " + NameOf(i) + " may act at the same time";
  return std::nullopt;
}

std::uint64_t LeaseCluster::Fingerprint() const {
  std::vector<std::uint64_t> words{last_token_, last_writer_, newest_token_, newest_holder_,
                                   static_cast<std::uint64_t>(faults_ * 16 + proofs_)};
  for (std::size_t i = 0; i < kClusterMembers; ++i) {
    const Member& member = members_[i];
    const bool is_proof_valid = member.proof && member.proof->IsValid(ClockOf(i));
    words.insert(words.end(),
                 {static_cast<std::uint64_t>(member.incarnation), member.is_released, member.disk.has_value(),
                  member.proof.has_value(), is_proof_valid ? member.proof->token() : 0,
                  is_proof_valid ? fleet::FingerprintOf(ClockOf(i), member.proof->deadline()) : 0});
    if (member.disk)
      for (const auto& [lease_name, vote] : *member.disk)
        words.insert(words.end(), {fleet::FingerprintOf(vote.holder), vote.token, vote.largest_token});
    member.leases->AppendFingerprint(ClockOf(i), &words);
  }
  // The sum of the digests does not depend on the order of the messages.
  std::uint64_t pending_digest = 0;
  for (const PendingMessage& pending : pending_messages_) {
    const LeaseMessage& message = pending.message;
    const std::array<std::uint64_t, 8> each{
        pending.from * kClusterMembers + pending.to,
        static_cast<std::uint64_t>(message.type) * 16 + static_cast<std::uint64_t>(message.denial_reason),
        message.token,
        fleet::FingerprintOf(message.holder),
        message.request_number,
        message.requested_token,
        message.retry_after_ms,
        0};
    pending_digest += XXH64(each.data(), sizeof each, 1);
  }
  words.push_back(pending_digest);
  return XXH64(words.data(), words.size() * sizeof words[0], 0);
}

std::string LeaseCluster::Describe(const Step& step) const {
  const std::string name = NameOf(step.operand % kClusterMembers);
  switch (step.kind) {
    case Kind::kAdvanceTime:
      return std::to_string(3 * step.operand) + " s pass";
    case Kind::kTick:
      return name + " processes its timers";
    case Kind::kTakeProof:
      return name + " takes a proof";
    case Kind::kAct:
      return name + "'s action reaches the resource";
    case Kind::kRelease:
      return name + " releases its lease";
    case Kind::kResume:
      return name + " requests leases again";
    case Kind::kRestart:
      return name + " restarts";
    case Kind::kRestartWithoutDisk:
      return name + " restarts, and its disk is lost";
    case Kind::kDeliver:
    case Kind::kDeliverCopy:
    case Kind::kDrop:
      break;
  }
  const PendingMessage& pending = pending_messages_.at(step.operand);
  const LeaseMessage& message = pending.message;
  constexpr std::array<const char*, fleet::kLeaseMessageTypes> kMessageNames{"request", "grant", "denial",
                                                                             "release"};
  return NameOf(pending.to) +
         (step.kind == Kind::kDeliverCopy ? " receives a copy of "
          : step.kind == Kind::kDrop      ? " does not receive "
                                          : " receives ") +
         NameOf(pending.from) + "'s " + kMessageNames[static_cast<std::size_t>(message.type)] +
         " token=" + std::to_string(message.token) + " holder=" + message.holder + " request=..." +
         std::to_string(message.request_number % 1000);
}

}  // namespace load_balancer::model
