// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/voter_set.h"

#include <xxhash.h>

#include <algorithm>

namespace load_balancer::fleet {

std::uint64_t VotersHash(std::vector<boost::asio::ip::udp::endpoint> voters) {
  std::sort(voters.begin(), voters.end());
  std::uint64_t hash = 0;
  for (const auto& voter : voters) {
    const auto bytes = voter.address().is_v4() ? boost::asio::ip::make_address_v6(boost::asio::ip::v4_mapped,
                                                                                  voter.address().to_v4())
                                               : voter.address().to_v6();
    const auto raw = bytes.to_bytes();
    hash = XXH64(raw.data(), raw.size(), hash + voter.port());
  }
  return hash;
}

}  // namespace load_balancer::fleet
