// SPDX-License-Identifier: Apache-2.0
//
// Spill on sockets: how a refused request reaches a neighbour's gateway, and what each way for it to end
// makes of its one final answer.
#include "federation/spill_service.h"

#include <gtest/gtest.h>

#include "base/wall_clock.h"
#include "gateways.h"
#include "loopback.h"
#include "overflow/incoming.h"

namespace load_balancer::testing::federation {
namespace {

class Quiet : public load_balancer::fleet::FleetListener {
  bool IsListed(const std::string&) const override { return false; }
  void OnEjection(const load_balancer::fleet::Ejection&) override {}
  void OnKeyAffinity(const load_balancer::fleet::KeyAffinity&, load_balancer::fleet::UnixMs) override {}
  void OnLimitShare(int) override {}
  void OnJoined() override {}
  void OnLeaseStatus(const std::string&, load_balancer::fleet::LeaseStatus) override {}
  void OnFencedValue(const load_balancer::fleet::FencedValue&) override {}
};

class Origin : public proxy::SpillHost, public proxy::Pool::Host {
 public:
  load_balancer::SpareCapacity SpareNow() const override { return {}; }
  void OnSpillBegun(RequestId, proxy::ResponseHead) override { ends.push_back("begun"); }
  void OnSpillServed(RequestId, HttpResponse answer, proxy::MemoryBudget::Reservation) override {
    ends.push_back("served " + answer.body());
  }
  void OnSpillRefused(RequestId, Duration) override { ends.push_back("refused"); }
  void OnSpillFailed(RequestId) override { ends.push_back("failed"); }
  void OnPoolFact(const load_balancer::fleet::FencedValue&) override {}
  std::vector<std::string> ends;
};

class SpillOnSockets : public ::testing::Test {
 protected:
  SpillOnSockets()
      : neighbour_([this](Tcp::socket& socket, const HttpRequest& request) {
          from_.Do([&](std::string& from) {
            from =
                socket.remote_endpoint().address().to_string() + " " + std::string(request["Spilled-From"]);
          });
          if (!answer_.empty()) SendRaw(socket, answer_);
          return !answer_.empty();
        }),
        ports_(4),
        sites_(Sites()),
        memory_(
            {.total = 1 << 24, .buffered = 1 << 20, .piece = 4096}, [] { return std::size_t{0}; },
            [] { return std::size_t{0}; }),
        pool_(io_, sites_, "a1", 1, {}, "", origin_),
        site_(io_, SiteFleet(), "a1", 1, facts_),
        service_(
            io_, sites_, {true, {}}, "a1", 1, [] { return std::size_t{8}; }, memory_, pool_, site_, origin_) {
    Tell("a", 0, true);
    Tell("b", 100000, false);
    io_.run_for(milliseconds(100));  // until this gateway's share is full
  }
  ~SpillOnSockets() override { neighbour_.Stop(); }

  load_balancer::fleet::SitesSection Sites() const {
    load_balancer::fleet::SitesSection sites;
    const auto udp = [this](std::size_t i) {
      return fleet::Udp::endpoint(kAnyPort.address(), ports_[i].port());
    };
    sites.on = true;
    sites.site = "a";
    sites.bind = sites.advertise = udp(0);
    sites.gateways["a"]["a1"] = {udp(0), Tcp::endpoint(asio::ip::make_address("127.0.1.1"), 1)};
    sites.gateways["b"]["b1"] = {udp(1), neighbour_.address()};
    sites.voters = {udp(0), udp(1), udp(2)};
    return sites;
  }
  load_balancer::fleet::FleetSection SiteFleet() const {
    load_balancer::fleet::FleetSection section;
    section.bind = section.advertise = fleet::Udp::endpoint(kAnyPort.address(), ports_[3].port());
    return section;
  }
  void Tell(const std::string& site, std::uint64_t spare, bool over) {
    overflow::Estimate estimate{site, 1, UnixMilliseconds(), spare, spare, 0, 1, over, 60000};
    service_.OnPoolFact({proxy::SpillService::DutyOf(site), "estimate/" + site, 1, UnixMilliseconds() + 3000,
                         overflow::ToJson(estimate)});
  }

