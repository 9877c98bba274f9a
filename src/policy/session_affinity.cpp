// SPDX-License-Identifier: Apache-2.0
#include "policy/session_affinity.h"

namespace load_balancer {
namespace {

// Time for which a server is assumed to have a key cached.
constexpr Duration kKeyMemory{4000};
// Records are forgotten earlier beyond this number.
constexpr std::size_t kMaxRecords = 16384;

}  // namespace

void SessionAffinity::Record(std::uint64_t key, std::size_t server, TimePoint sent_at) {
  ForgetExpired(sent_at);
  if (expiries_.size() >= kMaxRecords) ForgetOldest();
  sent_at_[key][server] = sent_at;
  expiries_.push_back({sent_at, key});
}

bool SessionAffinity::IsWarm(std::uint64_t key, std::size_t server, TimePoint now) const {
  const auto servers = sent_at_.find(key);
  if (servers == sent_at_.end()) return false;
  const auto sent = servers->second.find(server);
  return sent != servers->second.end() && now - sent->second < kKeyMemory;
}

// Forgets the key of the oldest record at all servers where it was not recorded again.
void SessionAffinity::ForgetOldest() {
  const Expiry oldest = expiries_.front();
  expiries_.pop_front();
  const auto servers = sent_at_.find(oldest.key);
  if (servers == sent_at_.end()) return;
  std::erase_if(servers->second, [&](const auto& sent) { return sent.second <= oldest.recorded_at; });
  if (servers->second.empty()) sent_at_.erase(servers);
}

void SessionAffinity::ForgetExpired(TimePoint now) {
  while (!expiries_.empty() && now - expiries_.front().recorded_at >= kKeyMemory) {
    const std::uint64_t key = expiries_.front().key;
    auto& servers = sent_at_[key];
    std::erase_if(servers, [now](const auto& sent) { return now - sent.second >= kKeyMemory; });
    if (servers.empty()) sent_at_.erase(key);
    expiries_.pop_front();
  }
}

}  // namespace load_balancer
