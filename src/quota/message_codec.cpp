// SPDX-License-Identifier: Apache-2.0
#include "quota/message_codec.h"

#include <stdexcept>

#include "quota/failures.h"

namespace load_balancer::quota {
namespace {

using nlohmann::json;

// The keys on the wire. They abbreviate former names of the fields and must not change.
constexpr const char* kIncarnationKey = "l";
constexpr const char* kRevisionKey = "r";
constexpr const char* kNumberKey = "i";
constexpr const char* kGrantRequestsKey = "a";
constexpr const char* kAcksKey = "k";
constexpr const char* kTokenKey = "t";
constexpr const char* kAgreedKey = "g";
constexpr const char* kGrantsKey = "d";
constexpr const char* kRecallsKey = "c";
constexpr const char* kReservedMinimumsKey = "f";

// The number of keys of each message and the number of fields of each list entry.
constexpr std::size_t kRequestKeys = 5;
constexpr std::size_t kResponseKeys = 7;
constexpr std::size_t kGrantRequestFields = 6;
constexpr std::size_t kAckFields = 4;
constexpr std::size_t kGrantFields = 6;
constexpr std::size_t kReservedMinimumFields = 3;

constexpr std::uint64_t kMaxDurationMs = 600'000;
constexpr std::size_t kMaxListEntries = 256;

template <typename Entry>
json ListToJson(const std::vector<Entry>& entries) {
  json list = json::array();
  for (const Entry& entry : entries) list.push_back(EntryToJson(entry));
  return list;
}

// The functions below throw json::exception or std::invalid_argument if a value is malformed.

std::uint64_t ReadUnsigned(const json& value) {
  if (!value.is_number_unsigned()) throw std::invalid_argument("a value is not an unsigned integer");
  return value.get<std::uint64_t>();
}

std::uint64_t ReadUnsigned(const json& value, std::uint64_t max) {
  const std::uint64_t number = ReadUnsigned(value);
  if (number > max) throw std::invalid_argument("a number is out of range");
  return number;
}

MilliUnits ReadAmount(const json& value, MilliUnits max) {
  return static_cast<MilliUnits>(ReadUnsigned(value, static_cast<std::uint64_t>(max)));
}

std::string ReadPartner(const json& value) {
  auto name = value.get<std::string>();
  if (name.empty() || name.size() > kMaxPartnerNameBytes)
    throw std::invalid_argument("a partner's name is empty or too long");
  return name;
}

void CheckEntry(const json& value, std::size_t fields) {
  if (!value.is_array() || value.size() != fields)
    throw std::invalid_argument(std::string("entry") + " is not an array of " + std::to_string(fields) +
                                " fields");
}

template <typename Entry, typename Read>
std::vector<Entry> ReadList(const json& root, const char* key, Read read) {
  const json& list = root.at(key);
  if (!list.is_array() || list.size() > kMaxListEntries)
    throw std::invalid_argument(std::string("list") + " '" + key +
                                "' is not an array or has too many entries");
  std::vector<Entry> entries;
  entries.reserve(list.size());
  for (const json& entry : list) entries.push_back(read(entry));
  return entries;
}

// Reads the fields of an acknowledgement, which are also the first fields of a grant request.
GrantAck ReadAckFields(const json& value) {
  return {ReadPartner(value[0]),
          {ReadUnsigned(value[1]), ReadUnsigned(value[2])},
          ReadUnsigned(value[3], kMaxDurationMs)};
}

GrantAck ReadAck(const json& value) {
  CheckEntry(value, kAckFields);
  return ReadAckFields(value);
}

GrantRequest ReadGrantRequest(const json& value) {
  CheckEntry(value, kGrantRequestFields);
  return {ReadAckFields(value), ReadAmount(value[4], kMaxRate), ReadAmount(value[5], kMaxBurst)};
}

Grant ReadGrant(const json& value) {
  CheckEntry(value, kGrantFields);
  return {ReadPartner(value[0]),
          ReadUnsigned(value[1]),
          ReadUnsigned(value[2]),
          {ReadAmount(value[3], kMaxRate), ReadAmount(value[4], kMaxBurst)},
          ReadUnsigned(value[5], kMaxDurationMs)};
}

ReservedMinimum ReadReservedMinimum(const json& value) {
  CheckEntry(value, kReservedMinimumFields);
  return {ReadPartner(value[0]), {ReadAmount(value[1], kMaxRate), ReadAmount(value[2], kMaxBurst)}};
}

template <typename Message, typename Read>
Result<Message> ReadMessage(const json& root, std::size_t keys, const std::string& from, Read read) {
  try {
    if (!root.is_object() || root.size() != keys)
      throw std::invalid_argument("the message is not an object or has the wrong number of keys");
    return read();
  } catch (const json::exception& error) {
    return tl::unexpected(Failure(kBadMessage, from, error.what()));
  } catch (const std::invalid_argument& error) {
    return tl::unexpected(Failure(kBadMessage, from, error.what()));
  }
}

}  // namespace

json EntryToJson(const GrantRequest& request) {
  return {request.held_grant.partner,
          request.held_grant.grant.token,
          request.held_grant.grant.number,
          request.held_grant.lent_ms,
          static_cast<std::uint64_t>(request.demand),
          static_cast<std::uint64_t>(request.min_depth)};
}

json EntryToJson(const GrantAck& ack) {
  return {ack.partner, ack.grant.token, ack.grant.number, ack.lent_ms};
}

json EntryToJson(const Grant& grant) {
  return {grant.partner,
          grant.request_number,
          grant.number,
          static_cast<std::uint64_t>(grant.allocation.rate),
          static_cast<std::uint64_t>(grant.allocation.depth),
          grant.lifetime_ms};
}

json EntryToJson(const ReservedMinimum& minimum) {
  return {minimum.partner, static_cast<std::uint64_t>(minimum.allocation.rate),
          static_cast<std::uint64_t>(minimum.allocation.depth)};
}

json EntryToJson(const std::string& partner) { return partner; }

json ToJson(const AllocationRequest& request) {
  return {{kIncarnationKey, request.incarnation},
          {kRevisionKey, request.revision},
          {kNumberKey, request.number},
          {kGrantRequestsKey, ListToJson(request.grant_requests)},
          {kAcksKey, ListToJson(request.acks)}};
}

json ToJson(const AllocationResponse& response) {
  return {{kIncarnationKey, response.incarnation},
          {kRevisionKey, response.revision},
          {kTokenKey, response.token},
          {kAgreedKey, response.is_agreed},
          {kGrantsKey, ListToJson(response.grants)},
          {kRecallsKey, ListToJson(response.recalls)},
          {kReservedMinimumsKey, ListToJson(response.reserved_minimums)}};
}

Result<AllocationRequest> AllocationRequestFromJson(const json& root, const std::string& from) {
  return ReadMessage<AllocationRequest>(root, kRequestKeys, from, [&root] {
    AllocationRequest request;
    request.incarnation = ReadUnsigned(root.at(kIncarnationKey));
    request.revision = ReadUnsigned(root.at(kRevisionKey));
    request.number = ReadUnsigned(root.at(kNumberKey));
    request.grant_requests = ReadList<GrantRequest>(root, kGrantRequestsKey, ReadGrantRequest);
    request.acks = ReadList<GrantAck>(root, kAcksKey, ReadAck);
    return request;
  });
}

Result<AllocationResponse> AllocationResponseFromJson(const json& root, const std::string& from) {
  return ReadMessage<AllocationResponse>(root, kResponseKeys, from, [&root] {
    AllocationResponse response;
    response.incarnation = ReadUnsigned(root.at(kIncarnationKey));
    response.revision = ReadUnsigned(root.at(kRevisionKey));
    response.token = ReadUnsigned(root.at(kTokenKey));
    response.is_agreed = root.at(kAgreedKey).get<bool>();
    response.grants = ReadList<Grant>(root, kGrantsKey, ReadGrant);
    response.recalls = ReadList<std::string>(root, kRecallsKey, ReadPartner);
    response.reserved_minimums = ReadList<ReservedMinimum>(root, kReservedMinimumsKey, ReadReservedMinimum);
    return response;
  });
}

}  // namespace load_balancer::quota
