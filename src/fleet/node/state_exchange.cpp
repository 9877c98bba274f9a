// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/state_exchange.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/wall_clock.h"
#include "fleet/failures.h"

namespace load_balancer::fleet {
namespace {

constexpr std::chrono::seconds kRejectionLogInterval{10};
constexpr int kMaxRejectionLines = 20;  // per kRejectionLogInterval

std::string OrDash(const std::string& text) { return text.empty() ? "-" : text; }

}  // namespace

StateExchange::StateExchange(const FleetSection& section, const std::string& name, std::string component,
                             FleetListener& listener, Host& host)
    : name_(name),
      component_(std::move(component)),
      listener_(listener),
      host_(host),
      gossip_(section, name, *this, host) {}

void StateExchange::Receive(const Message& message) {
  if (gossip_.Receive(UnixMilliseconds(), message)) listener_.OnJoined();
}

SharedState::Summary StateExchange::Summarize() { return gossip_.state().Summarize(UnixMilliseconds()); }

bool StateExchange::IsListed(const std::string& server) const { return listener_.IsListed(server); }

void StateExchange::OnAccepted(const Entry& entry) {
  if (const auto* affinity = std::get_if<KeyAffinity>(&entry.content))
    return listener_.OnKeyAffinity(*affinity, MillisecondsOf(entry.version.stamp));
  if (const auto* fenced = std::get_if<FencedValue>(&entry.content)) return host_.OnFencedValue(*fenced);
  const Ejection& ejection = std::get<Ejection>(entry.content);
  LogAcceptedEjection(ejection, entry.version);
  listener_.OnEjection(ejection);
}

void StateExchange::LogAcceptedEjection(const Ejection& ejection, const Version& version) const {
  const UnixMs now = UnixMilliseconds();
  const UnixMs age = now - std::min(now, MillisecondsOf(version.stamp));
  log::Info(component_,
            fmt::format("verdict server={} from={} failures={} attempts={} left_ms={} age_ms={} taken",
                        ejection.server, version.origin, ejection.failures, ejection.attempts,
                        ejection.until - now, age));
}

// Limits the number of rejection lines, so that a faulty member cannot fill the log.
bool StateExchange::MayLogRejection() {
  const Time now = std::chrono::steady_clock::now();
  if (now - rejections_counted_from_ >= kRejectionLogInterval) {
    rejections_counted_from_ = now;
    rejections_ = 0;
  }
  ++rejections_;
  return rejections_ <= kMaxRejectionLines;
}

void StateExchange::OnRejected(const std::string& subject, const std::string& origin,
                               EntryRejection rejection) {
  if (!MayLogRejection()) return;
  log::Warn(component_,
            Failure(kEntryRejected, fmt::format("state server={} from={} refused={}", OrDash(subject),
                                                OrDash(origin), Name(rejection))));
}

}  // namespace load_balancer::fleet
