// SPDX-License-Identifier: Apache-2.0
#include "settings.h"

#include <charconv>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace load_balancer::adapter {
namespace {

constexpr double kMaxNumber = 1e12;      // no count, time or rate of a deployment is larger
constexpr double kMaxAttempts = 255;     // attempts are numbered in a byte on the wire
constexpr double kMaxListItems = 65536;  // indices of classes and tenants have 16 bits on the wire
constexpr std::size_t kMaxFaults = 100;  // that are listed

std::string Joined(const std::vector<std::string>& faults) {
  std::string all;
  for (const std::string& fault : faults) all += (all.empty() ? "" : "; ") + fault;
  return all;
}

/// The lines `key=value` of a text, and the faults found in them. A faulty value reads as 0.
class KeyValuePairs {
 public:
  explicit KeyValuePairs(std::string_view text) {
    while (!text.empty()) {
      const std::size_t end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      const std::size_t equals = line.find('=');
      if (equals != std::string_view::npos) values_[line.substr(0, equals)] = line.substr(equals + 1);
    }
  }

  double Number(const std::string& key, double min = 0, double max = kMaxNumber) {
    const auto text = Text(key);
    if (!text) return 0;
    double value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size() || !std::isfinite(value))
      return AddFault("not a number", key), 0;
    if (value < min || value > max) return AddFault("out of range", key), 0;
    return value;
  }
  double NumberOr(const std::string& key, double fallback, double min = 0, double max = kMaxNumber) {
    return values_.contains(key) ? Number(key, min, max) : fallback;
  }
  int Integer(const std::string& key, double min, double max) {
    const double value = Number(key, min, max);
    if (value != std::floor(value)) AddFault("not a whole number", key);
    return static_cast<int>(value);
  }
  int IntegerOr(const std::string& key, int fallback, double min, double max) {
    return values_.contains(key) ? Integer(key, min, max) : fallback;
  }
  Duration Time(const std::string& key) { return Duration(Number(key)); }

  // Absent is a fault.
  std::optional<std::string_view> Text(const std::string& key) {
    const auto found = values_.find(key);
    if (found != values_.end()) return found->second;
    AddFault("absent", key);
    return std::nullopt;
  }
  std::string_view TextOr(const std::string& key, std::string_view fallback) const {
    const auto found = values_.find(key);
    return found == values_.end() ? fallback : found->second;
  }
  // What the word under `key` stands for; the first of them if it is none of them.
  template <typename Meaning>
  Meaning OneOf(const std::string& key, const std::vector<std::pair<std::string_view, Meaning>>& meanings) {
    const auto word = Text(key);
    if (!word) return meanings.front().second;
    for (const auto& [known, meaning] : meanings)
      if (*word == known) return meaning;
    AddFault("of unknown meaning", key);
    return meanings.front().second;
  }

  void AddFault(std::string_view what, const std::string& key) {
    if (faults_.size() == kMaxFaults) return;
    faults_.push_back(std::string("setting ").append(what).append(": ").append(key));
  }
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  std::map<std::string_view, std::string_view, std::less<>> values_;
  std::vector<std::string> faults_;
};

ClassSettings ReadClass(KeyValuePairs& pairs, const std::string& prefix) {
  ClassSettings settings;
  settings.idempotency =
      pairs.OneOf<Idempotency>(prefix + "effect", {{"non_idempotent", Idempotency::kNotIdempotent},
                                                   {"idempotency_key", Idempotency::kIdempotencyKey},
                                                   {"read_like", Idempotency::kIdempotent}});
  if (settings.idempotency == Idempotency::kIdempotencyKey) {
    settings.idempotency_scope =
        pairs.OneOf<IdempotencyScope>(prefix + "group", {{"all", IdempotencyScope::kAll},
                                                         {"zone", IdempotencyScope::kZone},
                                                         {"cell", IdempotencyScope::kCell}});
    settings.idempotency_window = pairs.Time(prefix + "windowMs");
  }
  settings.latency_objective = pairs.Time(prefix + "goalTimeMs");
  settings.deadline = pairs.Time(prefix + "deadlineMs");
  settings.priority_weight = pairs.NumberOr(prefix + "worth", 1);
  settings.late_priority_share = pairs.NumberOr(prefix + "lateWorth", 0, 0, 1);
  return settings;
}

void ReadPermissions(KeyValuePairs& pairs, Settings* settings) {
  const std::string_view mode = pairs.TextOr("registryMode", "push");
  if (mode != "push" && mode != "ask") pairs.AddFault("of unknown meaning", "registryMode");
  settings->must_poll_for_list = mode == "ask";
  if (settings->must_poll_for_list) settings->max_poll_interval = pairs.Time("rules.mustAskInMs");
  settings->max_attempts = pairs.Integer("permissions.maxAttempts", 1, kMaxAttempts);
  if (pairs.TextOr("permissions.retryAfter", "false") == "true")
    settings->max_retry_after = Duration(pairs.NumberOr("permissions.maxRetryAfterMs", 0));
}

}  // namespace

BadSettings::BadSettings(std::vector<std::string> faults)
    : std::runtime_error(Joined(faults)), faults_(std::move(faults)) {}

Settings ParseSettings(std::string_view text) {
  KeyValuePairs pairs(text);
  Settings settings;
  settings.balancer_count = pairs.Integer("balancers", 1, kMaxListItems);
  settings.balancer_index = pairs.IntegerOr("me", 0, 0, kMaxListItems);
  settings.zone = pairs.Integer("zone", 0, kMaxListItems);

  const int classes = pairs.Integer("classes.count", 1, kMaxListItems);
  for (int i = 0; i < classes; ++i)
    settings.classes.push_back(ReadClass(pairs, "classes." + std::to_string(i) + "."));
  const int tenants = pairs.IntegerOr("tenants.count", 0, 0, kMaxListItems);
  for (int i = 0; i < tenants; ++i) {
    TenantSettings tenant;
    tenant.quota_per_s = pairs.NumberOr("tenants." + std::to_string(i) + ".quotaPerS", 0);
    settings.tenants.push_back(tenant);
  }

  settings.over_quota_priority_share = pairs.NumberOr("overShareWorth", 1, 0, 1);
  settings.cross_zone_price = pairs.NumberOr("deductions.crossZone", 0);
  settings.session_affinity = pairs.TextOr("specifics.warmKeys", "false") == "true";
  ReadPermissions(pairs, &settings);
  settings.tick = Duration(pairs.NumberOr("periodMs", 1));

  settings.slow_start_min_share = pairs.Number("rules.coldFrom", 0, 1);
  settings.slow_start_window = pairs.Time("rules.warmUpMs");
  settings.overload_multiple = pairs.Number("rules.fallMultiple");
  settings.overload_window = pairs.Time("rules.overloadForMs");
  if (!pairs.faults().empty()) throw BadSettings(pairs.faults());
  return settings;
}

}  // namespace load_balancer::adapter
