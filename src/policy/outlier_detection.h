// SPDX-License-Identifier: Apache-2.0
/// @file
/// gRFC A50 outlier detection by failure percentage. It is evaluated at each response instead of once an
/// interval.
#ifndef LOAD_BALANCER_SRC_POLICY_OUTLIER_DETECTION_H_
#define LOAD_BALANCER_SRC_POLICY_OUTLIER_DETECTION_H_

#include "policy/random_source.h"
#include "policy/statistics.h"

namespace load_balancer {

/// The interval after which counts are reset, unless traffic is sparse.
inline constexpr Duration kDetectionInterval{2000};

/// Attempts at one host within an interval below which it is not judged.
inline constexpr int kRequestVolume = 3;

/// What the detector knows of one host. Written by OutlierDetector only.
struct HostHealth {
  int successes = 0;
  int failures = 0;
  int multiplier = 0;  ///< of the ejection time: ejections in a row
  bool is_ejected = false;
  bool is_advised = false;  ///< ejected on a peer's advice
  TimePoint return_at{};

  [[nodiscard]] int attempts() const { return successes + failures; }
};

/// Counts the responses of all hosts and ejects outliers. It keeps running sums, so that a response does not
/// cost a scan of the hosts. A host that is not listed as ready is still judged by late responses, but counts
/// neither as a host nor as an ejected one.
class OutlierDetector {
 public:
  void AddHost(const HostHealth& host);
  void RemoveHost(const HostHealth& host);

  /// Counts a response and judges the host; true if it is ejected by it.
  bool RecordResponse(HostHealth& host, bool is_listed, bool success, TimePoint now, RandomSource& random);

  /// Ejects a listed host on a peer's advice, if the peer's sample would do for a verdict here and no more
  /// than a part of the hosts is out on advice. `advised_hosts` are those listed ones that are. The host is
  /// out no longer than by this proxy's own backoff and at the peer, so that all proxies return it together.
  /// True if it is ejected.
  bool ApplyPeerEjection(HostHealth& host, const PeerEjection& peer, int advised_hosts, TimePoint now);

  /// Ejects a listed host again that a former process had ejected.
  void RestoreEjection(HostHealth& host, const RestoredEjection& restored, TimePoint now);

  /// Returns the host to service if its ejection time has passed; true if so.
  bool ReturnIfDue(HostHealth& host, bool is_listed, TimePoint now);

  /// Ends the interval; each host's part of it has to be ended by EndHostInterval.
  void EndInterval();
  static void EndHostInterval(HostHealth& host);

  /// The interval in which traffic brings kRequestVolume attempts to each host.
  void SetVolumeInterval(Duration interval);

  [[nodiscard]] Duration interval() const { return interval_; }

  /// Traffic does not bring kRequestVolume attempts to each host within kDetectionInterval.
  [[nodiscard]] bool is_traffic_sparse() const { return is_traffic_sparse_; }

 private:
  struct Counts {
    int failures = 0;
    int attempts = 0;

    [[nodiscard]] Counts Without(const HostHealth& host) const {
      return {failures - host.failures, attempts - host.attempts()};
    }
  };

  [[nodiscard]] bool IsOutlier(const HostHealth& host) const;
  [[nodiscard]] bool MayEject() const;
  [[nodiscard]] int MinVolume(const Counts& others) const;
  Duration Eject(HostHealth& host);

  int hosts_ = 0;          // listed as ready
  int ejected_hosts_ = 0;  // of these
  int hosts_with_volume_ = 0;
  Counts current_;   // of this interval, hosts in service only
  Counts previous_;  // of the interval before
  Duration interval_{kDetectionInterval};
  bool is_traffic_sparse_ = false;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_OUTLIER_DETECTION_H_
