// SPDX-License-Identifier: Apache-2.0
//
// How the limit in flight of the whole proxy follows its traffic.
#include <gtest/gtest.h>

#include <deque>

#include "harness.h"

namespace load_balancer::testing {
namespace {

// Requests arrive evenly; each gets its response after a fixed time.
class Traffic {
 public:
  explicit Traffic(Rig& rig) : rig_(rig) {}

  // Returns how many were sent at once.
  int Play(double ms, int per_10_ms, double service_ms = 50) {
    int sent = 0;
    for (const double end = rig_.now + ms; rig_.now < end; rig_.now += 10) {
      Answer();
      for (int i = 0; i < per_10_ms; ++i) {
        const RequestId id = ++last_;
        const auto server = rig_.Send(id);
        sent += server.has_value();
        if (server) out_.push_back({rig_.now + service_ms, id, *server, service_ms});
      }
    }
    return sent;
  }

 private:
  struct Out {
    double at;
    RequestId id;
    ServerId server;
    double took;
  };
  void Answer() {
    while (!out_.empty() && out_.front().at <= rig_.now) {
      const Out done = out_.front();
      out_.pop_front();
      rig_.EndAttempt(done.id, 0, done.server, Outcome::kOk, done.took);
      for (const Action& a : rig_.actions) {  // a request that had waited
        if (const auto* d = std::get_if<Dispatch>(&a))
          out_.push_back({rig_.now + done.took, d->request, d->server, done.took});
      }
    }
  }

  Rig& rig_;
  RequestId last_ = 0;
  std::deque<Out> out_;
};

TEST(ConcurrencyLimit, IsKeptWhileThereAreNoRequests) {
  Rig rig;
  rig.Servers(4);
  Traffic traffic(rig);
  traffic.Play(5000, 2);
  EXPECT_EQ(traffic.Play(500, 2), 100);
  traffic.Play(100, 0);  // the last answers
  for (int i = 0; i < 50; ++i) rig.Tick(100);
  EXPECT_GE(traffic.Play(50, 2), 9) << "nearly as many as were in flight before";
}

TEST(ConcurrencyLimit, OfANewProxyFollowsItsResponses) {
  Rig rig;
  rig.Servers(4);
  for (int i = 0; i < 30; ++i) rig.Tick(100);  // nobody has come yet
  Traffic traffic(rig);
  traffic.Play(400, 8, 20);
  EXPECT_GT(rig.sent.size(), 250u) << "of 320";
}

}  // namespace
}  // namespace load_balancer::testing
