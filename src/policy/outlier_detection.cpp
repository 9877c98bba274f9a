// SPDX-License-Identifier: Apache-2.0
#include "policy/outlier_detection.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace load_balancer {
namespace {

constexpr Duration kMaxInterval{10000};      // A50's default
constexpr Duration kBaseEjectionTime{2000};  // of the first ejection: one interval
constexpr Duration kMaxEjectionTime{16000};  // a recovered server is tried again within this
constexpr double kReturnJitterMin = 0.75;    // of the ejection time, where traffic is sparse
constexpr double kReturnJitterRange = 0.5;
static_assert(kMaxEjectionTime * (kReturnJitterMin + kReturnJitterRange) <= kMaxEjectionDuration);

constexpr double kChanceOfSparseVolume =
    0.01;  // sparse traffic: failures less likely than this suffice for a verdict
constexpr double kChanceOfCoincidence =
    0.001;                                  // failures more likely than this by the usual rate do not eject
constexpr double kPriorFailures = 0.1;      // assumed elsewhere before anything is known
constexpr int kMinimumHosts = 2;            // servers to compare with each other
constexpr double kThreshold = 0.4;          // failure share; well over what noise and overlap produce
constexpr double kMaxEjectionPercent = 50;  // the rest must be able to carry the load
constexpr double kMaxAdvisedPercent = 25;   // bounds what a peer that reports wrongly can take out
constexpr double kEnforcingPercent = 100;   // every verdict is enforced

}  // namespace

void OutlierDetector::AddHost(const HostHealth& host) {
  ++hosts_;
  if (host.is_ejected) ++ejected_hosts_;
}

void OutlierDetector::RemoveHost(const HostHealth& host) {
  --hosts_;
  if (host.is_ejected) --ejected_hosts_;
}

bool OutlierDetector::RecordResponse(HostHealth& host, bool is_listed, bool success, TimePoint now,
                                     RandomSource& random) {
  ++(success ? host.successes : host.failures);
  const int volume = is_traffic_sparse_ ? 1 : kRequestVolume;
  if (host.attempts() == volume) ++hosts_with_volume_;
  if (host.is_ejected) return false;
  if (!success) ++current_.failures;
  ++current_.attempts;
  if (hosts_with_volume_ < kMinimumHosts || !IsOutlier(host) || !MayEject()) return false;
  if (!(100.0 * random.UniformReal() < kEnforcingPercent)) return false;
  const Duration ejection_time = Eject(host);
  const double jitter = is_traffic_sparse_ ? kReturnJitterMin + kReturnJitterRange * random.UniformReal() : 1;
  host.return_at = now + ejection_time * jitter;
  if (!is_listed) --ejected_hosts_;
  return true;
}

bool OutlierDetector::IsOutlier(const HostHealth& host) const {
  // The threshold rises with the share that fails elsewhere: an overloaded fleet must not eject itself, but a
  // server that always fails is ejected, however bad the rest.
  const Counts others = current_.Without(host);
  const double others_share =
      others.attempts > 0 ? static_cast<double>(others.failures) / others.attempts : 0;
  const double threshold = std::max(kThreshold, others_share * (2 - others_share));
  if (host.attempts() < MinVolume(others)) return false;
  if (!(host.failures > threshold * host.attempts())) return false;
  // Failures that come at a few percent everywhere, as when connections break on the way, are two of three at
  // some host in every interval. They are no outliers.
  const double usual_share = std::min(1.0, (others.failures + previous_.failures + kPriorFailures) /
                                               (others.attempts + previous_.attempts + 1));
  return !(BinomialTail(host.failures, host.attempts(), usual_share) > kChanceOfCoincidence);
}

bool OutlierDetector::ApplyPeerEjection(HostHealth& host, const PeerEjection& peer, int advised_hosts,
                                        TimePoint now) {
  const int volume = is_traffic_sparse_ ? kMinimumHosts : kRequestVolume;
  if (host.is_ejected || peer.until <= now || peer.attempts < volume) return false;
  if (!(peer.failures > kThreshold * peer.attempts)) return false;
  if (!MayEject() || !(100.0 * advised_hosts < kMaxAdvisedPercent * hosts_)) return false;
  host.return_at = std::min(peer.until, now + Eject(host));
  host.is_advised = true;
  return true;
}

void OutlierDetector::RestoreEjection(HostHealth& host, const RestoredEjection& restored, TimePoint now) {
  Eject(host);
  host.multiplier = std::max(1, restored.multiplier);
  host.return_at = std::min(restored.until, now + kMaxEjectionDuration);
}

bool OutlierDetector::ReturnIfDue(HostHealth& host, bool is_listed, TimePoint now) {
  if (!host.is_ejected || now < host.return_at) return false;
  host.is_ejected = false;
  host.multiplier = std::max(0, host.multiplier - 1);
  current_.failures += host.failures;
  current_.attempts += host.attempts();
  if (is_listed) --ejected_hosts_;
  return true;
}

void OutlierDetector::EndInterval() {
  previous_ = std::exchange(current_, Counts());
  hosts_with_volume_ = 0;
}

void OutlierDetector::EndHostInterval(HostHealth& host) {
  host.successes = 0;
  host.failures = 0;
  if (!host.is_ejected) host.multiplier = std::max(0, host.multiplier - 1);
}

void OutlierDetector::SetVolumeInterval(Duration interval) {
  interval_ = std::clamp(interval, kDetectionInterval, kMaxInterval);
  is_traffic_sparse_ = interval_ > kDetectionInterval;
}

bool OutlierDetector::MayEject() const { return 100.0 * ejected_hosts_ < kMaxEjectionPercent * hosts_; }

// Where traffic is sparse, the volume falls to as many attempts as could hardly all fail by chance, going by
// the share that fails elsewhere.
int OutlierDetector::MinVolume(const Counts& others) const {
  const double others_share = (others.failures + kPriorFailures) / (others.attempts + 1);
  if (!is_traffic_sparse_ || others_share >= 1) return kRequestVolume;
  return std::min<int>(kRequestVolume, std::ceil(std::log(kChanceOfSparseVolume) / std::log(others_share)));
}

// Returns for how long, by A50's backoff.
Duration OutlierDetector::Eject(HostHealth& host) {
  ++host.multiplier;
  ++ejected_hosts_;
  host.is_ejected = true;
  host.is_advised = false;
  current_ = current_.Without(host);
  const Duration base = interval_ * (kBaseEjectionTime / kDetectionInterval);
  return std::min(base * host.multiplier, std::max(base, kMaxEjectionTime));
}

}  // namespace load_balancer
