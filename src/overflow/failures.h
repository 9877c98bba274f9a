// SPDX-License-Identifier: Apache-2.0
//
// The failures of the overflow between sites.
#ifndef LOAD_BALANCER_OVERFLOW_FAILURES_H_
#define LOAD_BALANCER_OVERFLOW_FAILURES_H_

#include <array>

#include "base/error/failure.h"

namespace load_balancer::overflow {

inline constexpr FailureKind kBadEstimate{"SPILL-1", "an estimate is malformed",
                                          "check which version the gateway that sent it runs; its site "
                                          "receives nothing until a valid estimate arrives"};
inline constexpr FailureKind kFutureEstimate{"SPILL-2", "an estimate was made in the future",
                                             "correct the wall clocks of the site's estimate publisher and "
                                             "of this machine; the site receives nothing meanwhile"};
inline constexpr FailureKind kFencedEstimate{"SPILL-3", "an estimate has a smaller token than an earlier one",
                                             "no action is needed if a new estimate publisher has just taken "
                                             "over; if it persists, check LEASES of the site's members"};
inline constexpr FailureKind kUnknownSite{"SPILL-4", "an estimate belongs to a site that is not configured",
                                          "configure the same sites.gateways at all gateways"};
inline constexpr FailureKind kBadMark{
    "SPILL-5", "the mark of a forwarded request is malformed",
    "no action is needed: the mark was removed and the request handled as a client's"};
inline constexpr FailureKind kUnverifiedMark{
    "SPILL-6", "the mark of a forwarded request names a gateway that did not send it",
    "if the address is a gateway's, add it to sites.gateways; "
    "otherwise a client pretends to be a gateway, and the "
    "mark was removed"};
inline constexpr FailureKind kGatewayEjected{
    "SPILL-7", "a gateway of another site rejected or failed too many requests and is ejected",
    "check that gateway and the link to its site; it returns to service automatically"};

inline constexpr std::array kOverflowFailures{&kBadEstimate,   &kFutureEstimate, &kFencedEstimate,
                                              &kUnknownSite,   &kBadMark,        &kUnverifiedMark,
                                              &kGatewayEjected};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_FAILURES_H_
