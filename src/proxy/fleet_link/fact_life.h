// SPDX-License-Identifier: Apache-2.0
//
// How long the fleet keeps what a duty's holder makes known.
#ifndef BRACKENSPOKE_PROXY_FLEET_LINK_FACT_LIFE_H_
#define BRACKENSPOKE_PROXY_FLEET_LINK_FACT_LIFE_H_

#include <chrono>

namespace brackenspoke::proxy {

// Unless it is renewed.
inline constexpr std::chrono::hours kFactLasts{12};

}  // namespace brackenspoke::proxy

#endif  // BRACKENSPOKE_PROXY_FLEET_LINK_FACT_LIFE_H_
