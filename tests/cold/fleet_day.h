// SPDX-License-Identifier: Apache-2.0
//
// A planned day in virtual time: clients, processes that are each a Balancer of their own and share nothing,
// and servers that count what they get while they are cold. Deterministic.
#ifndef LOAD_BALANCER_TESTS_COLD_FLEET_DAY_H_
#define LOAD_BALANCER_TESTS_COLD_FLEET_DAY_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cold_count.h"
#include "plan.h"

namespace load_balancer::cold {

struct Verdict {
  // Most that a cold server got over what it may get: by number and, where clients hint at the work of their
  // requests, by work. Where nobody tells it, no process can keep a sum of work in bounds.
  double worst = 0;
  std::string where;        // and when that was
  int falls = 0;            // servers that fell
  bool broken = false;      // the rule: over two thirds of the first fall came from processes that were told
  std::size_t to_cold = 0;  // requests that cold servers got
  double asked = 0, served = 0;  // worth
  double in_time() const { return served / asked; }
};

class FleetDay {
 public:
  FleetDay(const Plan& plan, std::uint64_t seed);
  Verdict Play();

 private:
  // A client's request over all its tries.
  struct Call {
    int request_class = 0;
    double work = 0, asked_at = 0;
    int tries = 0;
  };
  struct Open {  // at a process
    std::size_t call = 0;
    double due = 0, sent_at = 0;
    int attempts = 0;
    bool out = false;  // the last attempt has no outcome yet
    std::size_t server = 0;
  };
  struct Process {
    std::unique_ptr<Balancer> balancer;  // none while it is down
    int life = 0;
    std::map<RequestId, Open> open;
    std::vector<ServerEntry> listed;  // as it was told, by server
    std::vector<int> version;
  };
  struct AttemptId {
    std::size_t process = 0;
    int life = 0;
    RequestId request = 0;
    int number = 0;
  };
  struct Job {
    AttemptId attempt;
    double work = 0;
  };
  struct Server {
    explicit Server(const ColdCount& counted) : count(counted) {}
    bool up = false, fallen = false;
    int life = 0;
    double up_since = -1e9;  // warm from the beginning
    int busy = 0;
    double failing_until = 0, failing_share = 0;
    std::deque<Job> waiting;
    std::vector<AttemptId> running;
    ColdCount count;
    ServerEntry entry;  // as discovery has it
    int version = 0;
  };

  void After(double delay, std::function<void()> what) { events_.emplace(now_ + delay, std::move(what)); }
  void Begin(const Trouble& trouble);
  void Announce(std::size_t server, ServerState state, double notice);
  void Tell(std::size_t process, const ServerEntry& entry, int version);
  void StartProcess(std::size_t process);
  void StopProcess(std::size_t process);
  void StartServer(std::size_t server);
  void StopServer(std::size_t server);

  void NextArrival();
  void Try(std::size_t call);
  void TryAgain(std::size_t call, double wait);
  void Answered(std::size_t call);
  void Expire(std::size_t process, int life, RequestId request);

  void Feed(std::size_t process, const Event& event);
  void Do(std::size_t process, const Dispatch& action);
  void Do(std::size_t process, const Reject& action);
  void Do(std::size_t process, const FailRequest& action);
  void Do(std::size_t process, const SetTimer& action);
  template <typename Ignored>
  void Do(std::size_t, const Ignored&) {}

  Open* Find(const AttemptId& attempt);
  void Arrive(const AttemptId& attempt, std::size_t server);
  void Count(const AttemptId& attempt, std::size_t server, double work);
  void Work(std::size_t server);
  void End(const AttemptId& attempt, Outcome outcome);

  double Share(std::size_t server) const;  // of its capacity, now

  Plan plan_;
  Draw draw_;
  Verdict verdict_;
  double now_ = 0;
  std::multimap<double, std::function<void()>> events_;
  std::vector<Process> processes_;
  std::vector<Server> servers_;
  std::vector<Call> calls_;
  RequestId last_request_ = 0;
};

}  // namespace load_balancer::cold

#endif  // LOAD_BALANCER_TESTS_COLD_FLEET_DAY_H_
