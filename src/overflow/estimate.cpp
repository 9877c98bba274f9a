// SPDX-License-Identifier: Apache-2.0
#include "overflow/estimate.h"

#include <algorithm>
#include <stdexcept>

#include "overflow/failures.h"

namespace load_balancer::overflow {
namespace {

using nlohmann::json;

constexpr std::size_t kKeyCount = 9;
constexpr std::size_t kMaxNameBytes = 64;           // of a site's name
constexpr std::uint64_t kMaxSpare = 1000000000000;  // ms of work per second, which is a billion cores
constexpr std::uint64_t kMaxMs = 1ULL << 48;        // of points in time and durations
constexpr std::uint64_t kMaxMembers = 1000000;

// Returns the number stored under `key`. Throws json::exception or std::invalid_argument.
std::uint64_t ReadNumber(const json& value, const char* key, std::uint64_t max) {
  const json& number = value.at(key);
  if (!number.is_number_unsigned() || number.get<std::uint64_t>() > max)
    throw std::invalid_argument(std::string(key) + " is not an unsigned integer within its range");
  return number.get<std::uint64_t>();
}

// Decodes an estimate. Throws json::exception or std::invalid_argument.
Estimate Read(const json& value) {
  if (!value.is_object() || value.size() != kKeyCount)
    throw std::invalid_argument("it is not an object with exactly the nine keys of an estimate");
  Estimate e;
  e.site = value.at("site").get<std::string>();
  if (e.site.empty() || e.site.size() > kMaxNameBytes)
    throw std::invalid_argument("site is empty or longer than 64 bytes");
  e.token = ReadNumber(value, "token", UINT64_MAX);
  e.made_at = ReadNumber(value, "made_at", kMaxMs);
  e.mean = ReadNumber(value, "mean", kMaxSpare);
  e.low = ReadNumber(value, "low", e.mean);
  e.wait_ms = ReadNumber(value, "wait_ms", kMaxMs);
  e.members = ReadNumber(value, "members", kMaxMembers);
  e.over = value.at("over").get<bool>();
  e.for_ms = ReadNumber(value, "for_ms", kMaxMs);
  if (e.over && e.mean > 0) throw std::invalid_argument("over is true although mean is above zero");
  return e;
}

}  // namespace

json ToJson(const Estimate& e) {
  return {{"site", e.site},       {"token", e.token}, {"made_at", e.made_at},
          {"mean", e.mean},       {"low", e.low},     {"wait_ms", e.wait_ms},
          {"members", e.members}, {"over", e.over},   {"for_ms", e.for_ms}};
}

Result<Estimate> FromJson(const json& value) {
  try {
    return Read(value);
  } catch (const json::exception& error) {
    return tl::unexpected(Failure(kBadEstimate, "", error.what()));
  } catch (const std::invalid_argument& error) {
    return tl::unexpected(Failure(kBadEstimate, "", error.what()));
  }
}

double Decay(Span age, const Options& options) {
  if (age <= options.estimate_interval) return 1;
  if (age >= options.staleness) return 0;
  const std::chrono::duration<double> left = options.staleness - age;
  return left / std::chrono::duration<double>(options.staleness - options.estimate_interval);
}

Estimates::Estimates(Options options, const Directory& sites) { Configure(options, sites); }

void Estimates::Configure(Options options, const Directory& sites) {
  options_ = options;
  std::erase_if(entries_, [&](const auto& entry) { return !sites.contains(entry.first); });
  std::erase_if(largest_tokens_, [&](const auto& token) { return !sites.contains(token.first); });
  for (const auto& [site, gateways] : sites) largest_tokens_.try_emplace(site, 0);
}

Result<bool> Estimates::Update(Time now, UnixMs wall, const Estimate& estimate) {
  const auto largest_token = largest_tokens_.find(estimate.site);
  if (largest_token == largest_tokens_.end()) return tl::unexpected(Failure(kUnknownSite, estimate.site));
  const auto skew = static_cast<UnixMs>(options_.max_clock_skew.count());
  if (estimate.made_at > wall + skew)
    return tl::unexpected(
        Failure(kFutureEstimate, estimate.site, std::to_string(estimate.made_at - wall) + " ms ahead"));
  if (estimate.token < largest_token->second)
    return tl::unexpected(
        Failure(kFencedEstimate, estimate.site,
                std::to_string(estimate.token) + " after " + std::to_string(largest_token->second)));
  const auto entry = entries_.find(estimate.site);
  if (entry != entries_.end() && estimate.token == largest_token->second &&
      estimate.made_at <= entry->second.estimate.made_at)
    return false;
  largest_token->second = estimate.token;
  // Every age above `staleness` has the same effect. The cap keeps the subtraction below from overflowing.
  const UnixMs age = std::min<UnixMs>(wall - std::min(wall, estimate.made_at), UnixMs{1} << 32);
  entries_[estimate.site] = {estimate, now - Milliseconds(age)};
  return true;
}

const Estimate* Estimates::Find(const std::string& site) const {
  const auto entry = entries_.find(site);
  return entry == entries_.end() ? nullptr : &entry->second.estimate;
}

Span Estimates::Age(Time now, const std::string& site) const {
  const auto entry = entries_.find(site);
  return entry == entries_.end() ? Span::max() : now - entry->second.made;
}

const Estimates::Entry* Estimates::FindFresh(Time now, const std::string& site) const {
  const auto entry = entries_.find(site);
  const bool is_fresh = entry != entries_.end() && now - entry->second.made < options_.staleness;
  return is_fresh ? &entry->second : nullptr;
}

double Estimates::OfferedCapacity(Time now, const std::string& site) const {
  const Entry* entry = FindFresh(now, site);
  if (!entry) return 0;
  const Estimate& e = entry->estimate;
  const double offered_capacity =
      std::min(static_cast<double>(e.mean) * options_.offered_fraction, static_cast<double>(e.low));
  return offered_capacity * Decay(now - entry->made, options_);
}

bool Estimates::HasSettledSpare(Time now, const std::string& site) const {
  const Entry* entry = FindFresh(now, site);
  return entry && now - entry->made < options_.spare_report_max_age() && !entry->estimate.over &&
         Milliseconds(entry->estimate.for_ms) >= options_.spare_settling_time();
}

bool Estimates::MayForward(Time now, const std::string& site) const {
  const Entry* entry = FindFresh(now, site);
  const bool only_two_sites = largest_tokens_.size() <= 2;
  return entry && entry->estimate.over &&
         (only_two_sites || Milliseconds(entry->estimate.for_ms) >= options_.over_settling_time());
}

}  // namespace load_balancer::overflow
