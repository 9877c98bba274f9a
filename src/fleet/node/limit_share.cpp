// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/limit_share.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.h"

namespace load_balancer::fleet {
namespace {

using Steady = std::chrono::steady_clock;

// The fleet size from which Settle computes the length of its first wait. The actual size may not be known
// yet, because this member may not have received a member table.
constexpr std::size_t kAssumedMembers = 9;

}  // namespace

LimitShare::LimitShare(boost::asio::io_context& io, const FleetSection& section, std::string component,
                       FleetListener& listener)
    : section_(section), component_(std::move(component)), listener_(listener), settle_timer_(io) {}

void LimitShare::Settle() {
  is_settled_ = false;
  Update();
  const auto began = Steady::now();
  settle_timer_.expires_after(section_.probe_interval *
                              MaxTransmissions(membership_->options(), kAssumedMembers));
  settle_timer_.async_wait([this, began](const boost::system::error_code& cancelled) {
    if (cancelled || !membership_) return;
    const auto dissemination_time =
        section_.probe_interval * MaxTransmissions(membership_->options(), membership_->CountPresent());
    if (Steady::now() - began < dissemination_time) return Settle();
    is_settled_ = true;
    Update();
  });
}

void LimitShare::Unsettle() {
  settle_timer_.cancel();
  is_settled_ = false;
  Update();
}

// Returns the number of members among which the limit is divided. These include all present members. They
// also include dead members unless the present ones are a majority of all known members, because dead members
// may be on the other side of a partition and continue to serve. If this member sees no other member as
// present, the result is at least the number of seeds.
std::size_t LimitShare::CountHolders() const {
  std::size_t dead = 0;
  for (const auto& [name, member] : membership_->others())
    if (member.update.state == MemberState::kDead) ++dead;
  const std::size_t present = std::max<std::size_t>(1, membership_->CountPresent());
  const std::size_t holders = 2 * present > present + dead ? present : present + dead;
  return present == 1 ? std::max(holders, section_.seeds.size()) : holders;
}

int LimitShare::ComputeShare() const {
  if (!is_settled_) return 1;
  return std::max(1, section_.server_limit / static_cast<int>(CountHolders()));
}

void LimitShare::Update() {
  if (section_.server_limit == 0 || !membership_) return;
  const int share = ComputeShare();
  if (share == std::exchange(share_, share)) return;
  log::Info(component_, fmt::format("limit={} share={} present={}", section_.server_limit, share,
                                    membership_->CountPresent()));
  listener_.OnLimitShare(share);
}

void LimitShare::Stop() {
  settle_timer_.cancel();
  membership_ = nullptr;
}

}  // namespace load_balancer::fleet
