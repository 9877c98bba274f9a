// SPDX-License-Identifier: Apache-2.0
//
// Tests how the proxy's limit on attempts in flight follows its traffic.
#include <gtest/gtest.h>

#include <deque>

#include "harness.h"

namespace load_balancer::testing {
namespace {

// Traffic sends requests at a constant rate and ends each one after a fixed time.
class Traffic {
 public:
  explicit Traffic(Rig& rig) : rig_(rig) {}

  // Sends traffic for `ms` and returns the number of requests that were sent without queueing.
  int Run(double ms, int per_10_ms, double service_ms = 50) {
    int sent = 0;
    for (const double end = rig_.now + ms; rig_.now < end; rig_.now += 10) {
      EndDueAttempts();
      for (int i = 0; i < per_10_ms; ++i) {
        const RequestId id = ++last_;
        const auto server = rig_.Send(id);
        sent += server.has_value();
        if (server) outstanding_.push_back({rig_.now + service_ms, id, *server, service_ms});
      }
    }
    return sent;
  }

 private:
  struct Outstanding {
    double at;
    RequestId id;
    ServerId server;
    double took;
  };
  void EndDueAttempts() {
    while (!outstanding_.empty() && outstanding_.front().at <= rig_.now) {
      const Outstanding done = outstanding_.front();
      outstanding_.pop_front();
      rig_.EndAttempt(done.id, 0, done.server, Outcome::kOk, done.took);
      for (const Action& a : rig_.actions) {  // a request that had been queued
        if (const auto* d = std::get_if<Dispatch>(&a))
          outstanding_.push_back({rig_.now + done.took, d->request, d->server, done.took});
      }
    }
  }

  Rig& rig_;
  RequestId last_ = 0;
  std::deque<Outstanding> outstanding_;
};

TEST(ConcurrencyLimit, StaysTheSameWhileThereAreNoRequests) {
  Rig rig;
  rig.Servers(4);
  Traffic traffic(rig);
  traffic.Run(5000, 2);
  EXPECT_EQ(traffic.Run(500, 2), 100);
  traffic.Run(100, 0);  // the last attempts end
  for (int i = 0; i < 50; ++i) rig.Tick(100);
  EXPECT_GE(traffic.Run(50, 2), 9) << "nearly as many as were in flight before the pause";
}

TEST(ConcurrencyLimit, RisesQuicklyAtANewProxy) {
  Rig rig;
  rig.Servers(4);
  for (int i = 0; i < 30; ++i) rig.Tick(100);  // there are no requests yet
  Traffic traffic(rig);
  traffic.Run(400, 8, 20);
  EXPECT_GT(rig.sent.size(), 250u) << "of 320 requests";
}

}  // namespace
}  // namespace load_balancer::testing
