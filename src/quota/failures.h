// SPDX-License-Identifier: Apache-2.0
//
// What can go wrong with quotas.
#ifndef LOAD_BALANCER_QUOTA_FAILURES_H_
#define LOAD_BALANCER_QUOTA_FAILURES_H_

#include <array>

#include "base/error/failure.h"

namespace load_balancer::quota {

inline constexpr FailureKind kBadMessage{"QUOTA-1", "a message about draws is out of form and was dropped",
                                         "look for gateways of another version"};
inline constexpr FailureKind kOtherRevision{
    "QUOTA-2", "a gateway has budgets of another revision than the treasurer and gets no draws",
    "bring the same file to all gateways and send each SIGHUP"};
inline constexpr FailureKind kBadLedger{
    "QUOTA-3", "the treasurer's ledger cannot be read and is ignored",
    "nothing needs doing, as demand is learnt anew from the gateways' asks within a second"};
inline constexpr FailureKind kNoAllocator{
    "QUOTA-4", "no treasurer answers, and the gateway is down to its floors",
    "see by LEASES who holds the duty, and whether a majority of sites.voters can be reached"};
inline constexpr FailureKind kUnknownGateway{"QUOTA-5",
                                             "a gateway that is not configured asks for draws and gets none",
                                             "list it under sites.gateways of all gateways, or stop it"};

// All of them, for docs/errors.md.
inline constexpr std::array kFailures{&kBadMessage, &kOtherRevision, &kBadLedger, &kNoAllocator,
                                      &kUnknownGateway};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_FAILURES_H_
