// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A digest of the set of voters, by which members check that they have the same configuration.
#ifndef LOAD_BALANCER_FLEET_LEASE_VOTER_SET_H_
#define LOAD_BALANCER_FLEET_LEASE_VOTER_SET_H_

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <vector>

namespace load_balancer::fleet {

/// Independent of the order of the voters (xxHash, over addresses in their IPv6 form).
std::uint64_t HashVoterSet(std::vector<boost::asio::ip::udp::endpoint> voters);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_VOTER_SET_H_
