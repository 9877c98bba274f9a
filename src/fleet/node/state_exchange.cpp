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

constexpr std::chrono::seconds kBetweenReports{10};  // of refused entries
constexpr int kMostRefusalLines = 20;                // in that time

}  // namespace

StateExchange::StateExchange(const FleetSection& section, const std::string& name, std::string component,
                             FleetListener& facts, Host& host)
    : name_(name),
      component_(std::move(component)),
      facts_(facts),
      host_(host),
      gossip_(section, name, *this, host) {}

void StateExchange::Receive(const Message& message) {
  if (gossip_.Receive(UnixMilliseconds(), message)) facts_.OnJoined();
}

SharedState::Summary StateExchange::Summarize() { return gossip_.state().Summarize(UnixMilliseconds()); }

bool StateExchange::IsListed(const std::string& server) const { return facts_.IsListed(server); }

void StateExchange::OnAccepted(const Entry& entry) {
  if (const auto* affinity = std::get_if<KeyAffinity>(&entry.content))
    return facts_.OnKeyAffinity(*affinity, MillisecondsOf(entry.version.stamp));
  if (const auto* fenced = std::get_if<FencedValue>(&entry.content)) return host_.OnFact(*fenced);
  const Ejection& ejection = std::get<Ejection>(entry.content);
  const UnixMs now = UnixMilliseconds();
  log::Info(component_,
            fmt::format("verdict server={} from={} failures={} attempts={} left_ms={} age_ms={} taken",
                        ejection.server, entry.version.origin, ejection.failures, ejection.attempts,
                        ejection.until - now, now - std::min(now, MillisecondsOf(entry.version.stamp))));
  facts_.OnEjection(ejection);
}

// At most so many lines in a time: a member that lies must not fill the log.
bool StateExchange::MayLogRefusal() {
  const Time now = std::chrono::steady_clock::now();
  if (now - refusals_from_ >= kBetweenReports) {
    refusals_from_ = now;
    refusals_ = 0;
  }
  return ++refusals_ <= kMostRefusalLines;
}

void StateExchange::OnRejected(const std::string& subject, const std::string& origin,
                               EntryRejection rejection) {
  if (MayLogRefusal())
    log::Warn(component_,
              Failure(kEntryRefused,
                      fmt::format("state server={} from={} refused={}", subject.empty() ? "-" : subject,
                                  origin.empty() ? "-" : origin, Name(rejection))));
}

}  // namespace load_balancer::fleet
