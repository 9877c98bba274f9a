// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The names of the allocators' leases. They are part of the wire format and of operators' documentation,
/// which call an allocator a treasurer.
#ifndef LOAD_BALANCER_QUOTA_DUTY_H_
#define LOAD_BALANCER_QUOTA_DUTY_H_

#include <cstddef>
#include <string>

namespace load_balancer::quota {

/// Returns the name of the leased role of allocator `index`. The process that holds this lease issues the
/// allocator's grants.
inline std::string AllocatorRoleName(std::size_t index) {
  return std::string("treasurer/").append(std::to_string(index));
}

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_DUTY_H_
