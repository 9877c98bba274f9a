// SPDX-License-Identifier: Apache-2.0
//
// The set of voters, as members compare it.
#ifndef LOAD_BALANCER_FLEET_LEASE_VOTER_SET_H_
#define LOAD_BALANCER_FLEET_LEASE_VOTER_SET_H_

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <vector>

namespace load_balancer::fleet {

// The same for the same voters in whatever order (xxHash).
std::uint64_t VotersHash(std::vector<boost::asio::ip::udp::endpoint> voters);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_VOTER_SET_H_
