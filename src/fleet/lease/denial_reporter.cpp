// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/denial_reporter.h"

#include <string>

#include "fleet/lease/failures.h"

namespace load_balancer::fleet {
namespace {

using DenialReason = LeaseMessage::DenialReason;

struct DenialFailure {
  const FailureKind& kind;
  std::string detail;
};

std::string CompareValues(std::uint64_t voters_value, std::uint64_t own_value) {
  return "voter: " + std::to_string(voters_value) + ", this member: " + std::to_string(own_value);
}

std::uint64_t MillisecondCount(std::chrono::milliseconds span) {
  return static_cast<std::uint64_t>(span.count());
}

// Returns nothing for a denial that is part of normal operation.
std::optional<DenialFailure> FailureOf(const LeaseMessage& denial, const LeaseTerms& terms) {
  switch (denial.denial_reason) {
    case DenialReason::kTermMismatch:
      return DenialFailure{kTermMismatch, CompareValues(denial.term_ms, MillisecondCount(terms.term))};
    case DenialReason::kDriftMismatch:
      return DenialFailure{kDriftMismatch, CompareValues(denial.drift_ms, MillisecondCount(terms.drift))};
    case DenialReason::kVoterSetMismatch:
      return DenialFailure{kVoterSetMismatch,
                           "hash at " + CompareValues(denial.voter_set_hash, terms.voter_set_hash)};
    case DenialReason::kNotPersisted:
      return DenialFailure{kVoteNotPersisted, "disk"};
    case DenialReason::kTooManyLeases:
      return DenialFailure{kVoteNotPersisted, "it already stores votes for the maximum number of duties"};
    case DenialReason::kNone:
    case DenialReason::kLeaseHeld:
    case DenialReason::kGracePeriod:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

std::optional<Failure> DenialReporter::Report(const Endpoint& voter, const LeaseMessage& denial,
                                              const LeaseTerms& terms) {
  const std::optional<DenialFailure> failure = FailureOf(denial, terms);
  if (!failure) return std::nullopt;
  const bool is_new = reported_[voter].insert(denial.denial_reason).second;
  if (!is_new) return std::nullopt;
  const std::string address = voter.address().to_string() + ":" + std::to_string(voter.port());
  return Failure(failure->kind, address, failure->detail);
}

}  // namespace load_balancer::fleet
