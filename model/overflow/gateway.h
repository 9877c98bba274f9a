// SPDX-License-Identifier: Apache-2.0
//
// A gateway of the model: its clients, its part of the site's servers, and the requests that it forwards.
#ifndef LOAD_BALANCER_MODEL_OVERFLOW_GATEWAY_H_
#define LOAD_BALANCER_MODEL_OVERFLOW_GATEWAY_H_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "model/overflow/meter.h"
#include "model/overflow/traffic.h"
#include "model/program.h"
#include "overflow/estimate_publisher.h"
#include "overflow/overflow_router.h"

namespace load_balancer::model {

class OverflowFederation;

// OverflowGateway is the program of one gateway in the model's world.
class OverflowGateway : public Program {
 public:
  // `site` and `gateway` are the gateway's numbers. `federation` and `host` must outlive this object.
  OverflowGateway(OverflowFederation& federation, Host& host, std::size_t site, std::size_t gateway);

  void Receive(const Packet& packet) override;
  void Tick() override;
  Time Next() const override;

  const overflow::OverflowRouter& router() const { return router_; }

 private:
  // Pending is a forwarded request until its response or its timeout.
  struct Pending {
    ModelRequest request;
    overflow::RemoteGateway destination;
    Time timeout{};
    std::set<std::string> tried;  // sites; used by Strategy::kRandom
  };

  // Handles the arrival of the next request of a client.
  void Arrive();
  // Handles a request that the gateway's own site has rejected, according to the strategy.
  void HandleRejected(const ModelRequest& request);
  // Sends the request to a random site that it has not been sent to, or gives it up. For Strategy::kRandom.
  void ForwardRandomly(Pending pending);
  std::optional<overflow::RemoteGateway> PickRandom(const std::set<std::string>& tried);
  // Forwards the request without the network. After the propagation time it reaches the site that has the
  // most free cores at that moment. For Strategy::kOracle.
  void ForwardByOracle(const ModelRequest& request);
  // Forwards the request without the network to the site that has the most free cores now, which it reaches
  // after the propagation time. Skips the sites that have been tried. For Strategy::kInformed.
  void ForwardInformed(const ModelRequest& request, std::set<std::size_t> tried);
  void Send(Pending pending);
  // Passes the event to the router and carries out the router's actions. `request` is the request that the
  // event concerns.
  void Handle(const overflow::Event& event, const ModelRequest& request);
  void HandleEnd(overflow::ForwardEnded ended);
  // Reports the gateway's spare capacity to the holder of the publisher lease, and ticks the router.
  void Report();
  void PublishEstimate();
  // Returns a random index below `bound`.
  std::size_t RandomIndex(std::size_t bound) { return static_cast<std::size_t>(random_() % bound); }

  OverflowFederation& federation_;
  Host& host_;
  const std::size_t site_, gateway_;
  const overflow::RemoteGateway self_;
  Clients clients_;
  std::mt19937_64 random_;
  SpareMeter meter_;
  overflow::OverflowRouter router_;
  std::optional<overflow::EstimatePublisher> publisher_;  // while this gateway holds the lease
  std::uint64_t token_ = 0;                               // of that lease
  Time next_arrival_{}, next_report_{};
  std::map<std::uint64_t, Pending> pending_;
  std::set<std::pair<Time, std::uint64_t>> timeouts_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_OVERFLOW_GATEWAY_H_
