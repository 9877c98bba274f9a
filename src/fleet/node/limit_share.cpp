// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/limit_share.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.h"

namespace load_balancer::fleet {

using Steady = std::chrono::steady_clock;

LimitShare::LimitShare(boost::asio::io_context& io, const FleetSection& section, std::string component,
                       FleetListener& facts)
    : section_(section), component_(std::move(component)), facts_(facts), settle_(io) {}

// Until news of this process have gone round, the others hold on to its share.
void LimitShare::Settle() {
  settled_ = false;
  Update();
  const auto began = Steady::now();
  settle_.expires_after(section_.probe_interval * MaxTransmissions(membership_->options(), 9));
  settle_.async_wait([this, began](const boost::system::error_code& cancelled) {
    if (cancelled || !membership_) return;
    const auto needed =
        section_.probe_interval * MaxTransmissions(membership_->options(), membership_->present());
    if (Steady::now() - began < needed) return Settle();
    settled_ = true;
    Update();
  });
}

void LimitShare::Unsettle() {
  settle_.cancel();
  settled_ = false;
  Update();
}

// The members that hold a share: those that are present and, unless the present ones are most of all known,
// those that are dead, too, since they may be the other side of a partition that goes on.
int LimitShare::Share() const {
  std::size_t dead = 0;
  for (const auto& [name, member] : membership_->others()) dead += member.last.state == MemberState::kDead;
  const std::size_t present = std::max<std::size_t>(1, membership_->present());
  std::size_t holders = 2 * present > present + dead ? present : present + dead;
  if (present == 1) holders = std::max(holders, section_.seeds.size());
  return settled_ ? std::max(1, section_.server_limit / static_cast<int>(holders)) : 1;
}

void LimitShare::Update() {
  if (section_.server_limit == 0 || !membership_) return;
  const int share = Share();
  if (share == std::exchange(share_, share)) return;
  log::Info(component_, "limit=" + std::to_string(section_.server_limit) + " share=" + std::to_string(share) +
                            " present=" + std::to_string(membership_->present()));
  facts_.OnLimitShare(share);
}

void LimitShare::Stop() {
  settle_.cancel();
  membership_ = nullptr;
}

}  // namespace load_balancer::fleet
