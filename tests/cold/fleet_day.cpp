// SPDX-License-Identifier: Apache-2.0
#include "fleet_day.h"

#include <cmath>
#include <utility>
#include <variant>

namespace load_balancer::cold {
namespace {

constexpr double kTrafficFromMs = 1000;
constexpr double kBurst = 1.5;
constexpr double kStartNoticeLow = 200, kStartNoticeHigh = 2200;  // until discovery has a start
constexpr double kCrashNoticeLow = 900, kCrashNoticeHigh = 3800;
constexpr double kTellingMs = 1200;  // until the last process is told what discovery has
constexpr double kNetworkLow = 0.1, kNetworkHigh = 3;
constexpr double kLongestDialMs = 1000;
constexpr double kToldShare = 2.0 / 3;

TimePoint Point(double ms) { return TimePoint(Duration(ms)); }
double Ms(TimePoint point) { return point.time_since_epoch().count(); }

}  // namespace

FleetDay::FleetDay(const Plan& plan, std::uint64_t seed) : plan_(plan), draw_(seed) {
  const double window = plan_.settings.overload_window.count();
  for (std::size_t s = 0; s < plan_.servers.size(); ++s) {
    Server server(ColdCount(window, plan_.mean_work));
    server.entry.server = static_cast<ServerId>(draw_.Seed() >> 32);
    server.entry.state = s < plan_.first_servers ? ServerState::kReady : ServerState::kGone;
    server.up = s < plan_.first_servers;
    servers_.push_back(std::move(server));
  }
  for (std::size_t p = 0; p < plan_.processes; ++p) {
    processes_.emplace_back();
    processes_[p].version.assign(servers_.size(), 0);
    for (const Server& server : servers_) processes_[p].listed.push_back(server.entry);
    StartProcess(p);
  }
  for (const Trouble& trouble : plan_.troubles)
    events_.emplace(trouble.at, [this, trouble] { Begin(trouble); });
  events_.emplace(kTrafficFromMs, [this] { NextArrival(); });
}

Verdict FleetDay::Play() {
  const double end = plan_.length + 5000;  // until all is answered
  while (!events_.empty() && events_.begin()->first <= end) {
    const auto next = events_.extract(events_.begin());
    now_ = next.key();
    next.mapped()();
  }
  return verdict_;
}

// ---- troubles -------------------------------------------------------------------------------------------

void FleetDay::Begin(const Trouble& trouble) {
  const std::size_t i = trouble.index;
  switch (trouble.kind) {
    case Trouble::Kind::kServerStarts:
      return StartServer(i);
    case Trouble::Kind::kServerCrashes:
      StopServer(i);
      Announce(i, ServerState::kGone, draw_.Between(kCrashNoticeLow, kCrashNoticeHigh));
      return After(trouble.length, [this, i] { StartServer(i); });
    case Trouble::Kind::kServerFails:
      servers_[i].failing_until = now_ + trouble.length;
      servers_[i].failing_share = trouble.share;
      return;
    case Trouble::Kind::kProcessRestarts:
      StopProcess(i);
      return After(trouble.length, [this, i] { StartProcess(i); });
  }
}

void FleetDay::Announce(std::size_t server, ServerState state, double notice) {
  Server& s = servers_[server];
  const int version = ++s.version;
  ServerEntry entry = s.entry;
  entry.state = state;
  if (state == ServerState::kReady) entry.up_since = Point(now_);
  After(notice, [this, server, entry, version] {
    if (servers_[server].version != version) return;  // discovery has later news already
    servers_[server].entry = entry;
    for (std::size_t p = 0; p < processes_.size(); ++p)
      After(draw_.Between(0, kTellingMs), [this, p, entry, version] { Tell(p, entry, version); });
  });
}

void FleetDay::Tell(std::size_t process, const ServerEntry& entry, int version) {
  std::size_t server = 0;
  while (servers_[server].entry.server != entry.server) ++server;
  Process& p = processes_[process];
  if (version <= p.version[server]) return;
  p.version[server] = version;
  p.listed[server] = entry;
  Feed(process, ListUpdate{ListKind::kDelta, {entry}});
}

// It starts from nothing, with the list as this process last had it.
void FleetDay::StartProcess(std::size_t process) {
  Process& p = processes_[process];
  Settings settings = plan_.settings;
  settings.balancer_index = static_cast<int>(process);
  p.balancer = std::make_unique<Balancer>(settings, draw_.Seed());
  ListUpdate list{ListKind::kCached, {}};
  for (const ServerEntry& entry : p.listed)
    if (entry.state != ServerState::kGone) list.entries.push_back(entry);
  Feed(process, list);
}

void FleetDay::StopProcess(std::size_t process) {
  Process& p = processes_[process];
  p.balancer.reset();
  ++p.life;
  for (const auto& [id, open] : std::exchange(p.open, {})) {
    const Call& call = calls_[open.call];
    const bool safe = plan_.settings.classes[call.request_class].idempotency == Idempotency::kIdempotent;
    if (safe || open.attempts == 0) TryAgain(open.call, 0);
  }
}

void FleetDay::StartServer(std::size_t server) {
  Server& s = servers_[server];
  if (s.fallen) return;
  s.up = true, s.up_since = now_;
  s.count.Clear();
  Announce(server, ServerState::kReady, draw_.Between(kStartNoticeLow, kStartNoticeHigh));
}

void FleetDay::StopServer(std::size_t server) {
  Server& s = servers_[server];
  s.up = false, s.busy = 0, ++s.life;
  for (const Job& job : std::exchange(s.waiting, {}))
    After(0, [this, job] { End(job.attempt, Outcome::kReset); });
  for (const AttemptId& id : std::exchange(s.running, {})) After(0, [this, id] { End(id, Outcome::kReset); });
}

// ---- clients --------------------------------------------------------------------------------------------

void FleetDay::NextArrival() {
  if (now_ > plan_.length) return;
  const bool burst = now_ >= plan_.burst_from && now_ < plan_.burst_until;
  After(draw_.Exponential(1 / (plan_.requests_per_ms * (burst ? kBurst : 1))), [this] { NextArrival(); });
  Call call;
  call.request_class = static_cast<int>(draw_.Below(plan_.settings.classes.size()));
  call.work = draw_.Lognormal(plan_.mean_work, plan_.variation);
  call.asked_at = now_;
  verdict_.asked += plan_.settings.classes[call.request_class].priority_weight;
  calls_.push_back(call);
  Try(calls_.size() - 1);
}

void FleetDay::Try(std::size_t number) {
  Call& call = calls_[number];
  const ClassSettings& rules = plan_.settings.classes[call.request_class];
  const double deadline = call.asked_at + rules.deadline.count();
  const bool last = ++call.tries > plan_.client_retries;
  const std::size_t process = draw_.ByWeight(now_ < plan_.shift_at ? plan_.weights : plan_.later_weights);
  if (!processes_[process].balancer) return TryAgain(number, 0);
  const RequestId request = ++last_request_;
  Open open;
  open.call = number;
  open.due = last ? deadline : std::min(deadline, now_ + plan_.try_share * rules.deadline.count());
  processes_[process].open[request] = open;
  After(open.due - now_,
        [this, process, life = processes_[process].life, request] { Expire(process, life, request); });
  RequestReceived received;
  received.request = request;
  received.due = Point(open.due);
  received.request_class = call.request_class;
  received.has_hint = plan_.hinted;
  received.work_ms = call.work;
  Feed(process, received);
}

void FleetDay::TryAgain(std::size_t number, double wait) {
  const Call& call = calls_[number];
  if (call.tries > plan_.client_retries) return;
  const double backoff = plan_.backoff * std::pow(2, call.tries - 1) * draw_.Between(0.5, 1.5);
  const double at = now_ + (wait > 0 && draw_.Chance(plan_.honour) ? wait : backoff);
  if (at >= call.asked_at + plan_.settings.classes[call.request_class].deadline.count()) return;
  After(at - now_, [this, number] { Try(number); });
}

void FleetDay::Answered(std::size_t number) {
  const Call& call = calls_[number];
  const ClassSettings& rules = plan_.settings.classes[call.request_class];
  const double took = now_ - call.asked_at;
  verdict_.served +=
      rules.priority_weight * (took <= rules.latency_objective.count() ? 1 : rules.late_priority_share);
}

// The client has waited as long as it will.
void FleetDay::Expire(std::size_t process, int life, RequestId request) {
  Process& p = processes_[process];
  const auto found = p.open.find(request);
  if (p.life != life || found == p.open.end()) return;
  const Open open = found->second;
  const Call& call = calls_[open.call];
  const bool safe = plan_.settings.classes[call.request_class].idempotency == Idempotency::kIdempotent;
  if (safe) TryAgain(open.call, 0);
  if (open.out) return End({process, life, request, open.attempts - 1}, Outcome::kTimeout);
  p.open.erase(found);
  Feed(process, ClientGone{request});
}

// ---- processes ------------------------------------------------------------------------------------------

void FleetDay::Feed(std::size_t process, const Event& event) {
  if (!processes_[process].balancer) return;
  std::vector<Action> actions;
  processes_[process].balancer->Handle(Point(now_), event, &actions);
  for (const Action& action : actions)
    std::visit([this, process](const auto& one) { Do(process, one); }, action);
}

void FleetDay::Do(std::size_t process, const Dispatch& action) {
  Process& p = processes_[process];
  Open& open = p.open.at(action.request);
  std::size_t server = 0;
  while (servers_[server].entry.server != action.server) ++server;
  const AttemptId attempt{process, p.life, action.request, open.attempts++};
  open.out = true, open.sent_at = now_, open.server = server;
  const double dial = draw_.Chance(plan_.slow_dials) ? draw_.Between(0, kLongestDialMs) : 0;
  After(draw_.Between(kNetworkLow, kNetworkHigh) + dial,
        [this, attempt, server] { Arrive(attempt, server); });
  if (action.timeout.count() > 0)
    After(action.timeout.count(), [this, attempt] { End(attempt, Outcome::kTimeout); });
}

void FleetDay::Do(std::size_t process, const Reject& action) {
  auto& open = processes_[process].open;
  const auto found = open.find(action.request);
  if (found == open.end()) return;
  const std::size_t call = found->second.call;
  open.erase(found);
  TryAgain(call, action.retry_after.count());
}

void FleetDay::Do(std::size_t process, const FailRequest& action) {
  auto& open = processes_[process].open;
  const auto found = open.find(action.request);
  if (found == open.end()) return;
  const std::size_t call = found->second.call;
  open.erase(found);
  const Idempotency idempotency = plan_.settings.classes[calls_[call].request_class].idempotency;
  if (idempotency == Idempotency::kIdempotent) TryAgain(call, 0);
}

void FleetDay::Do(std::size_t process, const SetTimer& action) {
  After(std::max(0.0, Ms(action.at) - now_), [this, process, life = processes_[process].life] {
    if (processes_[process].life == life) Feed(process, TimerFired{});
  });
}

// ---- servers --------------------------------------------------------------------------------------------

FleetDay::Open* FleetDay::Find(const AttemptId& attempt) {
  Process& p = processes_[attempt.process];
  const auto found = p.open.find(attempt.request);
  if (p.life != attempt.life || found == p.open.end()) return nullptr;
  Open& open = found->second;
  return open.out && open.attempts == attempt.number + 1 ? &open : nullptr;
}

double FleetDay::Share(std::size_t server) const {
  const ServerPlan& plan = plan_.servers[server];
  const double age = std::min(1.0, (now_ - servers_[server].up_since) / plan.slow_start_window);
  return plan.slow_start_min_share + (1 - plan.slow_start_min_share) * age;
}

void FleetDay::Arrive(const AttemptId& attempt, std::size_t server) {
  const Open* open = Find(attempt);
  if (!open) return;
  Server& s = servers_[server];
  if (!s.up) return End(attempt, Outcome::kConnectFailed);
  const double work = calls_[open->call].work;
  Count(attempt, server, work);
  if (!s.up) return End(attempt, Outcome::kReset);
  if (now_ < s.failing_until && draw_.Chance(s.failing_share)) return End(attempt, Outcome::kError);
  s.waiting.push_back({attempt, work});
  Work(server);
}

void FleetDay::Count(const AttemptId& attempt, std::size_t server, double work) {
  const double share = Share(server);
  if (share >= 1) return;
  Server& s = servers_[server];
  ++verdict_.to_cold;
  const ServerPlan& plan = plan_.servers[server];
  const Settings& settings = plan_.settings;
  const double allowed =
      settings.overload_multiple * share * plan.cores * plan.speed * settings.overload_window.count();
  const bool told = Ms(processes_[attempt.process].listed[server].up_since) == s.up_since;
  const Ratios ratios = s.count.Add({now_, work, told}, allowed);
  const double ratio = plan_.hinted ? std::max(ratios.by_number, ratios.by_work) : ratios.by_number;
  if (ratio > verdict_.worst) {
    verdict_.worst = ratio;
    verdict_.where = "server " + std::to_string(server) + " of speed " + std::to_string(plan.speed) + ", " +
                     std::to_string(now_ - s.up_since) + " ms after its start at " +
                     std::to_string(s.up_since) + ": " + std::to_string(s.count.size()) + " requests, " +
                     std::to_string(s.count.told_share()) + " of them told";
  }
  if (ratio <= 1) return;
  if (verdict_.falls++ == 0) verdict_.broken = s.count.told_share() > kToldShare;
  s.fallen = true;
  StopServer(server);
  Announce(server, ServerState::kGone, draw_.Between(kCrashNoticeLow, kCrashNoticeHigh));
}

void FleetDay::Work(std::size_t server) {
  Server& s = servers_[server];
  const ServerPlan& plan = plan_.servers[server];
  while (!s.waiting.empty() && s.busy < plan.cores) {
    const Job job = s.waiting.front();
    s.waiting.pop_front();
    if (!Find(job.attempt)) continue;  // nobody waits for it any more
    ++s.busy;
    s.running.push_back(job.attempt);
    After(job.work / (plan.speed * Share(server)), [this, server, life = s.life, id = job.attempt] {
      Server& at = servers_[server];
      if (at.life != life) return;
      --at.busy;
      std::erase_if(at.running, [&id](const AttemptId& other) {
        return other.process == id.process && other.life == id.life && other.request == id.request &&
               other.number == id.number;
      });
      End(id, Outcome::kOk);
      Work(server);
    });
  }
}

void FleetDay::End(const AttemptId& attempt, Outcome outcome) {
  Open* open = Find(attempt);
  if (!open) return;
  open->out = false;
  AttemptEnded ended;
  ended.request = attempt.request;
  ended.attempt = attempt.number;
  ended.server = servers_[open->server].entry.server;
  ended.outcome = outcome;
  ended.took = Duration(now_ - open->sent_at);
  ended.is_request_finished = outcome == Outcome::kOk || now_ >= open->due;
  if (outcome == Outcome::kOk) Answered(open->call);
  if (ended.is_request_finished) processes_[attempt.process].open.erase(attempt.request);
  Feed(attempt.process, ended);
}

}  // namespace load_balancer::cold
