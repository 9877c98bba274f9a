// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// Splits messages with many entries so that each part fits a datagram.
#ifndef LOAD_BALANCER_QUOTA_MESSAGE_SPLIT_H_
#define LOAD_BALANCER_QUOTA_MESSAGE_SPLIT_H_

#include <vector>

#include "quota/messages.h"

namespace load_balancer::quota {

/// Distributes the entries of a message over as many messages as needed, each of at most kMaxMessageBytes.
/// Returns no message if there are no entries.
std::vector<AllocationRequest> Split(const AllocationRequest& request);
std::vector<AllocationResponse> Split(const AllocationResponse& response);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_MESSAGE_SPLIT_H_
