// SPDX-License-Identifier: Apache-2.0
//
// A gateway of a whole system: the decision module, both pools, quotas and spill, wired as
// src/proxy/proxy.cpp and src/proxy/federation/federation.cpp wire them.
#ifndef LOAD_BALANCER_MODEL_SYSTEM_GATEWAY_H_
#define LOAD_BALANCER_MODEL_SYSTEM_GATEWAY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/site/gateway.h"
#include "model/system/checks.h"
#include "model/system/quota_side.h"
#include "model/system/spill_side.h"
#include "model/system/wiring.h"

namespace load_balancer::model {

// The duties' facts that the federation's pool has brought, until they are looked at.
class PoolFacts : public Observer {
 public:
  void OnEntryAccepted(const PoolMember&, const fleet::Entry& entry) override {
    const auto* fact = std::get_if<fleet::FencedValue>(&entry.content);
    if (fact && fact->key != "lease/" + fact->role) taken_.push_back(*fact);
  }
  std::vector<fleet::FencedValue> Take() { return std::exchange(taken_, {}); }

 private:
  std::vector<fleet::FencedValue> taken_;
};

// What is there before the pools are.
struct BeforePools {
  PoolFacts facts_;
};

class SystemGateway : private BeforePools, public GatewayProgram, private SpillHost {
 public:
  // `setup` has a wide pool; all that is given by reference outlives this.
  SystemGateway(Host& host, FleetSetup setup, const GatewayOptions& options, Ledger& ledger,
                const Wiring& wiring, Checks& checks);

  void Receive(const Packet& packet) override;
  void Tick() override;
  Time Next() const override;

  // Out of the pools, and back, as operators do it.
  void Leave();
  void Rejoin();

  load_balancer::SpareCapacity SpareNow() const override;
  bool HasEstimateOf(const std::string& site) const { return spill_.HasEstimateOf(site); }
  // What is open that nobody waits for; empty: nothing.
  std::string LeftOpen() const;

 private:
  struct Charged {
    std::size_t number = 0;  // among the partner's, as the checks count
    quota::ChargeReceipt receipt;
  };

  bool OnArrival(RequestId id, Request& request) override;
  bool OnRefused(RequestId id, Request& request, Span retry_after) override;
  void OnFailed(RequestId id, const Request& request) override { CreditIfNotRun(id, request); }
  void OnGone(RequestId id, const Request& request) override;
  void OnForgotten(RequestId id) override { charged_.erase(id); }
  void OnPacket(const Packet& packet) override;
  std::string EstimateText() const override { return spill_.EstimateText(); }

  void OnSpillServed(RequestId request) override;
  void OnSpillRefused(RequestId request, Span retry_after) override;
  void OnSpillFailed(RequestId request) override;

  void OnPayload(const fleet::Message& message);
  bool Admit(Request& request, RequestId id);
  void CreditIfNotRun(RequestId id, const Request& request);
  void AnswerRefused(RequestId id, Span retry_after);

  const FleetSetup setup_;
  const GatewayOptions options_;
  const Wiring& wiring_;
  Checks& checks_;
  QuotaSide quota_;
  SpillSide spill_;
  std::map<RequestId, Charged> charged_;
  std::optional<Time> leaves_at_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SYSTEM_GATEWAY_H_
