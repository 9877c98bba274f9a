// SPDX-License-Identifier: Apache-2.0
//
// This gateway as a member of the federation's pool: gateways by their names, each reached and believed only
// at its configured address.
#ifndef LOAD_BALANCER_PROXY_FEDERATION_POOL_H_
#define LOAD_BALANCER_PROXY_FEDERATION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fleet/federation/section.h"
#include "fleet/lease/fencing.h"
#include "fleet/node/node.h"

namespace load_balancer::proxy {

class Pool : private fleet::FleetListener {
 public:
  // What the pool tells of duties; called from the event loop.
  class Host {
   public:
    virtual ~Host() = default;
    // Another gateway's, under its lease.
    virtual void OnPoolFact(const fleet::FencedValue& fact) = 0;
  };
  using Take = std::function<void(const std::string& gateway, const nlohmann::json& payload)>;

  // Of the gateway `self`; `duties` are all exclusive. `votes` is the file for this voter's votes; empty:
  // none. `host` outlives this.
  Pool(boost::asio::io_context& io, const fleet::SitesSection& sites, const std::string& self,
       std::uint64_t seed, const std::vector<std::string>& duties, const std::string& votes, Host& host);

  // Whether this process has the gateway's pool address: of two processes of one gateway, one has it.
  bool HasAddress() const { return node_.membership() != nullptr; }
  const std::string& self() const { return self_; }

  // To a gateway, for who takes the channel there; it may be lost. Nothing for an unknown name.
  void Send(const std::string& gateway, const std::string& channel, nlohmann::json payload);
  // Messages of configured gateways.
  void Subscribe(const std::string& channel, Take take);

  std::optional<fleet::LeaseProof> ProveLease(const std::string& duty) const {
    return node_.ProveLease(duty);
  }
  // The gateway that is known to hold the duty, this one, too; empty: none.
  std::string HolderOf(const std::string& duty) const;

  // The gateways that are present, this one among them.
  std::map<std::string, bool> Present() const;

  fleet::Node& node() { return node_; }
  const fleet::Node& node() const { return node_; }

 private:
  bool IsListed(const std::string&) const override { return false; }
  void OnEjection(const fleet::Ejection&) override {}
  void OnKeyAffinity(const fleet::KeyAffinity&, fleet::UnixMs) override {}
  void OnLimitShare(int) override {}
  void OnJoined() override {}
  void OnLeaseStatus(const std::string&, fleet::LeaseStatus) override {}
  void OnFencedValue(const fleet::FencedValue& fact) override { host_.OnPoolFact(fact); }

  const std::string self_;
  std::map<std::string, fleet::Udp::endpoint> addresses_;  // by gateway
  Host& host_;
  fleet::Node node_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FEDERATION_POOL_H_
