// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The kinds of failure that quotas report.
#ifndef LOAD_BALANCER_QUOTA_FAILURES_H_
#define LOAD_BALANCER_QUOTA_FAILURES_H_

#include <array>

#include "base/error/failure.h"

namespace load_balancer::quota {

inline constexpr FailureKind kBadMessage{"QUOTA-1", "a quota message is malformed and was dropped",
                                         "check whether all gateways run the same version"};
inline constexpr FailureKind kOtherRevision{
    "QUOTA-2", "a gateway has budgets of a different revision than the allocator and gets no grants",
    "distribute the same configuration file to all gateways and send SIGHUP to each"};
inline constexpr FailureKind kBadLedger{
    "QUOTA-3", "the allocator's demand ledger cannot be read and is ignored",
    "no action is needed, as the allocator learns the demand from the gateways' requests within a second"};
inline constexpr FailureKind kNoAllocator{
    "QUOTA-4", "no allocator responds, so the gateway has only its reserved minimums",
    "check with LEASES which gateway holds treasurer/N, and whether a majority of sites.voters can be "
    "reached"};
inline constexpr FailureKind kUnknownGateway{"QUOTA-5",
                                             "a gateway that is not configured requests grants and gets none",
                                             "list it under sites.gateways of all gateways, or stop it"};

/// All kinds, for docs/errors.md.
inline constexpr std::array kFailures{&kBadMessage, &kOtherRevision, &kBadLedger, &kNoAllocator,
                                      &kUnknownGateway};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_FAILURES_H_
