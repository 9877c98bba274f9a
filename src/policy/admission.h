// SPDX-License-Identifier: Apache-2.0
// How much this proxy has in flight, and what a request is worth to it.
#ifndef LOAD_BALANCER_SRC_POLICY_ADMISSION_H_
#define LOAD_BALANCER_SRC_POLICY_ADMISSION_H_

#include "policy/server_list.h"
#include "policy/traffic_statistics.h"

namespace load_balancer {

constexpr double kQueueShare = 0.33;  // of the aim that an attempt may take, in the mean
constexpr double kChance = 1;         // deviations of the number in flight that are no overload
constexpr double kCrowding = 3;       // and of what a mean request takes at servers that are not crowded
constexpr double kAimShare = 0.7;     // of their aims that answers may take in the mean: the rest is spread
constexpr double kAtEase = 0.7;       // of the pressure at which the throttle starts
constexpr double kComfort = 2.5;      // times the uncrowded time, up to which all is let in
constexpr double kMostFloor = 4;      // in flight at a proxy while answers come as fast as ever
constexpr double kLeastPerServer = 1.5;  // in flight at a server, of all proxies, that are always in order
constexpr double kSameTime = 0.04;       // part by which times of tries may differ and still be the same
constexpr int kMostVotes = 50;           // for the usual time of a try

struct Admission {
  Context& x;
  const ServerList& servers;
  Traffic& traffic;
  std::vector<double> tokens{};  // of tenants, within their shares

  // Exception, when the whole fleet is slow. By Little's law requests in flight are those answered a ms times
  // their time: more than kQueueShare of the aim at the rate of late could only queue, and more than
  // kCrowding times what requests take uncrowded kept a fleet at a fifth of its rate (incident i42a2e5).
  // Attempts whose answer is overdue don't count. The rest is held, the most worth first, and refused while a
  // try later can still be of use. Counted, not weighed: one huge request must neither be shut out nor shut
  // out others.
  double Limit() const {
    const double least = std::max(Floor(), kLeastPerServer * servers.listed / x.settings.balancer_count);
    const double mean = traffic.served_rate * Useful();
    return std::max(least, mean + kChance * std::sqrt(mean));
  }
  double Useful() const {  // ms that a request may take at that limit
    const double uncrowded =
        traffic.time_per_work > 0 ? traffic.time_per_work * traffic.request_work.mean : traffic.mean_aim.mean;
    return std::min(kQueueShare * traffic.mean_aim.mean, kCrowding * uncrowded);
  }

  // Exception, where traffic is thin and a limit of one or two in flight too coarse: arrivals are refused by
  // chance, by how crowded answers are and how much of their aims they take (else half came late, i6ba857);
  // those over their tenant share go first.
  bool Throttled(const Request& r) const {
    const double pressure = Pressure();
    if (!servers.detector.thin || pressure <= 1) return false;
    const bool over_share = r.value < r.rules.priority_weight;
    return x.random.Unit() > std::pow(pressure, over_share ? -4 : -2);
  }

  // What is too large to be in time is worth little, or nothing: it must not take the place of others. Each
  // such finding weakens the next: a slow spell must not shut a class out for good.
  void Value(Request& r, const RequestReceived& e, Duration latency_objective) {
    const bool inside =
        e.is_overflow || WithinShare(e.tenant, e.quota_status);  // what is spilled was charged before
    r.value = r.rules.priority_weight * (inside ? 1 : x.settings.over_quota_priority_share);
    const bool at_ease = servers.detector.thin && Pressure() < kAtEase;  // it takes nobody's place
    const Duration alone(
        at_ease || traffic.time_per_work_votes < kLeastVotes ? 0 : r.work * traffic.time_per_work);
    if (alone > latency_objective) r.value *= x.now + alone > r.due ? 0 : r.rules.late_priority_share;
    if (alone > r.rules.latency_objective) traffic.time_per_work *= 1 - 5 * kStretchGain;
  }

  // Exception: what has passed of a client's deadline has passed of its aim. A client's last try has what is
  // left of its deadline, all others of a class have the same time: the usual one, found by vote.
  Duration Elapsed(const RequestReceived& e, ClassState& seen) const {
    if (e.is_body_pending || e.is_overflow) return Duration(0);
    const Duration left = e.due - x.now;
    const bool as_usual = std::abs((left - seen.usual_time).count()) <= kSameTime * seen.usual_time.count();
    if (as_usual) {
      seen.usual_votes = std::min(kMostVotes, seen.usual_votes + 1);
    } else if (!e.client_retry && --seen.usual_votes < 0) {
      seen.usual_time = left, seen.usual_votes = 0;
    }
    if (seen.usual_votes < kFirmVotes) return Duration(0);
    const Duration at_most = std::max(Duration(0), x.settings.classes[e.request_class].deadline - left);
    return !as_usual ? at_most : e.client_retry ? at_most * 0.5 : Duration(0);
  }

  void Refill(double elapsed) {
    for (std::size_t t = 0; t < tokens.size(); ++t) {
      const double rate = x.settings.tenants[t].quota_per_s / x.settings.balancer_count / 1000;
      tokens[t] = std::min(std::max(1.0, rate * 2000), tokens[t] + rate * elapsed);
    }
  }

 private:
  // In flight at the least, which bounds what many proxies make servers hold: fewer, the more crowded.
  double Floor() const {
    return std::clamp(1.5 * kMostFloor / std::max(traffic.crowding, 0.1), 1.0, kMostFloor);
  }

  double Pressure() const { return std::max(traffic.crowding / kComfort, traffic.of_aim / kAimShare); }

  bool WithinShare(int tenant, QuotaStatus quota_status) {
    if (quota_status != QuotaStatus::kUnknown) return quota_status == QuotaStatus::kWithinQuota;
    if (tenant < 0 || tenant >= static_cast<int>(tokens.size())) return true;
    if (tokens[tenant] < 1) return false;
    tokens[tenant] -= 1;
    return true;
  }
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_ADMISSION_H_
