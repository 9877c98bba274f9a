// SPDX-License-Identifier: Apache-2.0
#include "played_day.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace load_balancer::testing {
namespace {

constexpr int kServers = 8, kZones = 2, kKinds = 2, kCells = 3;
constexpr double kMeanGapMs = 4, kMeanWorkMs = 20;
constexpr int kKeys = 40;

std::string Figure(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.17g", value);
  return text;
}

std::string Ms(TimePoint at) { return Figure(at.time_since_epoch().count()); }

TimePoint Instant(double ms) { return TimePoint(Duration(ms)); }

bool MayHaveRun(Outcome outcome) {
  return outcome != Outcome::kOverloaded && outcome != Outcome::kConnectFailed &&
         outcome != Outcome::kNotSent;
}

}  // namespace

PlayedDay::PlayedDay(const Settings& settings, std::uint64_t seed)
    : settings_(settings), balancer_(settings, seed), random_(seed) {}

void PlayedDay::Begin() {
  ListUpdate list{ListKind::kFull, {}};
  for (int i = 0; i < kServers; ++i) {
    ServerEntry entry;
    entry.server = static_cast<ServerId>(100 + i);
    entry.zone = i % kZones, entry.kind = i % kKinds, entry.cell = i % kCells;
    list.entries.push_back(entry);
  }
  Feed(list);
  At(0, [this] { Arrive(); });
}

void PlayedDay::Steps(int count) {
  for (; count > 0 && !due_.empty(); --count) {
    const auto first = due_.begin();
    now_ms_ = std::max(now_ms_, first->first);
    const std::function<void()> what = std::move(first->second);
    due_.erase(first);
    what();
  }
}

void PlayedDay::Change(const Settings& settings) {
  settings_ = settings;
  ++settings_number_;
  seen_ = {};
  NewSettings change;
  change.settings = std::make_shared<const Settings>(settings);
  change.previous_class_indices.assign(settings.classes.size(), -1);
  change.previous_tenant_indices.assign(settings.tenants.size(), -1);
  Feed(change);
}

void PlayedDay::At(double in_ms, std::function<void()> what) {
  due_.emplace(now_ms_ + in_ms, std::move(what));
}

void PlayedDay::Feed(const Event& event) {
  events_.emplace_back(Instant(now_ms_), event);
  std::vector<Action> actions;
  balancer_.Handle(Instant(now_ms_), event, &actions);
  for (const Action& action : actions) std::visit([this](const auto& a) { Do(a); }, action);
}

void PlayedDay::Arrive() {
  At(-kMeanGapMs * std::log(1 - Draw()), [this] { Arrive(); });
  RequestReceived received;
  received.request = next_id_++;
  received.request_class = static_cast<int>(random_() % settings_.classes.size());
  received.tenant = settings_.tenants.empty() ? 0 : static_cast<int>(random_() % settings_.tenants.size());
  received.key = 1 + random_() % kKeys;
  received.has_hint = true;
  received.work_ms = -kMeanWorkMs * std::log(1 - Draw());
  received.due = Instant(now_ms_) + settings_.classes[received.request_class].deadline;
  requests_[received.request] = {received.request_class, 0, received.work_ms, false, settings_number_};
  ++seen_.requests;
  if (Draw() < 0.02) {
    At(Draw() * 100, [this, id = received.request] {
      if (requests_.erase(id) > 0) Feed(ClientGone{id});
    });
  }
  Feed(received);
}

Outcome PlayedDay::DrawOutcome() {
  const double drawn = Draw();
  if (drawn < 0.03) return Outcome::kError;
  if (drawn < 0.18) return Outcome::kOverloaded;
  if (drawn < 0.20) return Outcome::kConnectFailed;
  return drawn < 0.22 ? Outcome::kReset : Outcome::kOk;
}

void PlayedDay::End(RequestId id, int attempt, ServerId server, double took) {
  const auto found = requests_.find(id);
  AttemptEnded end;
  end.request = id, end.attempt = attempt, end.server = server;
  end.took = Duration(took);
  end.outcome = DrawOutcome();
  end.is_request_finished = found == requests_.end() || end.outcome == Outcome::kOk;
  if (found != requests_.end()) {
    found->second.may_have_run |= MayHaveRun(end.outcome);
    if (end.outcome == Outcome::kOk) {
      seen_.served += found->second.settings_number == settings_number_;
      requests_.erase(found);
    }
  }
  Feed(end);
}

void PlayedDay::Do(const Dispatch& action) {
  Note("dispatch " + std::to_string(action.request) + " to " + std::to_string(action.server) + " for " +
       Figure(action.timeout.count()));
  const auto found = requests_.find(action.request);
  if (found == requests_.end()) return;
  Request& request = found->second;
  const int attempt = request.attempts++;
  if (request.settings_number == settings_number_) {
    const bool safe = settings_.classes[request.request_class].idempotency == Idempotency::kIdempotent;
    const bool wrong = !safe && request.may_have_run;
    seen_.most_attempts = std::max(seen_.most_attempts, request.attempts);
    if (attempt > 0) wrong ? ++seen_.wrong_repeats : ++seen_.repeats;
  }
  const double took = 1 + request.work * (0.5 + Draw());
  At(took,
     [this, id = action.request, attempt, server = action.server, took] { End(id, attempt, server, took); });
}

void PlayedDay::Do(const Reject& action) {
  Note("refuse " + std::to_string(action.request) + " for " + Figure(action.retry_after.count()));
  const auto found = requests_.find(action.request);
  if (found == requests_.end()) return;
  if (found->second.settings_number == settings_number_)
    seen_.longest_advice = std::max(seen_.longest_advice, action.retry_after);
  requests_.erase(found);
}

void PlayedDay::Do(const FailRequest& action) {
  Note("fail " + std::to_string(action.request));
  requests_.erase(action.request);
}

void PlayedDay::Do(const SetTimer& action) {
  Note("timer at " + Ms(action.at));
  At(std::max(0.0, action.at.time_since_epoch().count() - now_ms_),
     [this, token = action.token] { Feed(TimerFired{token}); });
}

void PlayedDay::Do(const Subscribe&) {
  Note("subscribe");
  At(5, [this] { Feed(ListUpdate{ListKind::kDelta, {}}); });
}

void PlayedDay::Do(const CloseIdle& action) { Note("close idle " + std::to_string(action.server)); }

void PlayedDay::Do(const Log& action) { Note("log " + action.text); }

void PlayedDay::Do(const Ejected& action) {
  Note("ejected " + std::to_string(action.server) + " until " + Ms(action.until));
}

void PlayedDay::Note(const std::string& line) { actions_ += Figure(now_ms_) + " " + line + "\n"; }

}  // namespace load_balancer::testing
