// SPDX-License-Identifier: Apache-2.0
//
// Tests the model of sites with servers and clients: each request ends exactly once, and the rates agree with
// queueing theory.
#include <gtest/gtest.h>

#include "model/fault.h"
#include "model/site/scene.h"
#include "model/trace.h"

namespace load_balancer::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two sites, each with two gateways and four servers of four cores. The capacity of each site is 16,000 ms of
// work per second: 4 servers times 4 cores times 1000 ms. `load` is the offered load as a share of this
// capacity.
SceneOptions Options(double load) {
  SceneOptions options;
  options.federation.sites = 2;
  options.federation.members = 2;
  options.federation.federated = true;
  options.settings.max_attempts = 3;
  ClassSettings safe, unsafe;
  safe.idempotency = Idempotency::kIdempotent;
  safe.latency_objective = Duration(200);
  safe.deadline = Duration(1000);
  unsafe = safe;
  unsafe.idempotency = Idempotency::kNotIdempotent;
  options.settings.classes = {safe, unsafe};
  options.settings.tenants = {{1000}, {1000}};
  options.clients.class_shares = {1, 1};
  options.clients.tenant_shares = {3, 1};
  options.clients.work_ms = 20;
  options.clients.per_s = load * 16000 / options.clients.work_ms;
  options.clients.most_tries = 3;
  return options;
}

std::string Joined(const std::vector<std::string>& lines) {
  std::string all;
  for (const std::string& line : lines) all.append(line).append("\n");
  return all;
}

Ledger::Sum Between(const Ledger& ledger, Moment from, Moment to) {
  return ledger.Total([=](const Ledger::Call& call) { return from <= call.asked && call.asked < to; });
}

// Returns the share of requests that have the given ending.
double ShareOf(const Ledger::Sum& sum, Ending ending) {
  double all = 0;
  for (const std::uint64_t ended : sum.ended) all += static_cast<double>(ended);
  return static_cast<double>(sum.ended[static_cast<std::size_t>(ending)]) / all;
}

TEST(SceneTest, SitesServeAllRequestsBelowCapacityAndTheirCapacityAboveIt) {
  Scene under(1, Options(0.5)), over(1, Options(2));
  for (Scene* scene : {&under, &over}) scene->world().RunUntil(seconds(30));
  EXPECT_GT(ShareOf(Between(under.ledger(), seconds(5), seconds(25)), Ending::kServed), 0.99);
  const double per_s = Between(over.ledger(), seconds(5), seconds(25)).work_ms / 20 / 2;
  EXPECT_GT(per_s, 0.6 * 16000);
  EXPECT_LE(per_s, 1.05 * 16000);
  EXPECT_EQ(Joined(under.ledger().Broken(seconds(25))), "");
  EXPECT_EQ(Joined(over.ledger().Broken(seconds(25))), "");
}

TEST(SceneTest, ColdServersAndCrashedServersReduceTheWorkDone) {
  SceneOptions options = Options(0.8);
  Scene normal(1, options);
  options.server.slow_start_min_share = 0.25;
  options.server.slow_start_window = seconds(1000);
  Scene cold(1, options);
  Scene halved(1, Options(0.8));
  for (const std::size_t site : {0, 1})
    for (const std::size_t server : {0, 1}) halved.world().Crash(halved.server(site, server));
  for (Scene* scene : {&normal, &cold, &halved}) scene->world().RunUntil(seconds(20));
  const auto work = [](Scene& scene) { return Between(scene.ledger(), seconds(5), seconds(15)).work_ms; };
  EXPECT_LT(work(cold), 0.6 * work(normal));
  EXPECT_LT(work(halved), 0.8 * work(normal));
}

class FaultyScenesTest : public testing::TestWithParam<std::uint64_t> {};

// Under any faults each request must end, each attempt of a client must get at most one response, and no
// request that is not idempotent may run twice.
TEST_P(FaultyScenesTest, SatisfyTheInvariantsOfTheLedger) {
  SceneOptions options = Options(1.2);
  options.clients.per_s /= 4;
  options.server.cores = 1;
  Scene scene(GetParam(), options);
  FaultOptions faults;
  faults.machines = 4 + 8;  // 4 gateways and 8 servers; clients have no faults, because they observe results
  faults.from = seconds(2);
  faults.to = seconds(15);
  const Trace trace{GetParam(), DrawFaults(GetParam(), faults)};
  for (const Fault& fault : trace.faults) Inject(scene.world(), fault);
  scene.world().RunUntil(seconds(20));
  EXPECT_GT(scene.ledger().calls().size(), 1000u);
  EXPECT_EQ(Joined(scene.ledger().Broken(seconds(16))), "") << WriteTrace(trace);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FaultyScenesTest, testing::Range<std::uint64_t>(1, 7));

// Counts arrivals and rejections, and fails every second rejected request itself.
class RejectionHandler : public GatewayProgram {
 public:
  using GatewayProgram::GatewayProgram;
  int arrivals = 0, rejections = 0;

 protected:
  bool OnArrival(RequestId, Request& request) override {
    ++arrivals;
    request.received.quota_status = QuotaStatus::kWithinQuota;
    return true;
  }
  bool OnRefused(RequestId id, Request&, Span) override {
    if (++rejections % 2 == 0) return false;
    Finish(id, Ending::kFailed);
    return true;
  }
};

TEST(SceneTest, AGatewayCanHandleRejectionsItself) {
  Scene scene(1, Options(2),
              [](Host& host, const FleetSetup& setup, const GatewayOptions& options, Ledger& ledger) {
                return std::make_unique<RejectionHandler>(host, setup, options, ledger);
              });
  scene.world().RunUntil(seconds(10));
  const auto& gateway = static_cast<const RejectionHandler&>(*scene.gateway(0, 0));
  EXPECT_GT(gateway.arrivals, 1000);
  EXPECT_GT(gateway.rejections, 100);
  EXPECT_GT(ShareOf(Between(scene.ledger(), seconds(2), seconds(8)), Ending::kFailed), 0.01);
  EXPECT_EQ(Joined(scene.ledger().Broken(seconds(5))), "");
}

}  // namespace
}  // namespace load_balancer::model