  // What a request of that effect ends as.
  std::string Offer(Idempotency idempotency, const std::string& answer) {
    answer_ = answer;
    auto message = std::make_shared<HttpRequest>(http::verb::get, "/look/it", 11);
    message->set("Req-Id", "1");
    message->prepare_payload();
    overflow::RejectedRequest refused;
    refused.request = ++last_;
    refused.idempotency = idempotency;
    refused.latency_objective_left = refused.deadline_left = std::chrono::seconds(10);
    refused.work_ms = 1;
    refused.priority_weight = 1;
    service_.Offer(refused, message);
    const auto until = std::chrono::steady_clock::now() + fleet::kMaxWait;
    while (origin_.ends.empty() && std::chrono::steady_clock::now() < until)
      io_.run_one_for(milliseconds(50));
    io_.run_for(milliseconds(50));  // a second answer would come now
    if (origin_.ends.size() != 1) return std::to_string(origin_.ends.size()) + " answers";
    return std::exchange(origin_.ends, {}).front();
  }

  Watched<std::string> from_;
  std::string answer_;  // of the neighbour; empty: it closes the connection
  Backend neighbour_;
  std::vector<LeasedPort> ports_;
  asio::io_context io_;
  load_balancer::fleet::SitesSection sites_;
  proxy::MemoryBudget memory_;
  Origin origin_;
  Quiet facts_;
  proxy::Pool pool_;
  load_balancer::fleet::Node site_;
  proxy::SpillService service_;
  RequestId last_ = 0;
};

TEST_F(SpillOnSockets, GoesMarkedFromTheGatewaysOwnAddressAndIsServed) {
  EXPECT_EQ(Offer(Idempotency::kIdempotent, OkAnswer("there")), "served there");
  EXPECT_EQ(from_.Get(), "127.0.1.1 a/a1");
}

TEST_F(SpillOnSockets, EndsAtOnceAsWhatTheNeighbourSays) {
  const std::string empty = "Content-Length: 0\r\n\r\n";
  EXPECT_EQ(Offer(Idempotency::kNotIdempotent, "HTTP/1.1 503 Busy\r\n" + empty), "refused");
  EXPECT_EQ(Offer(Idempotency::kNotIdempotent, "HTTP/1.1 429 Busy\r\n" + empty), "refused");
  EXPECT_EQ(Offer(Idempotency::kNotIdempotent, "HTTP/1.1 502 Bad\r\n" + empty), "failed");
  EXPECT_EQ(Offer(Idempotency::kNotIdempotent, ""), "failed");  // it may have run there
}

TEST_F(SpillOnSockets, AFresherEstimateInAnAnswerCounts) {
  const overflow::Estimate none{"b", 1, UnixMilliseconds() + 1, 0, 0, 0, 1, true, 60000};
  const std::string carried = std::string(overflow::kEstimateHeader) + ": " + overflow::ToJson(none).dump();
  EXPECT_EQ(
      Offer(Idempotency::kIdempotent, "HTTP/1.1 200 OK\r\n" + carried + "\r\nContent-Length: 0\r\n\r\n"),
      "served ");
  EXPECT_EQ(Offer(Idempotency::kIdempotent, OkAnswer("there")), "refused");
}

TEST_F(SpillOnSockets, AMarkCountsOnlyFromItsGatewaysAddressAndIsTakenOff) {
  const auto taken = [this](const std::string& mark, const char* peer) {
    HttpRequest message(http::verb::get, "/look/it", 11);
    message.set("Spilled-From", mark);
    const bool counts = service_.TakeMark(&message, asio::ip::make_address(peer));
    EXPECT_EQ(message.count("Spilled-From"), 0u);
    return counts;
  };
  EXPECT_TRUE(taken("b/b1", "127.0.0.1"));
  EXPECT_FALSE(taken("b/b1", "127.0.9.9"));
  EXPECT_FALSE(taken("a/a1", "127.0.1.1"));
  EXPECT_FALSE(taken("b/b9", "127.0.0.1"));
  EXPECT_FALSE(taken("nonsense", "127.0.0.1"));
}

}  // namespace
}  // namespace load_balancer::testing::federation
