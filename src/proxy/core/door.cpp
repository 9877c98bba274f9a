// SPDX-License-Identifier: Apache-2.0
#include "core/door.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "clients.h"
#include "clock.h"
#include "core/server_directory.h"
#include "hot_restart.h"

namespace load_balancer::proxy {
namespace {

// How long new connections are still accepted after SIGTERM. Clients may connect for up to 400 ms.
constexpr Duration kStopGrace{600};
// The same if another process accepts the new connections.
constexpr Duration kReplacedGrace{50};
// How long a connection must have been idle to be closed at a stop, since a request may be on its way.
constexpr Duration kStopIdle{500}, kReplacedIdle{2000};
// SIGKILL comes this long after SIGTERM at the earliest: the longest deadline, within a limit, and a margin.
constexpr Duration kLongestToEnd{3000}, kEndMargin{700};
// How long a process that replaces another one waits for discovery before it listens.
constexpr std::chrono::seconds kFreshList{3};

// Returns the time from SIGTERM to the earliest SIGKILL.
Duration TimeToEnd(const Settings& settings) {
  Duration longest{0};
  for (const ClassSettings& c : settings.classes) longest = std::max(longest, c.deadline);
  return std::min(longest, kLongestToEnd) + kEndMargin;
}

}  // namespace

Door::Door(boost::asio::io_context& io, Clients& clients, HotRestart& hot_restart,
           const ServerDirectory& servers)
    : clients_(clients), hot_restart_(hot_restart), servers_(servers), timer_(io) {}

void Door::Begin() {
  if (hot_restart_.processes() == 1) {
    clients_.Open();
    return hot_restart_.RegisterListener();
  }
  timer_.expires_after(kFreshList);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) OnList();
  });
}

void Door::OnList() {
  if (!clients_.Listening()) OpenWhenListed();
}

// During a hot restart, clients should not reach the new process before it has a current list.
void Door::OpenWhenListed() {
  if (!servers_.AnyListed() || clients_.Stopping()) return;
  clients_.Open();
  hot_restart_.RegisterListener();
  Tell();
}

bool Door::Taking() const { return servers_.AnyListed() && clients_.Listening() && !clients_.Draining(); }

bool Door::Open() const { return Taking() || (clients_.Stopping() && hot_restart_.OtherAccepts()); }

void Door::Tell() { hot_restart_.SetAccepting(Taking()); }

void Door::Drain() {
  clients_.Drain();
  hot_restart_.SetAccepting(false);
}

void Door::Rejoin() {
  clients_.Rejoin();
  Tell();
}

void Door::Stop(const Settings& settings, std::function<void()> done) {
  const bool replaced = hot_restart_.OtherAccepts();
  if (replaced) clients_.SteerNewConnections(hot_restart_.OtherListensLater() ? 1 : 0);
  clients_.Stop(replaced ? kReplacedGrace : kStopGrace, replaced ? kReplacedIdle : kStopIdle,
                Steady::now() + std::chrono::duration_cast<Steady::duration>(TimeToEnd(settings)),
                std::move(done));
  hot_restart_.SetAccepting(false);
}

Door::State Door::state() const {
  if (clients_.Stopping()) return State::kStopping;
  if (clients_.Draining()) return State::kDraining;
  if (!servers_.AnyListed()) return State::kUnlisted;
  return clients_.Listening() ? State::kTaking : State::kStarting;
}

}  // namespace load_balancer::proxy
