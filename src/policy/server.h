// SPDX-License-Identifier: Apache-2.0
/// @file
/// What this proxy knows of one server.
#ifndef LOAD_BALANCER_SRC_POLICY_SERVER_H_
#define LOAD_BALANCER_SRC_POLICY_SERVER_H_

#include <cstddef>
#include <vector>

#include "policy/outlier_detection.h"

namespace load_balancer {

/// Index into the dense list of servers.
using ServerIndex = std::size_t;

/// This proxy's own attempts in flight at a server.
class ServerLoad {
 public:
  void Add(double work, TimePoint now);

  /// `responded`: the attempt did not end by a time-out, so the server is not silent.
  void Remove(double work, bool responded, TimePoint now);

  /// The last attempt's body is complete: a server that owes nothing else begins to owe its response now.
  void BodyComplete(TimePoint now);

  [[nodiscard]] double work() const { return work_; }  ///< hinted work, in ms on a standard core
  [[nodiscard]] int attempts() const { return attempts_; }

  /// Since when the server has owed responses without giving one.
  [[nodiscard]] TimePoint silent_since() const { return silent_since_; }

 private:
  double work_ = 0;
  int attempts_ = 0;
  TimePoint silent_since_{};
};

/// How much slower a server responds than the fleet does to the like: 1 is as fast. Decays to 1 where it is
/// not confirmed.
class Slowness {
 public:
  [[nodiscard]] double At(TimePoint now) const;

  /// `relative`: the time of a response over what the fleet takes for the like.
  void Record(double relative, TimePoint now);

 private:
  double value_ = 1;
  TimePoint recorded_at_{};
};

/// Work sent to a server in slow start.
struct SentWork {
  TimePoint sent_at{};
  double work = 0;
};

/// What SlowStart keeps of a server.
struct SlowStartState {
  std::vector<SentWork> sent;  ///< within the present window
  TimePoint last_sent_at{};    ///< the last send of all, or the server's start as it was announced
  double wait_fraction = 1;    ///< part of the time between two sends that has to pass before the next
};

struct Server {
  ServerEntry entry;
  bool in_maintenance = false;
  TimePoint maintenance_ended_at{};
  TimePoint gone_since{};
  HostHealth health;
  ServerLoad load;
  Slowness slowness;
  SlowStartState slow_start;

  /// Listed as ready and not in maintenance. It may be ejected nevertheless.
  [[nodiscard]] bool IsUsable() const { return entry.state == ServerState::kReady && !in_maintenance; }
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SERVER_H_
