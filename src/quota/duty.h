// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The names of the allocators' leases. They are part of the wire format and of operators' pages, where an
/// allocator is called a treasurer.
#ifndef LOAD_BALANCER_QUOTA_DUTY_H_
#define LOAD_BALANCER_QUOTA_DUTY_H_

#include <cstddef>
#include <string>

namespace load_balancer::quota {

/// The name of the lease that the allocator `index` holds while it issues grants.
inline std::string AllocatorDuty(std::size_t index) {
  return std::string("treasurer/").append(std::to_string(index));
}

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_DUTY_H_
