// SPDX-License-Identifier: Apache-2.0
//
// Spill at a gateway of the model: the real Spill and, under the site's lease, the real Ambassador on both
// pools, as src/proxy/federation/spill_service.cpp has them on sockets and timers.
#ifndef LOAD_BALANCER_MODEL_SYSTEM_SPILL_SIDE_H_
#define LOAD_BALANCER_MODEL_SYSTEM_SPILL_SIDE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/fleet/program.h"
#include "model/site/traffic.h"
#include "model/system/checks.h"
#include "model/system/wiring.h"
#include "overflow/estimate_publisher.h"
#include "overflow/overflow_router.h"

namespace load_balancer::model {

// Whose requests are spilled. Every request offered ends by one call of the three, unless its client goes.
class SpillHost {
 public:
  virtual ~SpillHost() = default;
  virtual load_balancer::SpareCapacity SpareNow() const = 0;
  virtual void OnSpillServed(RequestId request) = 0;
  virtual void OnSpillRefused(RequestId request, Span retry_after) = 0;
  virtual void OnSpillFailed(RequestId request) = 0;
};

class SpillSide {
 public:
  static constexpr const char* kChannel = "spare";

  // Of the gateway on that machine; all that is given outlives this.
  SpillSide(Host& host, PoolMember& site, PoolMember& wide, std::size_t machine, const Wiring& wiring,
            Checks& checks, SpillHost& requests);

  void Offer(const overflow::RejectedRequest& refused, const ClientAsk& ask, const RequestReceived& received);
  void Gone(RequestId request);
  // A neighbour's answer, if anybody here waits for it.
  void Receive(const Endpoint& from, const ClientAnswer& answer);

  // Whether a request comes from another site's gateway; takes the mark off it either way.
  bool TakeMark(ClientAsk* ask, const Endpoint& peer) const;
  std::string EstimateText() const;

  void OnPoolFact(const fleet::FencedValue& fact);
  void HearSpare(const std::string& member, const nlohmann::json& payload);
  void Tick();
  Time Next() const;

  bool HasEstimateOf(const std::string& site) const;
  std::size_t open() const { return spill_.open() + open_.size(); }

 private:
  struct Open {
    ClientAsk ask;
    RequestReceived received;
    overflow::RemoteGateway at;
    Time sent{}, timeout = Time::max();
  };
  void Feed(const overflow::Event& event);
  void Do(const overflow::ForwardTo& action);
  void Do(const overflow::GiveUp& action);
  void Do(const overflow::Log&) {}
  void Do(const overflow::SetTimer&) {}  // Look comes as often
  void OnDone(RequestId request, overflow::ForwardOutcome outcome);

  void Look();
  void LookAtPresence();
  void TellSpare();
  void MakeEstimate();
  overflow::MemberSpareCapacity OwnSpare() const;

  Host& host_;
  PoolMember& site_;
  PoolMember& wide_;
  const std::size_t machine_;
  const Wiring& wiring_;
  const std::string own_site_, duty_;
  Checks& checks_;
  SpillHost& requests_;
  overflow::OverflowRouter spill_;
  std::map<RequestId, Open> open_;
  std::map<std::string, bool> present_;  // gateways of other sites, as last told
  std::optional<overflow::EstimatePublisher> ambassador_;
  fleet::FencingToken office_ = 0;  // the lease that the ambassador is of
  Time next_look_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SYSTEM_SPILL_SIDE_H_
