// SPDX-License-Identifier: Apache-2.0
#include "policy/outlier_detection.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace load_balancer {
namespace {

constexpr Duration kMaxInterval{10000};  // default of A50
// Duration of the first ejection if the detection interval is kDetectionInterval. The first ejection always
// lasts one interval.
constexpr Duration kBaseEjectionTime{2000};
constexpr Duration kMaxEjectionTime{16000};  // a recovered server is tried again within this time
constexpr double kReturnJitterMin = 0.75;    // smallest factor of the ejection time if traffic is sparse
constexpr double kReturnJitterRange = 0.5;
static_assert(kMaxEjectionTime * (kReturnJitterMin + kReturnJitterRange) <= kMaxEjectionDuration);

// With sparse traffic, a host is ejected after few attempts if all of them fail and the probability that this
// happens by chance is below this value.
constexpr double kSparseVolumeProbability = 0.01;
// A host is not ejected if its failures would occur at the usual failure rate with more than this
// probability.
constexpr double kMaxCoincidenceProbability = 0.001;
// Number of failures that are assumed at other hosts before any are counted.
constexpr double kPriorFailures = 0.1;
// Smallest number of hosts with enough attempts for a comparison.
constexpr int kMinimumHosts = 2;
// Smallest failure share of an outlier. It is well above random fluctuation.
constexpr double kThreshold = 0.4;
// Largest share of hosts that are ejected at once, in percent. The others must be able to handle the load.
constexpr double kMaxEjectionPercent = 50;
// Largest share of hosts that are ejected because of peers' reports, in percent. Limits the effect of a peer
// with wrong reports.
constexpr double kMaxPeerEjectedPercent = 25;
// Share of the detected outliers that are ejected, in percent.
constexpr double kEnforcingPercent = 100;

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
  // The threshold rises with the failure share of the other hosts, so that an overloaded fleet does not eject
  // its servers. It stays below 1 unless all other attempts fail, so that a server that always fails is still
  // ejected.
  const Counts others = current_.Without(host);
  const double others_share =
      others.attempts > 0 ? static_cast<double>(others.failures) / others.attempts : 0;
  const double threshold = std::max(kThreshold, others_share * (2 - others_share));
  if (host.attempts() < MinRequestVolume(others)) return false;
  if (!(host.failures > threshold * host.attempts())) return false;
  // If a few percent of attempts fail at every host, as when the network breaks connections, two of three
  // attempts fail at some host in each interval by chance. Such a host is no outlier.
  const double usual_share = std::min(1.0, (others.failures + previous_.failures + kPriorFailures) /
                                               (others.attempts + previous_.attempts + 1));
  return !(BinomialTail(host.failures, host.attempts(), usual_share) > kMaxCoincidenceProbability);
}

bool OutlierDetector::ApplyPeerEjection(HostHealth& host, const PeerEjection& peer, int peer_ejected_hosts,
                                        TimePoint now) {
  const int volume = is_traffic_sparse_ ? kMinimumHosts : kRequestVolume;
  if (host.is_ejected || peer.until <= now || peer.attempts < volume) return false;
  if (!(peer.failures > kThreshold * peer.attempts)) return false;
  if (!MayEject() || !(100.0 * peer_ejected_hosts < kMaxPeerEjectedPercent * hosts_)) return false;
  host.return_at = std::min(peer.until, now + Eject(host));
  host.is_peer_ejection = true;
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

// Returns the number of attempts needed to evaluate a host. With sparse traffic the number is smaller if even
// fewer attempts are unlikely to all fail by chance, given the failure share of the other hosts.
int OutlierDetector::MinRequestVolume(const Counts& others) const {
  const double others_share = (others.failures + kPriorFailures) / (others.attempts + 1);
  if (!is_traffic_sparse_ || others_share >= 1) return kRequestVolume;
  return std::min<int>(kRequestVolume,
                       std::ceil(std::log(kSparseVolumeProbability) / std::log(others_share)));
}

// Ejects the host. Returns the ejection time, which follows the backoff of gRFC A50.
Duration OutlierDetector::Eject(HostHealth& host) {
  ++host.multiplier;
  ++ejected_hosts_;
  host.is_ejected = true;
  host.is_peer_ejection = false;
  current_ = current_.Without(host);
  const Duration base = interval_ * (kBaseEjectionTime / kDetectionInterval);
  return std::min(base * host.multiplier, std::max(base, kMaxEjectionTime));
}

}  // namespace load_balancer
