// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/entry.h"

#include <stdexcept>

namespace load_balancer::fleet {
namespace {

using nlohmann::json;

constexpr std::size_t kMostId = 128;  // bytes of a server's id or of an origin
constexpr char kVerdict[] = "v", kSite[] = "k", kDuty[] = "d";

std::string Id(const json& value) {
  auto id = value.get<std::string>();
  if (id.empty() || id.size() > kMostId) throw std::invalid_argument("id");
  return id;
}

std::uint64_t Figure(const json& value) {
  if (!value.is_number_unsigned()) throw std::invalid_argument("figure");
  return value.get<std::uint64_t>();
}

int Count(const json& value) {
  const std::uint64_t figure = Figure(value);
  if (figure > 1000000) throw std::invalid_argument("count");
  return static_cast<int>(figure);
}

}  // namespace

const std::string& SubjectOf(const Entry& entry) {
  if (const auto* verdict = std::get_if<Verdict>(&entry.fact)) return verdict->server;
  if (const auto* fact = std::get_if<DutyFact>(&entry.fact)) return fact->key;
  return std::get<KeySite>(entry.fact).server;
}

json Pack(const Entry& entry) {
  const Version& version = entry.version;
  if (const auto* verdict = std::get_if<Verdict>(&entry.fact))
    return json::array({kVerdict, verdict->server, version.stamp, version.origin, verdict->until,
                        static_cast<unsigned>(verdict->failures), static_cast<unsigned>(verdict->attempts)});
  if (const auto* fact = std::get_if<DutyFact>(&entry.fact))
    return json::array(
        {kDuty, fact->key, version.stamp, version.origin, fact->duty, fact->token, fact->until, fact->value});
  const KeySite& site = std::get<KeySite>(entry.fact);
  return json::array({kSite, site.server, version.stamp, version.origin, site.key});
}

Entry Unpack(const json& packed) {
  Entry entry;
  const auto kind = packed.at(0).get<std::string>();
  const std::string server = Id(packed.at(1));
  entry.version = {Figure(packed.at(2)), Id(packed.at(3))};
  if (kind == kVerdict)
    entry.fact = Verdict{server, Figure(packed.at(4)), Count(packed.at(5)), Count(packed.at(6))};
  else if (kind == kSite)
    entry.fact = KeySite{Figure(packed.at(4)), server};
  else if (kind == kDuty)
    entry.fact = DutyFact{Id(packed.at(4)), server, Figure(packed.at(5)), Figure(packed.at(6)), packed.at(7)};
  else
    throw std::invalid_argument("kind");
  return entry;
}

std::size_t PackedSize(const json& packed) { return json::to_msgpack(packed).size(); }

}  // namespace load_balancer::fleet
