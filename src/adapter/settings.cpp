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

constexpr double kMost = 1e12;            // no count, time or rate of a deployment is larger
constexpr double kMostAttempts = 255;     // attempts are numbered in a byte on the wire
constexpr double kMostListItems = 65536;  // indices of classes and tenants have 16 bits on the wire
constexpr std::size_t kMostFaults = 100;  // that are listed

std::string Joined(const std::vector<std::string>& faults) {
  std::string all;
  for (const std::string& fault : faults) all += (all.empty() ? "" : "; ") + fault;
  return all;
}

// The pairs of a text, and what is found wrong with them. A faulty value reads as 0.
class Pairs {
 public:
  explicit Pairs(std::string_view text) {
    while (!text.empty()) {
      const std::size_t end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      const std::size_t equals = line.find('=');
      if (equals != std::string_view::npos) values_[line.substr(0, equals)] = line.substr(equals + 1);
    }
  }

  double Number(const std::string& key, double least = 0, double most = kMost) {
    const auto text = Word(key);
    if (!text) return 0;
    double value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size() || !std::isfinite(value))
      return Fault("not a number", key), 0;
    if (value < least || value > most) return Fault("out of range", key), 0;
    return value;
  }
  double NumberOr(const std::string& key, double otherwise, double least = 0, double most = kMost) {
    return values_.contains(key) ? Number(key, least, most) : otherwise;
  }
  int Whole(const std::string& key, double least, double most) {
    const double value = Number(key, least, most);
    if (value != std::floor(value)) Fault("not a whole number", key);
    return static_cast<int>(value);
  }
  int WholeOr(const std::string& key, int otherwise, double least, double most) {
    return values_.contains(key) ? Whole(key, least, most) : otherwise;
  }
  Duration Time(const std::string& key) { return Duration(Number(key)); }

  // Absent is a fault.
  std::optional<std::string_view> Word(const std::string& key) {
    const auto found = values_.find(key);
    if (found != values_.end()) return found->second;
    Fault("absent", key);
    return std::nullopt;
  }
  std::string_view WordOr(const std::string& key, std::string_view otherwise) const {
    const auto found = values_.find(key);
    return found == values_.end() ? otherwise : found->second;
  }
  // What the word under `key` stands for; the first of them if it is none of them.
  template <typename Meaning>
  Meaning OneOf(const std::string& key, const std::vector<std::pair<std::string_view, Meaning>>& meanings) {
    const auto word = Word(key);
    if (!word) return meanings.front().second;
    for (const auto& [known, meaning] : meanings)
      if (*word == known) return meaning;
    Fault("of unknown meaning", key);
    return meanings.front().second;
  }

  void Fault(std::string_view what, const std::string& key) {
    if (faults_.size() == kMostFaults) return;
    faults_.push_back(std::string("setting ").append(what).append(": ").append(key));
  }
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  std::map<std::string_view, std::string_view, std::less<>> values_;
  std::vector<std::string> faults_;
};

ClassSettings ReadClass(Pairs& pairs, const std::string& at) {
  ClassSettings c;
  c.idempotency = pairs.OneOf<Idempotency>(at + "effect", {{"non_idempotent", Idempotency::kNotIdempotent},
                                                           {"idempotency_key", Idempotency::kIdempotencyKey},
                                                           {"read_like", Idempotency::kIdempotent}});
  if (c.idempotency == Idempotency::kIdempotencyKey) {
    c.idempotency_scope = pairs.OneOf<IdempotencyScope>(at + "group", {{"all", IdempotencyScope::kAll},
                                                                       {"zone", IdempotencyScope::kZone},
                                                                       {"cell", IdempotencyScope::kCell}});
    c.idempotency_window = pairs.Time(at + "windowMs");
  }
  c.latency_objective = pairs.Time(at + "goalTimeMs");
  c.deadline = pairs.Time(at + "deadlineMs");
  c.priority_weight = pairs.NumberOr(at + "worth", 1);
  c.late_priority_share = pairs.NumberOr(at + "lateWorth", 0, 0, 1);
  return c;
}

void ReadAllowed(Pairs& pairs, Settings* settings) {
  const std::string_view mode = pairs.WordOr("registryMode", "push");
  if (mode != "push" && mode != "ask") pairs.Fault("of unknown meaning", "registryMode");
  settings->must_poll_for_list = mode == "ask";
  if (settings->must_poll_for_list) settings->max_poll_interval = pairs.Time("rules.mustAskInMs");
  settings->max_attempts = pairs.Whole("permissions.maxAttempts", 1, kMostAttempts);
  if (pairs.WordOr("permissions.retryAfter", "false") == "true")
    settings->max_retry_after = Duration(pairs.NumberOr("permissions.maxRetryAfterMs", 0));
}

}  // namespace

BadSettings::BadSettings(std::vector<std::string> faults)
    : std::runtime_error(Joined(faults)), faults_(std::move(faults)) {}

Settings ParseSettings(std::string_view text) {
  Pairs pairs(text);
  Settings settings;
  settings.balancer_count = pairs.Whole("balancers", 1, kMostListItems);
  settings.balancer_index = pairs.WholeOr("me", 0, 0, kMostListItems);
  settings.zone = pairs.Whole("zone", 0, kMostListItems);

  const int classes = pairs.Whole("classes.count", 1, kMostListItems);
  for (int i = 0; i < classes; ++i)
    settings.classes.push_back(ReadClass(pairs, "classes." + std::to_string(i) + "."));
  const int tenants = pairs.WholeOr("tenants.count", 0, 0, kMostListItems);
  for (int i = 0; i < tenants; ++i) {
    TenantSettings tenant;
    tenant.quota_per_s = pairs.NumberOr("tenants." + std::to_string(i) + ".quotaPerS", 0);
    settings.tenants.push_back(tenant);
  }

  settings.over_quota_priority_share = pairs.NumberOr("overShareWorth", 1, 0, 1);
  settings.cross_zone_price = pairs.NumberOr("deductions.crossZone", 0);
  settings.session_affinity = pairs.WordOr("specifics.warmKeys", "false") == "true";
  ReadAllowed(pairs, &settings);
  settings.tick = Duration(pairs.NumberOr("periodMs", 1));

  settings.slow_start_min_share = pairs.Number("rules.coldFrom", 0, 1);
  settings.slow_start_window = pairs.Time("rules.warmUpMs");
  settings.overload_multiple = pairs.Number("rules.fallMultiple");
  settings.overload_window = pairs.Time("rules.overloadForMs");
  if (!pairs.faults().empty()) throw BadSettings(pairs.faults());
  return settings;
}

}  // namespace load_balancer::adapter
