// SPDX-License-Identifier: Apache-2.0
// What is kept of servers, requests and classes, and what every part of the module shares.
#ifndef LOAD_BALANCER_SRC_POLICY_REQUEST_H_
#define LOAD_BALANCER_SRC_POLICY_REQUEST_H_

#include <memory>
#include <sstream>
#include <vector>

#include "policy/outlier_detection.h"

namespace load_balancer {

constexpr double kDeviations = 4;          // time-out: mean + 4 deviations, as RFC 6298
constexpr double kSlownessGain = 0.08;     // of one answer
constexpr double kMostSlowness = 8;        // one answer counts as no slower than this
constexpr Duration kSlownessMemory{4000};  // what is not confirmed is forgotten

struct Server {
  ServerEntry entry;
  bool detached = false;                  // by the operators
  TimePoint attached_at{}, gone_since{};  // put back by them then, restarted
  double own_work = 0;                    // hinted, of this proxy, in flight
  int own_count = 0;
  Host health;
  std::vector<std::pair<TimePoint, double>> sent;  // cold: work sent to it lately, all that was sent
  TimePoint turn_since{};                          // cold: the last send to it, or its start as told
  double turn_phase = 1;                           // part of the time between sends that has to pass
  double slowness = 1;  // time of its answers over what the fleet takes for the like
  TimePoint slowness_at{}, quiet_since{};

  bool Usable() const { return entry.state == ServerState::kReady && !detached; }
  double SlownessAt(TimePoint now) const {
    return 1 + (slowness - 1) * std::exp((slowness_at - now) / kSlownessMemory);
  }
};
using ServerIndex = std::size_t;  // of the dense list of servers

// What this proxy has seen of a class.
struct ClassState {
  Spread latency, work;    // time over Scale; hinted work
  Duration usual_time{0};  // that clients give a try
  int usual_votes = 0;

  double Scale(double hinted) const {
    const double ratio = work.mean > 0 ? hinted / work.mean : 1;
    return ratio > 1 ? ratio : 0.5 + 0.5 * ratio;
  }
  // An answer hardly takes longer.
  Duration Unlikely(double hinted) const {
    return Duration((latency.mean + kDeviations * latency.deviation) * Scale(hinted));
  }
};

struct Attempt {
  ServerIndex server = 0;
  TimePoint sent_at{}, overdue_at{};
  bool outstanding = true, may_have_run = true;
};

struct Request {
  RequestId id = 0;
  ClassSettings rules{};               // of its class as it came
  std::shared_ptr<ClassState> seen{};  // of its class
  int most_attempts = 1;
  double work = 1, value = 0;
  std::uint64_t key = 0;
  TimePoint arrived{}, due{}, refuse_at{};
  std::vector<Attempt> attempts{};
  TimePoint begun{};  // of a streamed answer
  bool finished = false, streaming = false, held = false, is_replayable = true;
  bool is_body_pending = false, is_overflow = false;  // its last byte has not come; from a neighbour site
  bool Outstanding() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.outstanding; });
  }
};

// Shared by all parts: what is settled from outside, and what is to be done.
struct Context {
  Settings settings;
  Random random;
  TimePoint now{};
  std::vector<Action>* out = nullptr;

  void Do(Action action) { out->push_back(std::move(action)); }
  // Few lines: each kind no closer than its gap.
  enum LogKind { kAdvice, kHealth, kEnding, kCold, kLogKinds };
  template <typename... Parts>
  void Say(LogKind kind, const Parts&... parts) {
    constexpr double kGaps[kLogKinds] = {0, 1000, 10000, 10000};
    if (now < log_at[kind]) return;
    log_at[kind] = now + Duration(kGaps[kind]);
    std::ostringstream line;
    (line << ... << parts);
    Do(Log{line.str()});
  }
  TimePoint log_at[kLogKinds] = {};
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_REQUEST_H_
