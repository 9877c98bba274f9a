// SPDX-License-Identifier: Apache-2.0
// What this proxy learns of what it is asked for, and of how fast and how crowded servers answer.
#ifndef LOAD_BALANCER_SRC_POLICY_TRAFFIC_STATISTICS_H_
#define LOAD_BALANCER_SRC_POLICY_TRAFFIC_STATISTICS_H_

#include "policy/request.h"

namespace load_balancer {

constexpr int kYoung = 10;             // outcomes; before, what is asked stands for what is served
constexpr Duration kRateMemory{8000};  // averaging of work served by warm servers
constexpr Duration kGoodMemory{1500};  // averaging of the work answered, for the limit of the whole proxy
constexpr Duration kUnasked{1000};     // nobody asks for so long: the rate tells nothing and is left as it is
constexpr double kYoungGain = 0.7;     // of a sample that shows a young proxy more than it knew
constexpr double kCrowdingGain = 0.1;  // of one answer
constexpr Duration kCrowdingMemory{8000};  // what is not confirmed is forgotten
constexpr double kMostCrowding = 16;       // one answer counts as no slower than this
constexpr double kStretchGain = 0.01;      // of a slower answer; a faster one counts ten times as much
constexpr int kLeastVotes = 4;             // answers of large requests; one slow one says little
constexpr int kFirmVotes = 10;             // below, nothing is made of it: clients may differ widely

struct Traffic {
  Spread request_work{}, mean_aim{};
  double of_aim = 0;    // share of their aims that answers take
  double crowding = 3;  // time of answers over what they take uncrowded
  int time_per_work_votes = 0;
  double time_per_work = 0;  // time over work that large requests take at the least
  int samples = 0, young_samples = 0;
  TimePoint asked_at{}, asked_from = kNever;                              // last; first, after a while
  double answered = 0, served_rate = 0;                                   // since the last sample; a ms
  double served_work = 0, work_rate = 0, asked_work = 0, asked_rate = 0;  // the same of work
  int outcomes = 0;                                                       // attempts ended, to kYoung

  void Asked(const Request& r) {
    mean_aim.Add(r.rules.latency_objective.count());
    if (r.arrived - std::exchange(asked_at, r.arrived) > kUnasked) asked_from = r.arrived;
    asked_work += r.work;
  }

  void Ended(const Request& r, double took, bool ok, bool timed) {
    outcomes = std::min(kYoung, outcomes + 1);
    if (ok) served_work += r.work, ++answered;
    if (timed && time_per_work > 0 && took > 0) {
      const double usual = std::min(time_per_work * std::max(r.work, request_work.mean / 2),
                                    0.5 * r.rules.latency_objective.count());
      crowding += kCrowdingGain * (std::min(took / usual, kMostCrowding) - crowding);
      of_aim += kCrowdingGain * (std::min(took / r.rules.latency_objective.count(), kMostCrowding) - of_aim);
    }
    if (ok && r.work >= request_work.mean && took > 0) {
      const double seen = took / r.work;
      const double gain = seen < time_per_work ? 10 * kStretchGain : kStretchGain;
      time_per_work +=
          (++time_per_work_votes <= kFirmVotes ? 1.0 / time_per_work_votes : gain) * (seen - time_per_work);
    }
  }

  // A new proxy starts from little and trusts its first samples. They count from its first request, and go on
  // with the next one where nobody asked for a while, as in a drain.
  void Sample(double elapsed, TimePoint now) {
    const Duration asked = std::min(Duration(elapsed), now - asked_from);
    if (asked.count() > 0 && now - asked_at <= kUnasked) LearnServedRate(answered / asked.count(), asked);
    const double forgotten = std::min(1.0, elapsed / kCrowdingMemory.count());
    crowding += forgotten * (1 - crowding);
    of_aim -= forgotten * of_aim;
    const double gain = std::min(1.0, std::max(elapsed / kRateMemory.count(), 1.0 / ++samples));
    work_rate += gain * (served_work / elapsed - work_rate);
    asked_rate += gain * (asked_work / elapsed - asked_rate);
    answered = served_work = asked_work = 0;
  }

 private:
  // A young proxy follows a rising rate at once: with a limit of nothing it refused for up to a second.
  void LearnServedRate(double rate, Duration elapsed) {
    const double least_gain = young_samples < kYoung && rate > served_rate ? kYoungGain : 0;
    const double gain = std::min(1.0, std::max({elapsed / kGoodMemory, 1.0 / ++young_samples, least_gain}));
    served_rate += gain * (rate - served_rate);
  }
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_TRAFFIC_STATISTICS_H_
