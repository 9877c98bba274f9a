// SPDX-License-Identifier: Apache-2.0
//
// Requests with their responses in one call each, for tests of the decision module.
#ifndef LOAD_BALANCER_TESTS_POLICY_SCRIPTED_TRAFFIC_H_
#define LOAD_BALANCER_TESTS_POLICY_SCRIPTED_TRAFFIC_H_

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "harness.h"

namespace load_balancer::testing {

inline RequestId next_id = 1;

// One request and its answer, which fails if it came from one of `failing`.
inline void AnswerOne(Rig& rig, Outcome outcome, std::set<ServerId> failing, double took = 10) {
  const RequestId id = next_id++;
  const auto server = rig.Send(id, 2, 10, 5000);  // unsafe: one attempt, so nothing is sent again
  ASSERT_TRUE(server.has_value());
  const bool fails = failing.count(*server) > 0;
  rig.EndAttempt(id, 0, *server, fails ? outcome : Outcome::kOk, took);
}

inline std::optional<ServerId> AskAndEnd(Rig& rig) {
  const RequestId id = next_id++;
  const auto server = rig.Send(id);
  if (server) rig.EndAttempt(id, 0, *server, Outcome::kOk);
  return server;
}

inline bool InService(Rig& rig, ServerId server) {
  std::vector<std::pair<RequestId, ServerId>> open;
  bool seen = false;
  for (int i = 0; i < 3; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Send(id, 2, 10, 5000);
    if (!s) break;
    open.emplace_back(id, *s);
    seen |= *s == server;
  }
  for (const auto& [id, s] : open) rig.EndAttempt(id, 0, s, Outcome::kCancelled);
  return seen;
}

// Gives each of three servers `per_server` answers; `failures` of server 1's fail, first ones first.
inline void Answers(Rig& rig, int per_server, int failures, Outcome outcome = Outcome::kError) {
  for (int i = 0; i < per_server; ++i) {
    std::map<ServerId, RequestId> open;
    for (int k = 0; k < 3; ++k) {
      const RequestId id = next_id++;
      const auto s = rig.Send(id, 2, 10, 5000);
      ASSERT_TRUE(s.has_value());
      open[*s] = id;
    }
    // Server 1 last: the others qualify by then.
    for (auto it = open.rbegin(); it != open.rend(); ++it) {
      const auto [s, id] = *it;
      rig.EndAttempt(id, 0, s, s == 1 && i < failures ? outcome : Outcome::kOk);
    }
  }
}

// Traffic that brings the volume to each server within the interval.
inline void Busy(Rig& rig) {
  for (int i = 0; i < 100; ++i) rig.Tick(5), AnswerOne(rig, Outcome::kOk, {});
}

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_POLICY_SCRIPTED_TRAFFIC_H_
