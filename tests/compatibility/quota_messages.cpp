// SPDX-License-Identifier: Apache-2.0
//
// What gateways and budget allocators send to each other, in the MessagePack form that a payload has.
#include <stdexcept>

#include "golden_case.h"
#include "quota/messages.h"

namespace load_balancer::testing {
namespace {

using nlohmann::json;

json FieldsOf(const quota::Ack& ack) {
  return {{"partner", ack.partner},
          {"token", ack.grant.token},
          {"number", ack.grant.number},
          {"away_ms", ack.away_ms}};
}

json FieldsOf(const quota::Ask& ask) {
  return {{"held", FieldsOf(ask.held)}, {"demand", ask.demand}, {"least", ask.least}};
}

json FieldsOf(const quota::Part& part) { return {{"rate", part.rate}, {"depth", part.depth}}; }

json FieldsOf(const quota::Grant& grant) {
  return {{"partner", grant.partner},
          {"ask", grant.ask},
          {"number", grant.number},
          {"part", FieldsOf(grant.part)},
          {"life_ms", grant.life_ms}};
}

json FieldsOf(const quota::Floor& floor) {
  return {{"partner", floor.partner}, {"part", FieldsOf(floor.part)}};
}

template <typename Entry>
json FieldsOfAll(const std::vector<Entry>& entries) {
  json all = json::array();
  for (const Entry& entry : entries) all.push_back(FieldsOf(entry));
  return all;
}

json FieldsOf(const quota::Request& request) {
  return {{"life", request.life},
          {"revision", request.revision},
          {"ask", request.ask},
          {"asks", FieldsOfAll(request.asks)},
          {"acks", FieldsOfAll(request.acks)}};
}

json FieldsOf(const quota::Answer& answer) {
  return {{"life", answer.life},
          {"revision", answer.revision},
          {"token", answer.token},
          {"agreed", answer.agreed},
          {"calls", answer.calls},
          {"grants", FieldsOfAll(answer.grants)},
          {"floors", FieldsOfAll(answer.floors)}};
}

template <typename Message>
json FieldsOrThrow(const Result<Message>& message) {
  if (!message) throw std::runtime_error(message.error().Text());
  return FieldsOf(*message);
}

GoldenCase RequestCase(const std::string& name, const quota::Request& request) {
  return {"quota_request_" + name, FieldsOf(request),
          [request] { return json::to_msgpack(quota::ToJson(request)); },
          [](const Bytes& bytes) {
            return FieldsOrThrow(quota::RequestFromJson(json::from_msgpack(bytes), "golden"));
          }};
}

GoldenCase AnswerCase(const std::string& name, const quota::Answer& answer) {
  return {"quota_answer_" + name, FieldsOf(answer),
          [answer] { return json::to_msgpack(quota::ToJson(answer)); },
          [](const Bytes& bytes) {
            return FieldsOrThrow(quota::AnswerFromJson(json::from_msgpack(bytes), "golden"));
          }};
}

}  // namespace

std::vector<GoldenCase> QuotaMessageCases() {
  quota::Request request;
  request.life = 1764600000001;
  request.revision = 3;
  request.ask = 17;
  request.asks = {{{"acme", {1764600000200, 5}, 1500}, 250'000, 1'000}, {{"globex", {0, 0}, 0}, 0, 0}};
  request.acks = {{"initech", {1764600000200, 6}, 600'000}};
  quota::Answer grants;
  grants.life = 1764600000001;
  grants.revision = 3;
  grants.token = 1764600000200;
  grants.agreed = true;
  grants.grants = {{"acme", 17, 7, {quota::kMostRate, quota::kMostBurst}, 2000},
                   {"globex", 16, 8, {0, 1}, 0}};
  grants.calls = {"initech", "umbrella"};
  quota::Answer floors;
  floors.revision = 4;
  floors.floors = {{"acme", {12'500, 2'500}}, {"globex", {0, 0}}};
  return {RequestCase("full", request), RequestCase("empty", {}), AnswerCase("grants", grants),
          AnswerCase("floors", floors)};
}

}  // namespace load_balancer::testing
