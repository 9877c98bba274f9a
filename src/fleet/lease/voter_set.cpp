// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/voter_set.h"

#include <xxhash.h>

#include <algorithm>

namespace load_balancer::fleet {
namespace {

namespace ip = boost::asio::ip;

ip::address_v6 ToIpv6(const ip::address& address) {
  return address.is_v4() ? ip::make_address_v6(ip::v4_mapped, address.to_v4()) : address.to_v6();
}

}  // namespace

std::uint64_t HashVoterSet(std::vector<ip::udp::endpoint> voters) {
  std::sort(voters.begin(), voters.end());
  std::uint64_t hash = 0;
  for (const ip::udp::endpoint& voter : voters) {
    const auto bytes = ToIpv6(voter.address()).to_bytes();
    hash = XXH64(bytes.data(), bytes.size(), hash + voter.port());
  }
  return hash;
}

}  // namespace load_balancer::fleet
