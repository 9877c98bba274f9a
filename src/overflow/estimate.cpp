// SPDX-License-Identifier: Apache-2.0
#include "overflow/estimate.h"

#include <algorithm>
#include <stdexcept>

#include "overflow/failures.h"

namespace load_balancer::overflow {
namespace {

using nlohmann::json;

constexpr std::size_t kKeys = 9;
constexpr std::size_t kMostName = 64;                // bytes of a site's name
constexpr std::uint64_t kMostSpare = 1000000000000;  // ms of work a second; a billion cores
constexpr std::uint64_t kMostMs = 1ULL << 48;        // of times
constexpr std::uint64_t kMostMembers = 1000000;

std::uint64_t Figure(const json& value, const char* key, std::uint64_t most) {
  const json& figure = value.at(key);
  if (!figure.is_number_unsigned() || figure.get<std::uint64_t>() > most) throw std::invalid_argument(key);
  return figure.get<std::uint64_t>();
}

// Throws json::exception or std::invalid_argument.
Estimate Read(const json& value) {
  if (!value.is_object() || value.size() != kKeys) throw std::invalid_argument("keys");
  Estimate e;
  e.site = value.at("site").get<std::string>();
  if (e.site.empty() || e.site.size() > kMostName) throw std::invalid_argument("site");
  e.token = Figure(value, "token", UINT64_MAX);
  e.made_at = Figure(value, "made_at", kMostMs);
  e.mean = Figure(value, "mean", kMostSpare);
  e.low = Figure(value, "low", e.mean);
  e.wait_ms = Figure(value, "wait_ms", kMostMs);
  e.members = Figure(value, "members", kMostMembers);
  e.over = value.at("over").get<bool>();
  e.for_ms = Figure(value, "for_ms", kMostMs);
  if (e.over && e.mean > 0) throw std::invalid_argument("over");
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
  std::erase_if(held_, [&](const auto& held) { return !sites.contains(held.first); });
  std::erase_if(fences_, [&](const auto& fence) { return !sites.contains(fence.first); });
  for (const auto& [site, gateways] : sites) fences_.try_emplace(site, 0);
}

Result<bool> Estimates::Hear(Time now, UnixMs wall, const Estimate& estimate) {
  const auto fence = fences_.find(estimate.site);
  if (fence == fences_.end()) return tl::unexpected(Failure(kUnknownSite, estimate.site));
  const auto skew = static_cast<UnixMs>(options_.most_skew.count());
  if (estimate.made_at > wall + skew)
    return tl::unexpected(
        Failure(kFutureEstimate, estimate.site, std::to_string(estimate.made_at - wall) + " ms ahead"));
  if (estimate.token < fence->second)
    return tl::unexpected(
        Failure(kFencedEstimate, estimate.site,
                std::to_string(estimate.token) + " after " + std::to_string(fence->second)));
  const auto held = held_.find(estimate.site);
  if (held != held_.end() && estimate.token == fence->second &&
      estimate.made_at <= held->second.estimate.made_at)
    return false;
  fence->second = estimate.token;
  // Past staleness ages are all the same; the cap keeps one from far back from overflowing.
  const UnixMs age = std::min<UnixMs>(wall - std::min(wall, estimate.made_at), UnixMs{1} << 32);
  held_[estimate.site] = {estimate, now - Milliseconds(age)};
  return true;
}

const Estimate* Estimates::Find(const std::string& site) const {
  const auto held = held_.find(site);
  return held == held_.end() ? nullptr : &held->second.estimate;
}

Span Estimates::Age(Time now, const std::string& site) const {
  const auto held = held_.find(site);
  return held == held_.end() ? Span::max() : now - held->second.made;
}

const Estimates::Held* Estimates::Fresh(Time now, const std::string& site) const {
  const auto held = held_.find(site);
  const bool fresh = held != held_.end() && now - held->second.made < options_.staleness;
  return fresh ? &held->second : nullptr;
}

double Estimates::Offer(Time now, const std::string& site) const {
  const Held* held = Fresh(now, site);
  if (!held) return 0;
  const Estimate& e = held->estimate;
  const double offered =
      std::min(static_cast<double>(e.mean) * options_.most_part, static_cast<double>(e.low));
  return offered * Decay(now - held->made, options_);
}

bool Estimates::Quiet(Time now, const std::string& site) const {
  const Held* held = Fresh(now, site);
  return held && now - held->made < options_.quiet_age() && !held->estimate.over &&
         Milliseconds(held->estimate.for_ms) >= options_.quiet_settled();
}

bool Estimates::MaySpill(Time now, const std::string& site) const {
  const Held* held = Fresh(now, site);
  const bool alone = fences_.size() <= 2;
  return held && held->estimate.over &&
         (alone || Milliseconds(held->estimate.for_ms) >= options_.over_settled());
}

}  // namespace load_balancer::overflow
