// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The wire format of the messages, which are sent on the channel `quota` of the federation pool.
#ifndef LOAD_BALANCER_QUOTA_MESSAGE_CODEC_H_
#define LOAD_BALANCER_QUOTA_MESSAGE_CODEC_H_

#include <nlohmann/json.hpp>
#include <string>

#include "base/error/failure.h"
#include "quota/messages.h"

namespace load_balancer::quota {

/// The channel, and the keys of its payload. A payload consists of the allocator's index and either a request
/// or a response.
inline constexpr const char* kChannel = "quota";
inline constexpr const char* kAllocatorKey = "t";
inline constexpr const char* kRequestKey = "q";
inline constexpr const char* kResponseKey = "a";

/// Encodes a message as an object with keys of one letter. Repeated entries are lists.
nlohmann::json ToJson(const AllocationRequest& request);
nlohmann::json ToJson(const AllocationResponse& response);

/// Decodes a message. Checks for unknown and missing keys, and checks types, lengths and ranges. If a check
/// fails, returns kBadMessage with the name of the sender, `from`.
Result<AllocationRequest> AllocationRequestFromJson(const nlohmann::json& json, const std::string& from);
Result<AllocationResponse> AllocationResponseFromJson(const nlohmann::json& json, const std::string& from);

/// Encodes one entry of a message's lists.
nlohmann::json EntryToJson(const GrantRequest& request);
nlohmann::json EntryToJson(const GrantAck& ack);
nlohmann::json EntryToJson(const Grant& grant);
nlohmann::json EntryToJson(const ReservedMinimum& minimum);
nlohmann::json EntryToJson(const std::string& partner);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_MESSAGE_CODEC_H_
