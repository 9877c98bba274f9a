// SPDX-License-Identifier: Apache-2.0
//
// Quotas at a gateway of the model: the real Account and Allocators on the federation's pool, as
// src/proxy/federation/quota_service.cpp has them on sockets and timers.
#ifndef LOAD_BALANCER_MODEL_SYSTEM_QUOTA_SIDE_H_
#define LOAD_BALANCER_MODEL_SYSTEM_QUOTA_SIDE_H_

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/fleet/program.h"
#include "model/system/checks.h"
#include "model/system/wiring.h"
#include "quota/account.h"
#include "quota/allocator.h"

namespace load_balancer::model {

class QuotaSide {
 public:
  static constexpr const char* kChannel = "quota";

  // Of the gateway on that machine; all that is given outlives this.
  QuotaSide(Host& host, PoolMember& pool, std::size_t machine, const Wiring& wiring, Checks& checks);

  quota::ChargeResult Charge(std::string_view partner, double work_ms);
  void Credit(const quota::ChargeReceipt& receipt) { account_.Credit(host_.Now(), receipt); }
  void Receive(const std::string& gateway, const nlohmann::json& payload);
  void Tick();
  Time Next() const;

  // Hands out no grants, until Resume.
  void Pause() { paused_ = true; }
  void Resume() { paused_ = false; }
  // No grant that was handed out here is in force from then on.
  Time GrantsExpireAt() const;

 private:
  std::optional<fleet::LeaseProof> ProveLease(std::size_t allocator) const;
  void Send(const std::string& gateway, nlohmann::json payload);
  void TakeRequest(std::size_t allocator, const std::string& gateway, const nlohmann::json& json);
  void TakeResponse(std::size_t allocator, const std::string& gateway, const nlohmann::json& json);
  void Do(const quota::AccountActions& actions);
  void Do(std::size_t allocator, const quota::AllocatorActions& actions, const fleet::LeaseProof& proof);

  Host& host_;
  PoolMember& pool_;
  const std::size_t machine_;
  const Wiring& wiring_;
  Checks& checks_;
  quota::Account account_;
  std::vector<quota::Allocator> allocators_;
  std::deque<nlohmann::json> posted_;  // to this process itself
  bool paused_ = false;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SYSTEM_QUOTA_SIDE_H_
