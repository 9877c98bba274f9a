// SPDX-License-Identifier: Apache-2.0
//
// Spill on this gateway's sockets and clock: requests that the module has refused on their way to a neighbour
// site and back, the site's spare on its way to the others, and the mark of requests that come from them.
// Decides nothing: src/overflow does.
#ifndef LOAD_BALANCER_PROXY_FEDERATION_SPILL_SERVICE_H_
#define LOAD_BALANCER_PROXY_FEDERATION_SPILL_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "backends.h"
#include "clock.h"
#include "federation/pool.h"
#include "fleet/federation/section.h"
#include "fleet/node/node.h"
#include "load_balancer/balancer.h"
#include "overflow/estimate_publisher.h"
#include "overflow/overflow_router.h"
#include "overflow/section.h"
#include "request.h"

namespace load_balancer::proxy {

// Whose requests are spilled. Every request offered ends by one call of the four, unless its client goes.
class SpillHost {
 public:
  virtual ~SpillHost() = default;
  virtual load_balancer::SpareCapacity SpareNow() const = 0;
  virtual void OnSpillBegun(RequestId request, ResponseHead head) = 0;
  virtual void OnSpillServed(RequestId request, HttpResponse answer, MemoryBudget::Reservation hold) = 0;
  virtual void OnSpillRefused(RequestId request, Duration retry_after) = 0;
  virtual void OnSpillFailed(RequestId request) = 0;
};

class SpillService {
 public:
  // The site's ambassador has this duty in the site's own fleet.
  static std::string DutyOf(const std::string& site) { return "ambassador/" + site; }

  // `site` is the site's own fleet; all that is given outlives this.
  SpillService(boost::asio::io_context& io, const fleet::SitesSection& sites,
               const overflow::OverflowSection& section, const std::string& self, std::uint64_t seed,
               std::function<std::size_t()> most_connections, MemoryBudget& memory, Pool& pool,
               fleet::Node& site, SpillHost& host);

  // The module has refused `message`, whole; its final answer comes from here.
  void Offer(const overflow::RejectedRequest& refused, std::shared_ptr<const HttpRequest> message);
  void Gone(RequestId request);

  // Whether a request comes from another site's gateway; takes the mark off it either way.
  bool TakeMark(HttpRequest* message, const boost::asio::ip::address& peer);
  // The site's newest estimate, for answers to such; empty: none.
  std::string EstimateText() const;

  void OnPoolFact(const fleet::FencedValue& fact);
  std::size_t connections() const { return neighbours_.connections(); }
  std::string Describe() const { return spill_.Describe(Steady::now()); }

 private:
  struct Open {
    std::shared_ptr<const HttpRequest> message;
    AttemptId attempt = 0;  // the last that was sent
  };
  void Feed(const overflow::Event& event);
  void Do(const overflow::ForwardTo& action);
  void Do(const overflow::GiveUp& action);
  void Do(const overflow::Log& action);
  void Do(const overflow::SetTimer&) {}  // Look comes as often

  void OnHead(const boost::beast::http::response_header<>& head);
  void OnDone(RequestId request, const overflow::RemoteGateway& neighbour, Steady::time_point sent,
              AttemptResult result);

  void Look();
  void LookAtPresence();
  void TellSpare();
  void HearSpare(const std::string& member, const nlohmann::json& payload);
  void MakeEstimate();

  const fleet::SitesSection sites_;
  const overflow::Options options_;
  const std::string self_, duty_;
  Pool& pool_;
  fleet::Node& site_;
  SpillHost& host_;
  overflow::OverflowRouter spill_;
  std::map<overflow::RemoteGateway, ServerId> numbers_;
  Backends neighbours_;
  std::map<RequestId, Open> open_;
  std::map<std::string, bool> present_;  // gateways of other sites, as last told
  std::optional<overflow::EstimatePublisher> ambassador_;
  fleet::FencingToken office_ = 0;  // the lease that the ambassador is of
  Steady::time_point next_complaint_{};
  boost::asio::steady_timer timer_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FEDERATION_SPILL_SERVICE_H_
