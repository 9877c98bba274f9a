// SPDX-License-Identifier: Apache-2.0
//
// The program of a gateway that is a member of its site's pool and optionally of the federation's pool.
// Programs that add other parts of a gateway derive from it.
#ifndef LOAD_BALANCER_MODEL_FLEET_PROGRAM_H_
#define LOAD_BALANCER_MODEL_FLEET_PROGRAM_H_

#include <algorithm>
#include <optional>

#include "model/fleet/member.h"

namespace load_balancer::model {

inline constexpr std::size_t kSitePool = 0, kFederationPool = 1;

// Contains the numbers of a machine and the options of its members.
struct FleetSetup {
  std::size_t machine = 0, site = 0, member = 0;  // numbers from 0; `member` is the number within the site
  PoolOptions site_pool;
  std::optional<PoolOptions> federation_pool;
};

// Runs one member per pool and passes each packet to the member of the packet's pool.
class FleetProgram : public Program {
 public:
  FleetProgram(Host& host, const FleetSetup& setup) : site_(host, setup.site_pool) {
    if (setup.federation_pool) federation_member_.emplace(host, *setup.federation_pool);
  }

  void Receive(const Packet& packet) override {
    const auto* datagram = std::any_cast<Datagram>(packet.content.get());
    if (!datagram) return ReceiveOther(packet);
    if (datagram->pool == kSitePool) return site_.Receive(packet, datagram->message);
    if (federation_member_) federation_member_->Receive(packet, datagram->message);
  }
  void Tick() override {
    site_.Tick();
    if (federation_member_) federation_member_->Tick();
  }
  Time Next() const override {
    return federation_member_ ? std::min(site_.Next(), federation_member_->Next()) : site_.Next();
  }

  PoolMember& site() { return site_; }
  // Returns the member of the federation's pool, or null if there is none.
  PoolMember* federation_member() { return federation_member_ ? &*federation_member_ : nullptr; }

 protected:
  // Handles packets that are not messages between members.
  virtual void ReceiveOther(const Packet&) {}

 private:
  PoolMember site_;
  std::optional<PoolMember> federation_member_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_FLEET_PROGRAM_H_
