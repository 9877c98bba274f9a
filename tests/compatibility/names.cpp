// SPDX-License-Identifier: Apache-2.0
//
// Texts that processes find each other by: leased duties, headers between sites, an entry of the endpoint
// list.
#include <sstream>
#include <stdexcept>

#include "federation/spill_service.h"
#include "fleet/node/node.h"
#include "golden_case.h"
#include "members.h"
#include "overflow/estimate.h"
#include "overflow/incoming.h"
#include "quota/duty.h"

namespace load_balancer::testing {
namespace {

using nlohmann::json;

Bytes BytesOf(const std::string& text) { return Bytes(text.begin(), text.end()); }

std::string TextOf(const Bytes& bytes) { return std::string(bytes.begin(), bytes.end()); }

// ---- duties -------------------------------------------------------------------------------------------

// One to a line.
GoldenCase DutyNamesCase() {
  const json names = {"discovery", "maintenance", "treasurer/0", "treasurer/63", "ambassador/MUC"};
  const auto encode = [] {
    std::ostringstream lines;
    lines << fleet::kDiscoveryDuty << '\n'
          << fleet::kMaintenanceDuty << '\n'
          << quota::AllocatorRoleName(0) << '\n'
          << quota::AllocatorRoleName(63) << '\n'
          << proxy::SpillService::DutyOf("MUC") << '\n';
    return BytesOf(lines.str());
  };
  const auto decode = [](const Bytes& bytes) {
    std::istringstream lines(TextOf(bytes));
    json read = json::array();
    for (std::string line; std::getline(lines, line);) read.push_back(line);
    if (bytes.empty() || bytes.back() != '\n') throw std::runtime_error("the last line has no end");
    return json{{"names", read}};
  };
  return {"duty_names", {{"names", names}}, encode, decode};
}

// ---- headers between sites ----------------------------------------------------------------------------

constexpr char kBetween[] = ": ";

// The value of the header `name` in lines `name: value`.
std::string ValueOf(const std::string& lines, std::string_view name) {
  const std::string begin = std::string(name) + kBetween;
  const std::size_t at = lines.find(begin), end = lines.find('\n', at);
  if (at == std::string::npos || end == std::string::npos) throw std::runtime_error("no " + begin);
  return lines.substr(at + begin.size(), end - at - begin.size());
}

GoldenCase HeadersCase() {
  const json estimate_fields = {{"site", "MUC"}, {"token", 7},    {"made_at", 1764600000300},
                                {"mean", 900},   {"low", 800},    {"wait_ms", 35},
                                {"members", 3},  {"over", false}, {"for_ms", 60}};
  const auto encode = [] {
    const overflow::Estimate estimate{"MUC", 7, 1764600000300, 900, 800, 35, 3, false, 60};
    std::ostringstream lines;
    lines << overflow::kMarkHeader << kBetween << overflow::FormatMark({"MUC", "n1"}) << '\n'
          << overflow::kEstimateHeader << kBetween << overflow::ToJson(estimate).dump() << '\n';
    return BytesOf(lines.str());
  };
  const auto decode = [](const Bytes& bytes) {
    const std::string lines = TextOf(bytes);
    const auto address = boost::asio::ip::make_address("127.0.0.1");
    const overflow::Directory sites = {{"MUC", {{"n1", {{address, 7950}, {address, 8080}}}}}, {"PAR", {}}};
    const auto from = overflow::VerifyMark(sites, "PAR", ValueOf(lines, overflow::kMarkHeader), address);
    if (!from) throw std::runtime_error(from.error().Text());
    const auto estimate = overflow::FromJson(json::parse(ValueOf(lines, overflow::kEstimateHeader)));
    if (!estimate) throw std::runtime_error(estimate.error().Text());
    const overflow::Estimate& read = *estimate;
    return json{{"site", from->site},
                {"gateway", from->gateway},
                {"estimate",
                 {{"site", read.site},
                  {"token", read.token},
                  {"made_at", read.made_at},
                  {"mean", read.mean},
                  {"low", read.low},
                  {"wait_ms", read.wait_ms},
                  {"members", read.members},
                  {"over", read.over},
                  {"for_ms", read.for_ms}}}};
  };
  const json fields = {{"site", "MUC"}, {"gateway", "n1"}, {"estimate", estimate_fields}};
  return {"overflow_headers", fields, encode, decode};
}

// ---- an entry of the endpoint list --------------------------------------------------------------------

json FieldsOf(const proxy::Member& member) {
  std::ostringstream address;
  address << member.address;
  return {{"id", member.id},         {"address", address.str()},
          {"zone", member.zone},     {"kind", member.kind},
          {"cell", member.cell},     {"state", static_cast<int>(member.state)},
          {"weight", member.weight}, {"up_since_unix_ms", member.up_since_unix_ms}};
}

// As the holder of the discovery lease makes it known: one list with one member.
GoldenCase EndpointCase() {
  proxy::Member member;
  member.id = "server-1";
  member.address = {boost::asio::ip::make_address("127.0.0.1"), 9001};
  member.zone = "z1";
  member.kind = "large";
  member.cell = 3;
  member.state = ServerState::kDraining;
  member.weight = 2.5;
  member.up_since_unix_ms = 1764600000000;
  const auto encode = [member] {
    return json::to_msgpack({{"revision", 41}, {"members", json::array({proxy::ToJson(member)})}});
  };
  const auto decode = [](const Bytes& bytes) {
    std::string why;
    const auto list = proxy::ParseMembers(json::from_msgpack(bytes), &why);
    if (!list) throw std::runtime_error(why);
    json fields = FieldsOf(list->members.at(0));
    fields["revision"] = list->revision;
    return fields;
  };
  json fields = FieldsOf(member);
  fields["revision"] = 41;
  return {"endpoint", fields, encode, decode};
}

}  // namespace

std::vector<GoldenCase> NameCases() { return {DutyNamesCase(), HeadersCase(), EndpointCase()}; }

}  // namespace load_balancer::testing
