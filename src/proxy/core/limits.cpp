// SPDX-License-Identifier: Apache-2.0
#include "core/limits.h"

#include <algorithm>

#include "backends.h"
#include "clients.h"
#include "federation/link.h"
#include "hot_restart.h"

namespace load_balancer::proxy {
namespace {

constexpr int kOtherDescriptors = 40;  // descriptors used for neither clients nor servers, per process
constexpr double kClientShare = 0.6;   // the clients' share of the other descriptors
constexpr double kMinConnections = 8;  // minimum of each limit, so that no process is locked out

constexpr std::size_t kConnectionShare = 3;  // connections of each kind may take this part of the memory

// Returns what the other process leaves of a limit.
std::size_t Rest(double limit, std::size_t others) {
  return static_cast<std::size_t>(std::max(limit - static_cast<double>(others), kMinConnections));
}

}  // namespace

double Limits::Descriptors(int processes) const {
  return std::max(sockets_ - kOtherDescriptors * processes, sockets_ / 4);
}

double Limits::MemoryConnections() const {
  return static_cast<double>(memory_.limits().total / kConnectionShare / MemoryBudget::kConnectionBytes);
}

void Limits::Publish() const {
  hot_restart_.PublishUsage({clients_.connections(), backends_.connections(), memory_.in_use()});
}

std::size_t Limits::MostClients() const {
  Publish();
  const double descriptors = Descriptors(hot_restart_.processes()) * kClientShare;
  return Rest(std::min(descriptors, MemoryConnections()), hot_restart_.UsageOfOthers().clients);
}

std::size_t Limits::MostBackends() const {
  Publish();
  const double descriptors = Descriptors(hot_restart_.processes()) * (1 - kClientShare);
  return Rest(std::min(descriptors, MemoryConnections()),
              hot_restart_.UsageOfOthers().backends + federation_.connections());
}

void Limits::Share(int processes) {
  Publish();
  if (processes == 1) return;
  const double fair = Descriptors(processes) / processes;
  clients_.Shrink(static_cast<std::size_t>(fair * kClientShare));
  backends_.Shrink(static_cast<std::size_t>(fair * (1 - kClientShare)));
}

}  // namespace load_balancer::proxy
