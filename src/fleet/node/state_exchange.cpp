// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/state_exchange.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/wall_clock.h"
#include "brackenspoke/balancer.h"
#include "fleet/failures.h"
#include "fleet/wire/codec.h"

namespace brackenspoke::fleet {
namespace {

constexpr std::chrono::seconds kBetweenReports{10};  // of refused entries
constexpr int kMostRefusalLines = 20;                // in that time
constexpr std::size_t kPushFanout = 3;               // members told at once of a new verdict

StateOptions OptionsOf(const FleetSection& section, const std::string& name) {
  StateOptions options;
  options.name = name;
  options.verdicts = section.share_verdicts;
  options.affinity_entries = static_cast<std::size_t>(section.affinity_entries);
  options.affinity_ttl = static_cast<UnixMs>(section.affinity_ttl.count());
  options.most_skew = static_cast<UnixMs>(section.most_skew.count());
  options.longest_ejection = static_cast<UnixMs>(kLongestEjection.count());
  options.way = static_cast<UnixMs>(2 * section.probe_interval.count());
  return options;
}

}  // namespace

StateExchange::StateExchange(const FleetSection& section, const std::string& name, std::string component,
                             Facts& facts, Host& host)
    : fleet_(section.name),
      name_(name),
      component_(std::move(component)),
      facts_(facts),
      host_(host),
      state_(OptionsOf(section, name), *this) {}

void StateExchange::Receive(const Message& message) {
  if (!membership_ || message.sender.name == name_) return;
  if (!message.state.is_null() && state_.Receive(UnixMilliseconds(), message.state)) Push();
  if (message.kind == Message::Kind::kSync && message.digest != state_.Digest(UnixMilliseconds())) {
    SendAll(message.sender.address);
    if (message.reply) AskForState(message.sender.address);
  }
  // A peer's table that came with the digest of its state, once that is held here, too.
  if (message.kind == Message::Kind::kSync && !message.updates.empty()) joining_digest_ = message.digest;
  if (joined_ || !joining_digest_ || *joining_digest_ != state_.Digest(UnixMilliseconds())) return;
  joined_ = true;
  facts_.OnJoined();
}

Message StateExchange::FromHere() const {
  Message message;
  message.kind = Message::Kind::kState;
  message.sender = membership_->self().last;
  return message;
}

// A new verdict goes to a few members at once; each passes it on when it is new there, too.
void StateExchange::Push() {
  if (!membership_) return;
  Message message = FromHere();
  message.state = state_.Push(UnixMilliseconds(), RoomFor(fleet_, message));
  for (const Udp::endpoint& to : membership_->Sample(kPushFanout)) host_.Send(to, message);
}

// Who is asked may be the one that lacks something.
void StateExchange::AskForState(const Udp::endpoint& to) {
  Message message = FromHere();
  message.kind = Message::Kind::kSync;
  host_.Send(to, message);
}

// All that is held, in as many messages as it takes.
void StateExchange::SendAll(const Udp::endpoint& to) {
  Message message = FromHere();
  for (auto& piece : state_.All(UnixMilliseconds(), RoomFor(fleet_, message))) {
    message.state = std::move(piece);
    host_.Send(to, message);
  }
}

void StateExchange::AddTo(Message* message) {
  if (message->kind == Message::Kind::kSync) {
    message->digest = state_.Digest(UnixMilliseconds());
    return;
  }
  if (!message->state.is_null() || !membership_) return;
  std::size_t room = RoomFor(fleet_, *message);
  for (const Update& update : message->updates) room -= std::min(room, SizeOf(update));
  auto entries =
      state_.Fill(UnixMilliseconds(), room, MostTransmits(membership_->options(), membership_->present()));
  if (!entries.empty()) message->state = std::move(entries);
}

void StateExchange::Tell(Verdict verdict) {
  state_.Write(UnixMilliseconds(), std::move(verdict));
  Push();
}

void StateExchange::Tell(KeySite site) { state_.Write(UnixMilliseconds(), std::move(site)); }

void StateExchange::Tell(DutyFact fact) {
  const std::string key = fact.key;
  if (const auto why = state_.Write(UnixMilliseconds(), std::move(fact))) return Refused(key, name_, *why);
  Push();
}

SharedState::Summary StateExchange::Summarize() { return state_.Summarize(UnixMilliseconds()); }

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

}  // namespace brackenspoke::fleet
