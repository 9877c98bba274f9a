// SPDX-License-Identifier: Apache-2.0
//
// The failures of the overflow between sites.
#ifndef LOAD_BALANCER_OVERFLOW_FAILURES_H_
#define LOAD_BALANCER_OVERFLOW_FAILURES_H_

#include <array>

#include "base/error/failure.h"

namespace load_balancer::overflow {

inline constexpr FailureKind kBadEstimate{
    "SPILL-1", "an estimate is out of form",
    "see which version the gateway that sent it runs; until a good one comes its site is sent nothing"};
inline constexpr FailureKind kFutureEstimate{
    "SPILL-2", "an estimate is from the future",
    "set the wall clocks of the site's ambassador and of this machine; its site is sent nothing meanwhile"};
inline constexpr FailureKind kFencedEstimate{"SPILL-3", "an estimate has a smaller token than one before",
                                             "nothing to do if a new ambassador has just taken over; if it "
                                             "goes on, look at LEASES of the site's members"};
inline constexpr FailureKind kUnknownSite{"SPILL-4", "an estimate is of a site that is not configured",
                                          "bring sites.gateways to the same state at all gateways"};
inline constexpr FailureKind kBadMark{
    "SPILL-5", "a request's mark of a spilled one is out of form",
    "nothing to do: the mark was removed and the request handled as a client's"};
inline constexpr FailureKind kUnverifiedMark{"SPILL-6",
                                             "a request's mark names a gateway that it does not come from",
                                             "if the address is a gateway's, add it to sites.gateways; "
                                             "otherwise a client tries to pass for one, and the "
                                             "mark was removed"};
inline constexpr FailureKind kGatewayEjected{
    "SPILL-7", "a neighbour's gateway refused or failed too often and is left for a while",
    "look at that gateway and at the link to its site; it is tried again by itself"};

inline constexpr std::array kOverflowFailures{&kBadEstimate,   &kFutureEstimate, &kFencedEstimate,
                                              &kUnknownSite,   &kBadMark,        &kUnverifiedMark,
                                              &kGatewayEjected};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_FAILURES_H_
