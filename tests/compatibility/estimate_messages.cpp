// SPDX-License-Identifier: Apache-2.0
//
// A site's estimate of its spare capacity, in the MessagePack form that it has in a datagram.
#include <stdexcept>

#include "golden_case.h"
#include "overflow/estimate.h"

namespace load_balancer::testing {
namespace {

using nlohmann::json;

json FieldsOf(const overflow::Estimate& estimate) {
  return {{"site", estimate.site},       {"token", estimate.token}, {"made_at", estimate.made_at},
          {"mean", estimate.mean},       {"low", estimate.low},     {"wait_ms", estimate.wait_ms},
          {"members", estimate.members}, {"over", estimate.over},   {"for_ms", estimate.for_ms}};
}

json Decoded(const Bytes& bytes) {
  const auto estimate = overflow::FromJson(json::from_msgpack(bytes));
  if (!estimate) throw std::runtime_error(estimate.error().Text());
  return FieldsOf(*estimate);
}

GoldenCase CaseOf(const std::string& name, const overflow::Estimate& estimate) {
  return {"estimate_" + name, FieldsOf(estimate),
          [estimate] { return json::to_msgpack(overflow::ToJson(estimate)); }, Decoded};
}

}  // namespace

std::vector<GoldenCase> EstimateMessageCases() {
  const overflow::Estimate spare{"MUC", 1764600000200, 1764600000300, 12'500, 8'000, 35, 10, false, 60'000};
  const overflow::Estimate over{"PAR", 18446744073709551615U, 1764600000301, 0, 0, 250, 3, true, 2'500};
  return {CaseOf("spare", spare), CaseOf("over_capacity", over)};
}

}  // namespace load_balancer::testing
