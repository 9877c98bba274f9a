// SPDX-License-Identifier: Apache-2.0
#include "configuration_fields.h"

#include <sstream>
#include <string_view>

#include "config.h"

namespace load_balancer::testing {
namespace {

using nlohmann::json;

template <typename Endpoint>
std::string Text(const Endpoint& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

template <typename Endpoint>
json Texts(const std::vector<Endpoint>& endpoints) {
  json texts = json::array();
  for (const Endpoint& endpoint : endpoints) texts.push_back(Text(endpoint));
  return texts;
}

json FieldsOf(const ClassSettings& settings) {
  return {{"effect", static_cast<int>(settings.idempotency)},
          {"group", static_cast<int>(settings.idempotency_scope)},
          {"window", settings.idempotency_window.count()},
          {"aim", settings.latency_objective.count()},
          {"deadline", settings.deadline.count()},
          {"worth", settings.priority_weight},
          {"late_worth", settings.late_priority_share}};
}

json FieldsOf(const Settings& settings) {
  json fields = {{"balancers", settings.balancer_count},
                 {"me", settings.balancer_index},
                 {"zone", settings.zone},
                 {"classes", json::array()},
                 {"tenants", json::array()},
                 {"over_share_worth", settings.over_quota_priority_share},
                 {"price_cross_zone", settings.cross_zone_price},
                 {"warm_keys", settings.session_affinity},
                 {"must_ask_for_list", settings.must_poll_for_list},
                 {"max_attempts", settings.max_attempts},
                 {"max_retry_after", settings.max_retry_after.count()},
                 {"tick", settings.tick.count()},
                 {"must_ask_within", settings.max_poll_interval.count()},
                 {"cold_from", settings.slow_start_min_share},
                 {"warm_up", settings.slow_start_window.count()},
                 {"fall_multiple", settings.overload_multiple},
                 {"overload_for", settings.overload_window.count()}};
  for (const ClassSettings& each : settings.classes) fields["classes"].push_back(FieldsOf(each));
  for (const TenantSettings& each : settings.tenants) fields["tenants"].push_back(each.quota_per_s);
  return fields;
}

json FieldsOf(const proxy::MemberList& list) {
  json fields = {{"revision", list.revision}, {"complete", list.complete}, {"members", json::array()}};
  for (const proxy::Member& member : list.members)
    fields["members"].push_back({{"id", member.id},
                                 {"address", Text(member.address)},
                                 {"zone", member.zone},
                                 {"kind", member.kind},
                                 {"cell", member.cell},
                                 {"state", static_cast<int>(member.state)},
                                 {"weight", member.weight},
                                 {"up_since_unix_ms", member.up_since_unix_ms}});
  return fields;
}

json FieldsOf(const fleet::FleetSection& fleet) {
  return {{"on", fleet.on},
          {"name", fleet.name},
          {"bind", Text(fleet.bind)},
          {"seeds", Texts(fleet.seeds)},
          {"probe_interval", fleet.probe_interval.count()},
          {"suspicion_multiplier", fleet.suspicion_multiplier},
          {"indirect_probes", fleet.indirect_probes},
          {"advertise", Text(fleet.advertise)},
          {"retransmit_multiplier", fleet.retransmit_multiplier},
          {"sync_interval", fleet.sync_interval.count()},
          {"forget", fleet.forget_after.count()},
          {"most_bytes_per_second", fleet.max_bytes_per_second},
          {"share_verdicts", fleet.share_ejections},
          {"server_limit", fleet.server_limit},
          {"affinity_entries", fleet.affinity_entries},
          {"affinity_ttl", fleet.affinity_ttl.count()},
          {"lease_term", fleet.lease_term.count()},
          {"lease_drift", fleet.lease_drift.count()},
          {"most_skew", fleet.max_clock_skew.count()}};
}

json FieldsOf(const state::StateSection& state) {
  return {{"on", state.on},
          {"dir", state.dir},
          {"snapshot_interval", state.snapshot_interval.count()},
          {"max_age", state.max_age.count()},
          {"peer_wait", state.peer_wait.count()}};
}

json FieldsOf(const fleet::SitesSection& sites) {
  json fields = {{"on", sites.on},
                 {"site", sites.site},
                 {"bind", Text(sites.bind)},
                 {"advertise", Text(sites.advertise)},
                 {"gateways", json::object()},
                 {"voters", Texts(sites.voters)},
                 {"probe_interval", sites.probe_interval.count()},
                 {"suspicion_multiplier", sites.suspicion_multiplier},
                 {"sync_interval", sites.sync_interval.count()},
                 {"lease_term", sites.lease_term.count()},
                 {"lease_drift", sites.lease_drift.count()},
                 {"most_bytes_per_second", sites.max_bytes_per_second}};
  for (const auto& [site, gateways] : sites.gateways)
    for (const auto& [name, addresses] : gateways)
      fields["gateways"][site][name] = {{"pool", Text(addresses.pool)}, {"clients", Text(addresses.clients)}};
  return fields;
}

json FieldsOf(const overflow::OverflowSection& spill) {
  const overflow::Options& options = spill.options;
  return {{"on", spill.on},
          {"most_part", options.offered_fraction},
          {"estimate_interval", options.estimate_interval.count()},
          {"staleness", options.staleness.count()},
          {"way", options.propagation_time.count()},
          {"least_worth_per_work", options.min_weight_per_work},
          {"slack", options.slack.count()},
          {"key_ttl", options.key_ttl.count()},
          {"most_skew", options.max_clock_skew.count()}};
}

json FieldsOf(const quota::QuotaSection& quota) {
  json fields = {{"on", quota.on},
                 {"allocators", quota.allocators},
                 {"grant_life", quota.max_grant_lifetime.count()},
                 {"ask", quota.request_interval.count()},
                 {"revision", quota.budgets.revision},
                 {"partners", json::object()}};
  for (const auto& [name, budget] : quota.budgets.partners)
    fields["partners"][name] = {{"rate", budget.rate},
                                {"burst", budget.burst},
                                {"unit", static_cast<int>(budget.unit)},
                                {"over", static_cast<int>(budget.over_limit_action)},
                                {"floors", budget.reserved_minimums}};
  return fields;
}

const char* NoEnvironment(const char*) { return nullptr; }

}  // namespace

json ConfigurationFields(const std::string& text) {
  const proxy::Config config = proxy::ParseConfig(text, NoEnvironment);
  return {{"name", config.name},
          {"listen", Text(config.listen)},
          {"discovery", Text(config.discovery)},
          {"operators", config.operators ? Text(*config.operators) : ""},
          {"state_path", config.state_path},
          {"seed", config.seed},
          {"sockets", config.sockets},
          {"memory", config.memory},
          {"settings", FieldsOf(config.settings)},
          {"classes", config.classes},
          {"tenants", config.tenants},
          {"zones", config.zones},
          {"kinds", config.kinds},
          {"connect_timeout", config.connect_timeout.count()},
          {"conn_idle", config.conn_idle.count()},
          {"known", FieldsOf(config.known)},
          {"fleet", FieldsOf(config.fleet)},
          {"state", FieldsOf(config.state)},
          {"sites", FieldsOf(config.sites)},
          {"quota", FieldsOf(config.quota)},
          {"spill", FieldsOf(config.spill)}};
}

std::vector<std::string> ConfigurationFaults(const std::string& path) {
  return proxy::CheckConfig([&path](const char* name) -> const char* {
    return std::string_view(name) == "ROUTER_CONFIG" ? path.c_str() : nullptr;
  });
}

}  // namespace load_balancer::testing
