// SPDX-License-Identifier: Apache-2.0
//
// A gateway of the model: its clients, its site's servers, and what it hands on.
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

class SpillFederation;

class SpillGateway : public Program {
 public:
  // `site` and `gateway` are its numbers. `federation` and `host` outlive this.
  SpillGateway(SpillFederation& federation, Host& host, std::size_t site, std::size_t gateway);

  void Receive(const Packet& packet) override;
  void Tick() override;
  Time Next() const override;

  const overflow::Spill& spill() const { return spill_; }

 private:
  // A request handed on, until its answer or its time-out.
  struct Pending {
    Ask ask;
    overflow::Neighbour at;
    Time timeout{};
    std::set<std::string> tried;  // without estimates
  };

  void Arrive();
  void Refuse(const Ask& ask);
  // Without estimates: sends it to some neighbour that it has not been to, or gives it up.
  void HandOn(Pending pending);
  std::optional<overflow::Neighbour> PickRandom(const std::set<std::string>& tried);
  // Without a network: it arrives after the way, at whichever neighbour has the most room at that moment.
  void SendKnowing(const Ask& ask);
  // The same, to whichever has the most room now of those that it has not been to.
  void SendInformed(const Ask& ask, std::set<std::size_t> tried);
  void Send(Pending pending);
  void Handle(const overflow::Event& event, const Ask& ask);
  void Ended(overflow::SpillAnswered answer);
  void Report();
  void TellEstimate();
  std::size_t Below(std::size_t bound) { return static_cast<std::size_t>(random_() % bound); }

  SpillFederation& federation_;
  Host& host_;
  const std::size_t site_, gateway_;
  const overflow::Neighbour self_;
  Clients clients_;
  std::mt19937_64 random_;
  Meter meter_;
  overflow::Spill spill_;
  std::optional<overflow::Ambassador> ambassador_;
  std::uint64_t token_ = 0;  // under which it is that
  Time next_arrival_{}, next_report_{};
  std::map<std::uint64_t, Pending> pending_;
  std::set<std::pair<Time, std::uint64_t>> timeouts_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_OVERFLOW_GATEWAY_H_
