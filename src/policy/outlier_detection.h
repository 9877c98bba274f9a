// SPDX-License-Identifier: Apache-2.0
/// @file
/// Outlier detection by failure percentage, after gRFC A50. Unlike A50, it evaluates a host at each response
/// instead of once per interval.
#ifndef LOAD_BALANCER_SRC_POLICY_OUTLIER_DETECTION_H_
#define LOAD_BALANCER_SRC_POLICY_OUTLIER_DETECTION_H_

#include "policy/random_source.h"
#include "policy/statistics.h"

namespace load_balancer {

/// The interval at which counts are reset, unless traffic is sparse.
inline constexpr Duration kDetectionInterval{2000};

/// The number of attempts within an interval below which a host is not evaluated.
inline constexpr int kRequestVolume = 3;

/// HostHealth holds the detector's state of one host. Only OutlierDetector modifies it.
struct HostHealth {
  int successes = 0;
  int failures = 0;
  int multiplier = 0;  ///< multiplier of the ejection time: the number of ejections in a row
  bool is_ejected = false;
  bool is_peer_ejection = false;  ///< whether the ejection is due to a peer's report
  TimePoint return_at{};

  [[nodiscard]] int attempts() const { return successes + failures; }
};

/// Counts the responses of all hosts and ejects outliers. Keeps running sums, so that a response does not
/// require a scan of all hosts. A host that is not listed as ready is still evaluated by its late responses,
/// but is included neither in the number of hosts nor in the number of ejected hosts.
class OutlierDetector {
 public:
  void AddHost(const HostHealth& host);
  void RemoveHost(const HostHealth& host);

  /// Counts a response and evaluates the host; returns whether this ejects the host.
  bool RecordResponse(HostHealth& host, bool is_listed, bool success, TimePoint now, RandomSource& random);

  /// Ejects a listed host that a peer has ejected, if the peer's counts would also cause an ejection by this
  /// proxy and not too many hosts are ejected because of peers' reports. `peer_ejected_hosts` is the number
  /// of listed hosts that are ejected because of peers' reports. Returns whether the host is ejected. The
  /// host returns at the time that the peer reported or after this proxy's own backoff, whichever is earlier,
  /// so that all proxies return it together.
  bool ApplyPeerEjection(HostHealth& host, const PeerEjection& peer, int peer_ejected_hosts, TimePoint now);

  /// Ejects a listed host that a former process of this proxy had ejected.
  void RestoreEjection(HostHealth& host, const RestoredEjection& restored, TimePoint now);

  /// Returns the host to service if its ejection time has passed; returns whether it did.
  bool ReturnIfDue(HostHealth& host, bool is_listed, TimePoint now);

  /// Ends the interval. The caller must also call EndHostInterval for each host.
  void EndInterval();
  static void EndHostInterval(HostHealth& host);

  /// Sets the time that the present traffic needs for kRequestVolume attempts at each host. The detection
  /// interval is this time, limited to a minimum and a maximum.
  void SetVolumeInterval(Duration interval);

  [[nodiscard]] Duration interval() const { return interval_; }

  /// Returns whether traffic makes fewer than kRequestVolume attempts at each host within kDetectionInterval.
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
  [[nodiscard]] int MinRequestVolume(const Counts& others) const;
  Duration Eject(HostHealth& host);

  int hosts_ = 0;          // hosts that are listed as ready
  int ejected_hosts_ = 0;  // hosts that are listed as ready and ejected
  int hosts_with_volume_ = 0;
  Counts current_;   // counts of this interval, of hosts in service only
  Counts previous_;  // counts of the previous interval
  Duration interval_{kDetectionInterval};
  bool is_traffic_sparse_ = false;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_OUTLIER_DETECTION_H_
