// SPDX-License-Identifier: Apache-2.0
//
// The set of voters, as members compare it.
#ifndef BRACKENSPOKE_FLEET_LEASE_VOTERS_H_
#define BRACKENSPOKE_FLEET_LEASE_VOTERS_H_

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <vector>

namespace brackenspoke::fleet {

// The same for the same voters in whatever order (xxHash).
std::uint64_t VotersHash(std::vector<boost::asio::ip::udp::endpoint> voters);

}  // namespace brackenspoke::fleet

#endif  // BRACKENSPOKE_FLEET_LEASE_VOTERS_H_
