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
                             Facts& facts, Host& host)
    : name_(name),
      component_(std::move(component)),
      facts_(facts),
      host_(host),
      gossip_(section, name, *this, host) {}

void StateExchange::Receive(const Message& message) {
  if (gossip_.Receive(UnixMilliseconds(), message)) facts_.OnJoined();
}

SharedState::Summary StateExchange::Summarize() { return gossip_.state().Summarize(UnixMilliseconds()); }

bool StateExchange::Listed(const std::string& server) const { return facts_.Listed(server); }

void StateExchange::Taken(const Entry& entry) {
  if (const auto* site = std::get_if<KeySite>(&entry.fact))
    return facts_.OnKey(*site, MillisecondsOf(entry.version.stamp));
  if (const auto* fact = std::get_if<DutyFact>(&entry.fact)) return host_.OnFact(*fact);
  const Verdict& verdict = std::get<Verdict>(entry.fact);
  const UnixMs now = UnixMilliseconds();
  log::Info(component_,
            fmt::format("verdict server={} from={} failures={} attempts={} left_ms={} age_ms={} taken",
                        verdict.server, entry.version.origin, verdict.failures, verdict.attempts,
                        verdict.until - now, now - std::min(now, MillisecondsOf(entry.version.stamp))));
  facts_.OnVerdict(verdict);
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

void StateExchange::Refused(const std::string& about, const std::string& origin, Refusal why) {
  if (MayLogRefusal())
    log::Warn(component_, Failure(kEntryRefused, fmt::format("state server={} from={} refused={}",
                                                             about.empty() ? "-" : about,
                                                             origin.empty() ? "-" : origin, Name(why))));
}

}  // namespace load_balancer::fleet
