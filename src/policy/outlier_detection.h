// SPDX-License-Identifier: Apache-2.0
// gRFC A50 outlier detection, failure percentage, evaluated at each answer as DESIGN states it.
#ifndef LOAD_BALANCER_SRC_POLICY_OUTLIER_DETECTION_H_
#define LOAD_BALANCER_SRC_POLICY_OUTLIER_DETECTION_H_

#include "policy/statistics.h"

namespace load_balancer {

constexpr Duration kInterval{2000};          // counts reset: long enough for the volume floor at 2 requests/s
constexpr Duration kBaseEjectionTime{2000};  // first ejection: as long as one interval
constexpr Duration kMaxEjectionTime{16000};  // a recovered server is tried again within this
static_assert(kMaxEjectionTime * 1.25 <= kMaxEjectionDuration);
constexpr int kRequestVolume = 3;  // a proxy sees few requests a server; 3 of 3 failing is no chance
constexpr Duration kLongestInterval{10000};  // A50's own; where traffic is thin counts have to be kept longer
constexpr double kByChance = 0.01;      // thin traffic: failures that come together less often are no chance
constexpr double kCoincidence = 0.001;  // a server's failures that chance brings more often do not eject it
constexpr double kPriorFailures = 0.1;  // seen elsewhere before anything is
constexpr int kMinimumHosts = 2;        // servers to compare with each other
constexpr double kThreshold = 0.4;      // failure share; well over what noise and overlap produce
constexpr double kMaxEjectionPercent = 50;  // the rest must be able to carry the load
constexpr double kMaxAdvisedPercent = 25;   // on peers' word: what one that lies can take out
constexpr double kEnforcingPercent = 100;   // every finding is enforced

// A50's counts of a server.
struct Host {
  int successes = 0, failures = 0, multiplier = 0;
  bool ejected = false, advised = false;  // advised: on a peer's word
  TimePoint return_at{};
  int attempts() const { return successes + failures; }
};

// Running counts over the hosts: an answer must not cost a scan of the fleet.
struct OutlierDetector {
  int hosts = 0, ejected = 0;  // listed as ready; of these out of service
  // Since the interval began; the last two of hosts in service.
  int qualifying = 0, failures = 0, attempts = 0;
  int failures_before = 0, attempts_before = 0;  // in the interval before
  Duration interval{kInterval};
  bool thin = false;  // traffic does not bring the volume to each host within kInterval

  // Counts an answer and tests the host; true if it is ejected by it.
  bool Record(Host& host, bool success, TimePoint now, Random& random) {
    ++(success ? host.successes : host.failures);
    qualifying += host.attempts() == (thin ? 1 : kRequestVolume);
    if (host.ejected) return false;
    failures += !success;
    ++attempts;
    if (qualifying < kMinimumHosts) return false;
    // The threshold rises with the share failing elsewhere: an overloaded fleet must not eject itself, but a
    // server failing always goes, however bad the rest.
    const int others_failed = failures - host.failures, others = attempts - host.attempts();
    const double elsewhere = others > 0 ? static_cast<double>(others_failed) / others : 0;
    const double threshold = std::max(kThreshold, elsewhere * (2 - elsewhere));
    if (host.attempts() < Volume(others_failed, others) || !(host.failures > threshold * host.attempts()))
      return false;
    // Failures that come at a few percent everywhere, as when connections break on the way, are two of three
    // somewhere in every interval, and took half of a healthy fleet out.
    const double usual =
        std::min(1.0, (others_failed + failures_before + kPriorFailures) / (others + attempts_before + 1));
    if (AtLeast(host.failures, host.attempts(), usual) > kCoincidence || !MayEject()) return false;
    if (!(100.0 * random.Unit() < kEnforcingPercent)) return false;
    host.return_at = now + Eject(host) * (thin ? 0.75 + 0.5 * random.Unit() : 1);
    return true;
  }

  // Exception, on a peer's word, where a fleet shares its verdicts. The peer's sample must do for this rule;
  // the server is out no longer than by this proxy's own backoff and at the peer, so that all return
  // together.
  bool Advise(Host& host, const PeerEjection& peer, int advised, TimePoint now) {
    if (host.ejected || peer.until <= now || peer.attempts < (thin ? kMinimumHosts : kRequestVolume) ||
        !(peer.failures > kThreshold * peer.attempts) || !MayEject() ||
        !(100.0 * advised < kMaxAdvisedPercent * hosts))
      return false;
    host.return_at = std::min(peer.until, now + Eject(host));
    host.advised = true;
    return true;
  }

  // For how long, by the backoff.
  Duration Eject(Host& host) {
    ++host.multiplier, ++ejected;
    host.ejected = true, host.advised = false;
    failures -= host.failures, attempts -= host.attempts();
    const Duration base = interval * (kBaseEjectionTime / kInterval);
    return std::min(base * host.multiplier, std::max(base, kMaxEjectionTime));
  }

  // The caller counts it out of `ejected` if it is listed.
  bool ReturnIfDue(Host& host, TimePoint now) {
    if (!host.ejected || now < host.return_at) return false;
    host.ejected = false;
    host.multiplier = std::max(0, host.multiplier - 1);
    failures += host.failures, attempts += host.attempts();
    return true;
  }

  void EndInterval() {
    failures_before = std::exchange(failures, 0), attempts_before = std::exchange(attempts, 0);
    qualifying = 0;
  }
  static void EndInterval(Host& host) {
    host.successes = host.failures = 0;
    if (!host.ejected) host.multiplier = std::max(0, host.multiplier - 1);
  }

 private:
  bool MayEject() const { return 100.0 * ejected < kMaxEjectionPercent * hosts; }

  // Exception, where traffic is thin: the volume floor falls to as many attempts as could hardly all fail by
  // chance, going by the share that fails elsewhere, and return times are spread: proxies learn one by one.
  int Volume(int others_failed, int others) const {
    const double elsewhere = (others_failed + kPriorFailures) / (others + 1);
    if (!thin || elsewhere >= 1) return kRequestVolume;
    return std::min<int>(kRequestVolume, std::ceil(std::log(kByChance) / std::log(elsewhere)));
  }
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_OUTLIER_DETECTION_H_
