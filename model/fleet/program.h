// SPDX-License-Identifier: Apache-2.0
//
// A gateway's fleet side as a program: a member of its site's pool and, optionally, of the federation's. What
// is built on them derives from it.
#ifndef LOAD_BALANCER_MODEL_FLEET_PROGRAM_H_
#define LOAD_BALANCER_MODEL_FLEET_PROGRAM_H_

#include <algorithm>
#include <optional>

#include "model/fleet/member.h"

namespace load_balancer::model {

inline constexpr std::size_t kSitePool = 0, kWidePool = 1;

struct FleetSetup {
  std::size_t machine = 0, site = 0, member = 0;  // numbers from 0; `member` of its site
  PoolOptions site_pool;
  std::optional<PoolOptions> wide_pool;
};

class FleetProgram : public Program {
 public:
  FleetProgram(Host& host, const FleetSetup& setup) : site_(host, setup.site_pool) {
    if (setup.wide_pool) wide_.emplace(host, *setup.wide_pool);
  }

  void Receive(const Packet& packet) override {
    const auto* datagram = std::any_cast<Datagram>(packet.content.get());
    if (!datagram) return ReceiveOther(packet);
    if (datagram->pool == kSitePool) return site_.Receive(packet, datagram->message);
    if (wide_) wide_->Receive(packet, datagram->message);
  }
  void Tick() override {
    site_.Tick();
    if (wide_) wide_->Tick();
  }
  Time Next() const override { return wide_ ? std::min(site_.Next(), wide_->Next()) : site_.Next(); }

  PoolMember& site() { return site_; }
  // Null: there is no federation.
  PoolMember* wide() { return wide_ ? &*wide_ : nullptr; }

 protected:
  virtual void ReceiveOther(const Packet&) {}

 private:
  PoolMember site_;
  std::optional<PoolMember> wide_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_FLEET_PROGRAM_H_
