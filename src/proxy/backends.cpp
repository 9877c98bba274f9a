// SPDX-License-Identifier: Apache-2.0
#include "backends.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>
#include <utility>

#include "backend/connection.h"
#include "base/log.h"

namespace load_balancer::proxy {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// Fraction of the servers' idle timeout after which the proxy closes an idle connection. The proxy must close
// it before the server does.
constexpr double kIdleShare = 0.8;

// A response does not say to which request it belongs. A duplicate that arrives some ms late would be taken
// for the response to the next request on its connection. After unexpected bytes, connections therefore stay
// idle for kMinIdleBeforeReuse between two requests during the next kDuplicatesExpected, so that a duplicate
// arrives on an idle connection.
constexpr std::chrono::milliseconds kMinIdleBeforeReuse{50};
constexpr std::chrono::seconds kDuplicatesExpected{60};

}  // namespace

Backends::Backends(asio::io_context& io, Limits limits, MemoryBudget& memory)
    : io_(io), limits_(std::move(limits)), memory_(memory) {}

Backends::~Backends() {
  const auto live = std::move(live_);
  live_.clear();
  for (const auto& [key, weak] : live) {
    if (const auto connection = weak.lock()) connection->DetachFromOwner();
  }
}

void Backends::Set(ServerId server, const Tcp::endpoint& address, double up_since) {
  Backend& backend = backends_[server];
  if (backend.usable && backend.address == address && backend.up_since == up_since) return;
  Retire(server);
  backend.address = address;
  backend.up_since = up_since;
  backend.usable = true;
}

void Backends::Retire(ServerId server) {
  const auto found = backends_.find(server);
  if (found == backends_.end()) return;
  found->second.usable = false;
  CloseIdleAndRetireOpen(found->second);
}

void Backends::CloseIdleAndRetireOpen(Backend& backend) {
  ++backend.generation;
  const auto idle = std::exchange(backend.idle, {});
  for (const auto& connection : idle) connection->Close();
}

void Backends::Detach(ServerId server) {
  Backend& backend = backends_[server];
  backend.detached = true;
  CloseIdleAndRetireOpen(backend);
  CancelOutdated();
}

void Backends::CancelOutdated() {
  std::vector<std::shared_ptr<Connection>> outdated;
  for (const auto& [key, weak] : live_) {
    const auto connection = weak.lock();
    if (!connection || !connection->IsConnecting()) continue;
    if (connection->generation() != backends_[connection->server()].generation)
      outdated.push_back(connection);
  }
  for (const auto& connection : outdated) connection->Finish(Outcome::kNotSent);
}

void Backends::Attach(ServerId server) {
  Backend& backend = backends_[server];
  backend.detached = false;
  CloseIdleAndRetireOpen(backend);
}

void Backends::SetTimeouts(Duration connect_timeout, Duration conn_idle) {
  const bool shorter = conn_idle < limits_.conn_idle;
  limits_.connect_timeout = connect_timeout;
  limits_.conn_idle = conn_idle;
  if (!shorter) return;
  // The timers of idle connections still use the longer time, so servers might close these connections first.
  std::vector<ServerId> servers;
  for (const auto& [server, backend] : backends_) servers.push_back(server);
  for (const ServerId server : servers) CloseIdle(server);
}

void Backends::Shrink(std::size_t connections) {
  while (open_ > connections && CloseOldestIdle()) {
  }
}

void Backends::RetireOthers(const std::unordered_set<ServerId>& named) {
  for (const auto& [server, backend] : backends_) {
    if (!named.contains(server)) Retire(server);
  }
}

void Backends::ForgetUnused(const std::unordered_set<ServerId>& listed) {
  std::unordered_set<ServerId> used;
  for (const auto& [key, weak] : live_)
    if (const auto connection = weak.lock()) used.insert(connection->server());
  std::erase_if(backends_, [&](const auto& entry) {
    return !entry.second.usable && !entry.second.detached && !listed.contains(entry.first) &&
           !used.contains(entry.first);
  });
}

