// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A hash of the set of voters, with which members check that their configurations agree.
#ifndef LOAD_BALANCER_FLEET_LEASE_VOTER_SET_H_
#define LOAD_BALANCER_FLEET_LEASE_VOTER_SET_H_

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <vector>

namespace load_balancer::fleet {

/// Returns a hash that does not depend on the order of the voters (xxHash of the addresses in IPv6 form).
std::uint64_t HashVoterSet(std::vector<boost::asio::ip::udp::endpoint> voters);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_VOTER_SET_H_
