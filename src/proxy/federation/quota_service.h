// SPDX-License-Identifier: Apache-2.0
//
// Quotas on this gateway's sockets and clock: the account that each request is charged to, and the allocators
// whose leases this process may hold. Decides nothing: both are in src/quota.
#ifndef LOAD_BALANCER_PROXY_FEDERATION_QUOTA_SERVICE_H_
#define LOAD_BALANCER_PROXY_FEDERATION_QUOTA_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "federation/pool.h"
#include "fleet/federation/section.h"
#include "quota/account.h"
#include "quota/allocator.h"
#include "quota/section.h"

namespace load_balancer::proxy {

class QuotaService {
 public:
  /// The names of the leases of all allocators.
  static std::vector<std::string> Duties(const quota::QuotaSection& section);

  // `incarnation` differs from that of any earlier process of this gateway. `pool` outlives this.
  QuotaService(boost::asio::io_context& io, const fleet::SitesSection& sites,
               const quota::QuotaSection& section, std::uint64_t incarnation, Pool& pool);
  QuotaService(const QuotaService&) = delete;
  QuotaService& operator=(const QuotaService&) = delete;

  // A request of `partner` that comes in here, of so much hinted work in ms.
  quota::ChargeResult Charge(std::string_view partner, double work_ms);
  // It is proven not to have run.
  void Credit(const quota::ChargeReceipt& receipt);

  void UpdateBudgets(const quota::QuotaSection& section);
  // Issues no grants, until Resume.
  void Pause() { paused_ = true; }
  void Resume();
  // Admits nothing as inside from now on, and issues no grants.
  void Stop();
  // When the last grant that this process has issued expires; its leases must not be released before.
  Steady::time_point GrantsExpireAt() const;

  // The allocators' demand ledgers, for the next process.
  nlohmann::json Ledger() const;
  void Load(const nlohmann::json& ledger);

  // One line: each partner's budget, what is in force here and why, and for this process's allocators what is
  // granted.
  std::string Describe();

 private:
  void Begin();
  void Send(const std::string& gateway, nlohmann::json payload);
  void Receive(const std::string& gateway, const nlohmann::json& payload);
  std::optional<fleet::LeaseProof> ProveLease(std::size_t allocator) const;
  void TakeRequest(std::size_t allocator, const std::string& gateway, const nlohmann::json& json);
  void TakeResponse(std::size_t allocator, const std::string& gateway, const nlohmann::json& json);
  void Tick();
  void Arm();
  Steady::time_point Next() const;

  void Do(const quota::AccountActions& actions);
  void Do(const quota::SendRequest& action);
  void Do(const quota::SourceChanged& action);
  void Do(const quota::LogWarning& action);
  void Do(std::size_t allocator, const quota::AllocatorActions& actions);

  boost::asio::io_context& io_;
  Pool& pool_;
  const quota::AccountOptions options_;
  std::shared_ptr<const quota::Budgets> budgets_;
  std::optional<quota::Account> account_;  // once this process has the pool address
  std::vector<quota::Allocator> allocators_;
  boost::asio::steady_timer timer_;
  Steady::time_point armed_ = Steady::time_point::max();
  bool paused_ = false, stopped_ = false;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what is posted
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FEDERATION_QUOTA_SERVICE_H_
