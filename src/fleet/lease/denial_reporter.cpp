// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/denial_reporter.h"

#include <string>

#include "fleet/lease/failures.h"

namespace load_balancer::fleet {
namespace {

using Why = LeaseMessage::Why;

std::string Figures(std::uint64_t there, std::uint64_t here) {
  return std::to_string(there) + " there, " + std::to_string(here) + " here";
}

std::uint64_t Count(std::chrono::milliseconds span) { return static_cast<std::uint64_t>(span.count()); }

}  // namespace

std::optional<Failure> Complaints::Of(const Endpoint& voter, const LeaseMessage& denial,
                                      const LeaseTerms& terms) {
  const FailureKind* kind = nullptr;
  std::string detail;
  switch (denial.why) {
    case Why::kTerm:
      kind = &kOtherTerm;
      detail = Figures(denial.term_ms, Count(terms.term));
      break;
    case Why::kDrift:
      kind = &kOtherDrift;
      detail = Figures(denial.drift_ms, Count(terms.drift));
      break;
    case Why::kVoters:
      kind = &kOtherVoters;
      detail = "hash " + Figures(denial.voters, terms.voters);
      break;
    case Why::kDisk:
    case Why::kFull:
      kind = &kVoteNotKept;
      detail = denial.why == Why::kDisk ? "disk" : "too many duties";
      break;
    case Why::kNone:
    case Why::kHeld:
    case Why::kSilent:
      return std::nullopt;
  }
  if (!told_.emplace(voter, denial.why).second) return std::nullopt;
  return Failure(*kind, voter.address().to_string() + ":" + std::to_string(voter.port()), detail);
}

void Complaints::Forget(const Endpoint& voter) {
  std::erase_if(told_, [&](const auto& each) { return each.first == voter; });
}

}  // namespace load_balancer::fleet
