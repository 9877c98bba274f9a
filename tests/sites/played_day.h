// SPDX-License-Identifier: Apache-2.0
//
// A decision module under a day's traffic in virtual time, one event a step. The traffic comes from the
// indices and times of the settings and a seed of its own, so two days under equal settings are the same day
// as long as the module does the same.
#ifndef LOAD_BALANCER_TESTS_SITES_PLAYED_DAY_H_
#define LOAD_BALANCER_TESTS_SITES_PLAYED_DAY_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "load_balancer/balancer.h"

namespace load_balancer::testing {

class PlayedDay {
 public:
  // What was seen of requests that came after the last change of settings.
  struct Seen {
    int requests = 0, served = 0;
    int most_attempts = 0;       // of one request
    int repeats = 0;             // of requests whose earlier attempt never ran, or which are safe
    int wrong_repeats = 0;       // of unsafe requests that may have run
    Duration longest_advice{0};  // to stay away
  };

  PlayedDay(const Settings& settings, std::uint64_t seed);

  void Steps(int count);
  // Other settings from here on, all classes and tenants new.
  void Change(const Settings& settings);
  // The list of servers; the traffic begins.
  void Begin();

  // All actions in the order in which they came, one line each, with the time.
  const std::string& actions() const { return actions_; }
  const std::vector<std::pair<TimePoint, Event>>& events() const { return events_; }
  const Seen& seen() const { return seen_; }

 private:
  struct Request {
    int request_class = 0, attempts = 0;
    double work = 0;
    bool may_have_run = false;
    int settings_number = 0;  // of the settings in force when it came
  };

  void At(double in_ms, std::function<void()> what);
  void Feed(const Event& event);
  void Arrive();
  void End(RequestId id, int attempt, ServerId server, double took);
  Outcome DrawOutcome();
  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }

  void Do(const Dispatch& action);
  void Do(const Reject& action);
  void Do(const FailRequest& action);
  void Do(const SetTimer& action);
  void Do(const Subscribe& action);
  void Do(const CloseIdle& action);
  void Do(const Log& action);
  void Do(const Ejected& action);
  void Note(const std::string& line);

  Settings settings_;
  int settings_number_ = 0;
  Balancer balancer_;
  std::mt19937_64 random_;
  double now_ms_ = 1e6;
  std::multimap<double, std::function<void()>> due_;
  RequestId next_id_ = 1;
  std::map<RequestId, Request> requests_;
  std::string actions_;
  std::vector<std::pair<TimePoint, Event>> events_;
  Seen seen_;
};

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_SITES_PLAYED_DAY_H_
