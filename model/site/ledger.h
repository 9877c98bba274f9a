// SPDX-License-Identifier: Apache-2.0
//
// What became of each request, as an observer of all clients, gateways and servers writes it down, and what
// must never be: an unsafe request that ran twice, a try that was answered twice, a request without an end.
#ifndef LOAD_BALANCER_MODEL_SITE_LEDGER_H_
#define LOAD_BALANCER_MODEL_SITE_LEDGER_H_

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "model/site/traffic.h"

namespace load_balancer::model {

class Ledger {
 public:
  struct Call {
    int site = 0, request_class = 0, tenant = 0;
    bool unsafe = false;
    double priority_weight = 0, work_ms = 0;
    Moment asked{0}, ended{0};
    int ran = 0, ends = 0;
    std::map<int, int> runs;     // of them, those of each try
    std::map<int, int> answers;  // that gateways gave to each try
    Ending ending = Ending::kExpired;
  };

  // A request comes to a machine over a connection, so once, whatever becomes of the process meanwhile.
  // False: this is another copy of its packet. `number` and `part` tell apart what `from` sends to `to`.
  bool First(const Endpoint& from, const Endpoint& to, std::uint64_t number, int part) {
    return delivered_.emplace(from, to, number, part).second;
  }
  void Asked(CallId id, Call call) { calls_[id] = std::move(call); }
  void Ran(CallId id, int tried) {
    Call& call = calls_[id];
    ++call.ran;
    ++call.runs[tried];
  }
  void Answered(CallId id, int tried) { ++calls_[id].answers[tried]; }
  void Ended(CallId id, Ending ending, Moment at) {
    Call& call = calls_[id];
    ++call.ends;
    call.ending = ending;
    call.ended = at;
  }

  const std::map<CallId, Call>& calls() const { return calls_; }

  // One line for each broken rule; a request that is still open counts as one if it was asked before `by`.
  std::vector<std::string> Broken(Moment by) const {
    std::vector<std::string> broken;
    for (const auto& [id, call] : calls_) {
      const std::string name = "request " + std::to_string(id);
      if (call.unsafe && call.ran > 1) broken.push_back(name + " is unsafe and ran twice");
      if (call.ends > 1) broken.push_back(name + " ended twice");
      if (call.ends == 0 && call.asked < by) broken.push_back(name + " has no end");
      for (const auto& [tried, answers] : call.answers)
        if (answers > 1) broken.push_back(name + " got two answers to a try");
    }
    return broken;
  }

  struct Sum {
    std::array<std::uint64_t, 4> ended{};     // by Ending
    double priority_weight = 0, work_ms = 0;  // of those that were served
  };
  // Of the calls that `wanted` picks.
  template <typename Wanted>
  Sum Total(Wanted wanted) const {
    Sum sum;
    for (const auto& [id, call] : calls_) {
      if (call.ends == 0 || !wanted(call)) continue;
      ++sum.ended[static_cast<std::size_t>(call.ending)];
      if (call.ending != Ending::kServed) continue;
      sum.priority_weight += call.priority_weight;
      sum.work_ms += call.work_ms;
    }
    return sum;
  }

 private:
  std::map<CallId, Call> calls_;
  std::set<std::tuple<Endpoint, Endpoint, std::uint64_t, int>> delivered_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SITE_LEDGER_H_