void Backends::CloseIdle(ServerId server) {
  const auto found = backends_.find(server);
  if (found == backends_.end()) return;
  const auto idle = std::exchange(found->second.idle, {});
  for (const auto& connection : idle) connection->Close();
}

AttemptId Backends::Send(ServerId server, OutgoingRequest request, Duration timeout, AttemptEvents events) {
  const AttemptId attempt = ++last_attempt_;
  Backend& backend = backends_[server];
  MemoryBudget::Reservation headroom = memory_.ReserveAttempt();
  std::shared_ptr<Connection> connection = headroom ? TakeIdle(backend) : nullptr;
  if (connection) {
    connection->Assign(attempt, std::move(request), timeout, std::move(events));
    connection->SetHeadroom(std::move(headroom));
    connection->Reuse();
    return attempt;
  }
  connection = std::make_shared<Connection>(*this, server, backend.generation);
  live_.emplace(connection.get(), connection);
  ++open_;
  connection->Assign(attempt, std::move(request), timeout, std::move(events));
  if (backend.address.port() == 0) {
    connection->FinishSoon(Outcome::kConnectFailed);  // the address of the server was never set
  } else if (!headroom) {
    connection->FinishSoon(Outcome::kNotSent);  // as below: there is no memory for the attempt
  } else if (open_ > limits_.max_connections() && !CloseOldestIdle()) {
    // The attempt ends because of the proxy's own connection limit, so this is not a failure of the server.
    connection->FinishSoon(Outcome::kNotSent);
  } else {
    ++opened_;
    connection->SetHeadroom(std::move(headroom));
    connection->Open(backend.address, limits_.connect_timeout);
  }
  return attempt;
}

void Backends::CancelIfUnwritten(AttemptId attempt) {
  for (const auto& [key, weak] : live_) {
    const auto connection = weak.lock();
    if (connection && connection->IsIncompletelyWritten(attempt))
      return connection->Finish(Outcome::kNotSent);
  }
}

std::shared_ptr<Backends::Connection> Backends::TakeIdle(Backend& backend) {
  for (;;) {
    const auto now = Steady::now();
    const auto idle_before = now < duplicates_expected_until_ ? now - kMinIdleBeforeReuse : now;
    auto& idle = backend.idle;
    const auto newest = std::find_if(idle.rbegin(), idle.rend(),
                                     [&](const auto& each) { return each->idle_since() <= idle_before; });
    if (newest == idle.rend()) return nullptr;
    const auto connection = *newest;
    idle.erase(std::next(newest).base());
    if (connection->IsReusable()) return connection;
    connection->Close();
  }
}

void Backends::OnUnexpectedBytes(ServerId server) {
  const auto now = Steady::now();
  if (now >= duplicates_expected_until_)
    log::Info("backends",
              "server " + std::to_string(server) +
                  " sent bytes that belong to no request: connections now pause between two requests");
  duplicates_expected_until_ = now + kDuplicatesExpected;
}

bool Backends::CloseOldestIdle() {
  std::shared_ptr<Connection> oldest;
  for (const auto& [server, backend] : backends_) {
    if (backend.idle.empty()) continue;
    const auto& candidate = backend.idle.front();
    if (!oldest || candidate->idle_since() < oldest->idle_since()) oldest = candidate;
  }
  if (oldest) oldest->Close();
  return oldest != nullptr;
}

void Backends::KeepIdle(const std::shared_ptr<Connection>& connection) {
  Backend& backend = backends_[connection->server()];
  if (!backend.usable || backend.detached || backend.generation != connection->generation())
    return connection->Close();
  backend.idle.push_back(connection);
  connection->WatchIdle(limits_.conn_idle * kIdleShare);
}

void Backends::Remove(const Connection* connection) {
  if (live_.erase(connection) > 0) --open_;
  const auto found = backends_.find(connection->server());
  if (found == backends_.end()) return;
  std::erase_if(found->second.idle, [&](const auto& idle) { return idle.get() == connection; });
}

}  // namespace load_balancer::proxy
