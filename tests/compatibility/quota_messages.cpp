// SPDX-License-Identifier: Apache-2.0
//
// What gateways and budget allocators send to each other, in the MessagePack form that a payload has.
#include <stdexcept>

#include "golden_case.h"
#include "quota/message_codec.h"
#include "quota/messages.h"

namespace load_balancer::testing {
namespace {

using nlohmann::json;

json FieldsOf(const quota::GrantAck& ack) {
  return {{"partner", ack.partner},
          {"token", ack.grant.token},
          {"number", ack.grant.number},
          {"away_ms", ack.lent_ms}};
}

json FieldsOf(const quota::GrantRequest& request) {
  return {{"held", FieldsOf(request.held_grant)}, {"demand", request.demand}, {"least", request.min_depth}};
}

json FieldsOf(const quota::Allocation& allocation) {
  return {{"rate", allocation.rate}, {"depth", allocation.depth}};
}

json FieldsOf(const quota::Grant& grant) {
  return {{"partner", grant.partner},
          {"ask", grant.request_number},
          {"number", grant.number},
          {"part", FieldsOf(grant.allocation)},
          {"life_ms", grant.lifetime_ms}};
}

json FieldsOf(const quota::ReservedMinimum& minimum) {
  return {{"partner", minimum.partner}, {"part", FieldsOf(minimum.allocation)}};
}

template <typename Entry>
json FieldsOfAll(const std::vector<Entry>& entries) {
  json all = json::array();
  for (const Entry& entry : entries) all.push_back(FieldsOf(entry));
  return all;
}

json FieldsOf(const quota::AllocationRequest& request) {
  return {{"life", request.incarnation},
          {"revision", request.revision},
          {"ask", request.number},
          {"asks", FieldsOfAll(request.grant_requests)},
          {"acks", FieldsOfAll(request.acks)}};
}

json FieldsOf(const quota::AllocationResponse& response) {
  return {{"life", response.incarnation},
          {"revision", response.revision},
          {"token", response.token},
          {"agreed", response.is_agreed},
          {"calls", response.recalls},
          {"grants", FieldsOfAll(response.grants)},
          {"floors", FieldsOfAll(response.reserved_minimums)}};
}

template <typename Message>
json FieldsOrThrow(const Result<Message>& message) {
  if (!message) throw std::runtime_error(message.error().Text());
  return FieldsOf(*message);
}

GoldenCase RequestCase(const std::string& name, const quota::AllocationRequest& request) {
  return {"quota_request_" + name, FieldsOf(request),
          [request] { return json::to_msgpack(quota::ToJson(request)); },
          [](const Bytes& bytes) {
            return FieldsOrThrow(quota::AllocationRequestFromJson(json::from_msgpack(bytes), "golden"));
          }};
}

GoldenCase AnswerCase(const std::string& name, const quota::AllocationResponse& response) {
  return {"quota_answer_" + name, FieldsOf(response),
          [response] { return json::to_msgpack(quota::ToJson(response)); },
          [](const Bytes& bytes) {
            return FieldsOrThrow(quota::AllocationResponseFromJson(json::from_msgpack(bytes), "golden"));
          }};
}

}  // namespace

std::vector<GoldenCase> QuotaMessageCases() {
  quota::AllocationRequest request;
  request.incarnation = 1764600000001;
  request.revision = 3;
  request.number = 17;
  request.grant_requests = {{{"acme", {1764600000200, 5}, 1500}, 250'000, 1'000},
                            {{"globex", {0, 0}, 0}, 0, 0}};
  request.acks = {{"initech", {1764600000200, 6}, 600'000}};
  quota::AllocationResponse grants;
  grants.incarnation = 1764600000001;
  grants.revision = 3;
  grants.token = 1764600000200;
  grants.is_agreed = true;
  grants.grants = {{"acme", 17, 7, {quota::kMaxRate, quota::kMaxBurst}, 2000}, {"globex", 16, 8, {0, 1}, 0}};
  grants.recalls = {"initech", "umbrella"};
  quota::AllocationResponse minimums;
  minimums.revision = 4;
  minimums.reserved_minimums = {{"acme", {12'500, 2'500}}, {"globex", {0, 0}}};
  return {RequestCase("full", request), RequestCase("empty", {}), AnswerCase("grants", grants),
          AnswerCase("floors", minimums)};
}

}  // namespace load_balancer::testing
