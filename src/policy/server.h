// SPDX-License-Identifier: Apache-2.0
/// @file
/// The state that this proxy keeps for one server.
#ifndef LOAD_BALANCER_SRC_POLICY_SERVER_H_
#define LOAD_BALANCER_SRC_POLICY_SERVER_H_

#include <cstddef>
#include <vector>

#include "policy/outlier_detection.h"

namespace load_balancer {

/// ServerIndex is an index into ServerList.
using ServerIndex = std::size_t;

/// Counts this proxy's attempts in flight at a server.
class ServerLoad {
 public:
  void Add(double work, TimePoint now);

  /// Removes an ended attempt. `responded` is false if it ended by a time-out.
  void Remove(double work, bool responded, TimePoint now);

  /// Notes that the body of the last attempt is complete. If no other attempt is outstanding, silent_since()
  /// starts from now.
  void MarkBodyComplete(TimePoint now);

  [[nodiscard]] double work() const { return work_; }  ///< hinted work, in ms on a standard core
  [[nodiscard]] int attempts() const { return attempts_; }

  /// Returns the time since which the server has had outstanding attempts without sending a response.
  [[nodiscard]] TimePoint silent_since() const { return silent_since_; }

 private:
  double work_ = 0;
  int attempts_ = 0;
  TimePoint silent_since_{};
};

/// Estimates the ratio of a server's response time to the fleet's for similar requests. 1 means that the
/// server is as fast as the fleet. The estimate decays to 1 over time.
class Slowness {
 public:
  [[nodiscard]] double At(TimePoint now) const;

  /// Records a response; `relative` is the ratio of its response time to the fleet's for similar requests.
  void Record(double relative, TimePoint now);

 private:
  double value_ = 1;
  TimePoint recorded_at_{};
};

/// SentWork is the work of an attempt that was sent to a server in slow start.
struct SentWork {
  TimePoint sent_at{};
  double work = 0;
};

/// SlowStartState is the state that SlowStart keeps for a server.
struct SlowStartState {
  std::vector<SentWork> sent;  ///< attempts sent within the overload window
  TimePoint last_sent_at{};    ///< time of the last send, or of the beginning of slow start if that is later
  double wait_fraction = 1;    ///< fraction of the send interval that must pass before the next send
};

/// Server holds all state of one server.
struct Server {
  ServerEntry entry;
  bool in_maintenance = false;
  TimePoint maintenance_ended_at{};
  TimePoint gone_since{};
  HostHealth health;
  ServerLoad load;
  Slowness slowness;
  SlowStartState slow_start;

  /// Returns whether the server is listed as ready and not in maintenance. A usable server may be ejected.
  [[nodiscard]] bool IsUsable() const { return entry.state == ServerState::kReady && !in_maintenance; }
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SERVER_H_
