// SPDX-License-Identifier: Apache-2.0
#include "schema.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace brackenspoke::proxy {
namespace {

using nlohmann::json;
using Udp = boost::asio::ip::udp;

// One section under check: its faults carry the section's name.
class Section {
 public:
  Section(const json& root, std::string name, std::set<std::string> keys, std::vector<std::string>* faults)
      : name_(std::move(name)), faults_(faults) {
    const auto found = root.find(name_);
    if (found == root.end() || found->is_null()) return;
    if (!found->is_object()) {
      Fault("", "is no object");
      return;
    }
    object_ = &*found;
    for (const auto& [key, value] : object_->items())
      if (!keys.contains(key)) Fault(key, "is no known key");
  }

  bool present() const { return object_ != nullptr; }

  void Text(const char* key, std::string* into) {
    if (const json* value = Find(key)) {
      if (value->is_string())
        *into = value->get<std::string>();
      else
        Fault(key, "is no string");
    }
  }

  void Flag(const char* key, bool* into) {
    const json* value = Find(key);
    if (!value) return;
    if (!value->is_boolean()) return Fault(key, "is neither true nor false");
    *into = value->get<bool>();
  }

  template <typename Number>
  void Whole(const char* key, Number low, Number high, Number* into) {
    const json* value = Find(key);
    if (!value) return;
    if (!value->is_number_integer()) return Fault(key, "is no whole number");
    const auto got = value->get<std::int64_t>();
    if (got < static_cast<std::int64_t>(low) || got > static_cast<std::int64_t>(high))
      return Fault(key, "is out of range " + std::to_string(low) + " to " + std::to_string(high));
    *into = static_cast<Number>(got);
  }

  void Time(const char* key, std::int64_t low, std::int64_t high, Milliseconds* into) {
    std::int64_t ms = into->count();
    Whole(key, low, high, &ms);
    *into = Milliseconds(ms);
  }

  // Absent is a fault where `required`.
  void Address(const char* key, bool required, Udp::endpoint* into) {
    const json* value = Find(key);
    if (!value) {
      if (required) Fault(key, "is missing");
      return;
    }
    if (auto endpoint = Parse(*value))
      *into = *endpoint;
    else
      Fault(key, "is no host:port");
  }

  void Addresses(const char* key, std::vector<Udp::endpoint>* into) {
    const json* value = Find(key);
    if (!value) return;
    if (!value->is_array()) return Fault(key, "is no list");
    for (std::size_t i = 0; i < value->size(); ++i) {
      if (auto endpoint = Parse((*value)[i]))
        into->push_back(*endpoint);
      else
        Fault(std::string(key) + "." + std::to_string(i), "is no host:port");
    }
  }

 private:
  const json* Find(const char* key) const {
    if (!object_) return nullptr;
    const auto found = object_->find(key);
    return found == object_->end() ? nullptr : &*found;
  }

  static std::optional<Udp::endpoint> Parse(const json& value) {
    return value.is_string() ? ParseUdpEndpoint(value.get<std::string>()) : std::nullopt;
  }

  void Fault(const std::string& key, const std::string& what) {
    faults_->push_back(name_ + (key.empty() ? "" : "." + key) + " " + what);
  }

  std::string name_;
  std::vector<std::string>* faults_;
  const json* object_ = nullptr;
};

}  // namespace

std::optional<Udp::endpoint> ParseUdpEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code bad;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), bad);
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (bad || error != std::errc() || at != end || port > 65535 || colon + 1 == text.size())
    return std::nullopt;
  return Udp::endpoint(address, static_cast<unsigned short>(port));
}

FleetSection ReadFleet(const json& root, std::vector<std::string>* faults) {
  FleetSection fleet;
  Section section(root, "fleet",
                  {"name", "bind", "advertise", "seeds", "probe_interval_ms", "suspicion_multiplier",
                   "indirect_probes", "retransmit_multiplier", "sync_interval_ms", "forget_ms",
                   "most_bytes_per_second", "share_verdicts", "server_limit", "affinity_entries",
                   "affinity_ttl_ms", "most_skew_ms", "lease_term_ms", "lease_drift_ms"},
                  faults);
  fleet.on = section.present();
  section.Text("name", &fleet.name);
  section.Address("bind", fleet.on, &fleet.bind);
  section.Addresses("seeds", &fleet.seeds);
  section.Time("probe_interval_ms", 10, 60000, &fleet.probe_interval);
  section.Whole("suspicion_multiplier", 1, 100, &fleet.suspicion_multiplier);
  section.Whole("indirect_probes", 0, 16, &fleet.indirect_probes);
  fleet.advertise = fleet.bind;
  section.Address("advertise", false, &fleet.advertise);
  section.Whole("retransmit_multiplier", 1, 16, &fleet.retransmit_multiplier);
  section.Time("sync_interval_ms", 100, 600000, &fleet.sync_interval);
  section.Time("forget_ms", 1000, 86400000, &fleet.forget);
  section.Whole("most_bytes_per_second", 4096, 1 << 30, &fleet.most_bytes_per_second);
  section.Flag("share_verdicts", &fleet.share_verdicts);
  section.Whole("server_limit", 0, 1000000, &fleet.server_limit);
  section.Whole("affinity_entries", 0, 65536, &fleet.affinity_entries);
  section.Time("affinity_ttl_ms", 100, 600000, &fleet.affinity_ttl);
  section.Time("most_skew_ms", 1, 60000, &fleet.most_skew);
  section.Time("lease_term_ms", 0, 600000, &fleet.lease_term);
  section.Time("lease_drift_ms", 1, 60000, &fleet.lease_drift);
  if (!fleet.on) return fleet;
  if (fleet.lease_term.count() > 0 && fleet.lease_term < fleet.lease_drift * 6)
    faults->push_back("fleet.lease_term_ms is under 6 times lease_drift_ms");
  if (fleet.lease_term.count() > 0 && fleet.seeds.empty())
    faults->push_back("fleet.seeds is missing, as leases need voters");
  if (fleet.name.empty()) faults->push_back("fleet.name is empty");
  // A member must not be forgotten sooner than a suspicion can end: 6 times the shortest, in a fleet of
  // 10,000.
  const Milliseconds longest = fleet.probe_interval * (fleet.suspicion_multiplier * 6 * 4);
  if (fleet.forget < longest)
    faults->push_back("fleet.forget_ms is under " + std::to_string(longest.count()) +
                      ", the longest suspicion");
  return fleet;
}

StateSection ReadState(const json& root, std::vector<std::string>* faults) {
  StateSection state;
  Section section(root, "state", {"dir", "snapshot_interval_ms", "max_age_ms", "peer_wait_ms"}, faults);
  state.on = section.present();
  section.Text("dir", &state.dir);
  section.Time("snapshot_interval_ms", 100, 3600000, &state.snapshot_interval);
  section.Time("max_age_ms", 1000, 86400000, &state.max_age);
  section.Time("peer_wait_ms", 0, 60000, &state.peer_wait);
  return state;
}

std::vector<std::string> UnknownTopKeys(const json& root) {
  static const std::set<std::string> kKnown{"name",  "listen",   "discovery", "seed",  "limits",
                                            "known", "settings", "ops",       "fleet", "state"};
  std::vector<std::string> unknown;
  for (const auto& [key, value] : root.items())
    if (!kKnown.contains(key)) unknown.push_back(key + " is no known key");
  return unknown;
}

}  // namespace brackenspoke::proxy
