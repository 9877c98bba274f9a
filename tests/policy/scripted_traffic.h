// SPDX-License-Identifier: Apache-2.0
//
// Helpers for tests of the decision module, which send requests and end their attempts in one call.
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

// Sends a request and ends its attempt: with `outcome` if the server is one of `failing`, otherwise
// successfully.
inline void SendAndRespond(Rig& rig, Outcome outcome, std::set<ServerId> failing, double took = 10) {
  const RequestId id = next_id++;
  const auto server = rig.Send(id, 2, 10, 5000);  // class 2 is not idempotent, so there is no retry
  ASSERT_TRUE(server.has_value());
  const bool fails = failing.count(*server) > 0;
  rig.EndAttempt(id, 0, *server, fails ? outcome : Outcome::kOk, took);
}

// Sends a request and ends it successfully. Returns its server, if it was sent.
inline std::optional<ServerId> SendAndFinish(Rig& rig) {
  const RequestId id = next_id++;
  const auto server = rig.Send(id);
  if (server) rig.EndAttempt(id, 0, *server, Outcome::kOk);
  return server;
}

// Returns whether one of three requests in flight is at `server`.
inline bool IsInService(Rig& rig, ServerId server) {
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

// Ends `per_server` attempts at each of three servers. The first `failures` of them at server 1 fail.
inline void RespondFromEachServer(Rig& rig, int per_server, int failures, Outcome outcome = Outcome::kError) {
  for (int i = 0; i < per_server; ++i) {
    std::map<ServerId, RequestId> open;
    for (int k = 0; k < 3; ++k) {
      const RequestId id = next_id++;
      const auto s = rig.Send(id, 2, 10, 5000);
      ASSERT_TRUE(s.has_value());
      open[*s] = id;
    }
    // Server 1 comes last, so that the others have reached the request volume.
    for (auto it = open.rbegin(); it != open.rend(); ++it) {
      const auto [s, id] = *it;
      rig.EndAttempt(id, 0, s, s == 1 && i < failures ? outcome : Outcome::kOk);
    }
  }
}

// Sends enough traffic for the request volume at each server within the detection interval.
inline void SendBusyTraffic(Rig& rig) {
  for (int i = 0; i < 100; ++i) rig.Tick(5), SendAndRespond(rig, Outcome::kOk, {});
}

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_POLICY_SCRIPTED_TRAFFIC_H_
