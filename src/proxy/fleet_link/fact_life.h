// SPDX-License-Identifier: Apache-2.0
//
// How long the fleet keeps what a duty's holder makes known.
#ifndef LOAD_BALANCER_PROXY_FLEET_LINK_FACT_LIFE_H_
#define LOAD_BALANCER_PROXY_FLEET_LINK_FACT_LIFE_H_

#include <chrono>

namespace load_balancer::proxy {

// Unless it is renewed.
inline constexpr std::chrono::hours kFactLasts{12};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FLEET_LINK_FACT_LIFE_H_
