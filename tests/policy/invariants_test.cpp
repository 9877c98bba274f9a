// SPDX-License-Identifier: Apache-2.0
//
// Tests the decision module with random but valid events from fixed seeds. The actions are checked against
// the four operating rules by an implementation that shares no code with the module.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "harness.h"

namespace load_balancer {
namespace {

using testing::At;
using testing::DefaultSettings;
using testing::Entry;

struct AttemptRecord {
  ServerId server;
  double sent_at;
  double ends_at;
  Outcome outcome;
  bool is_outstanding = true;
};
struct RequestRecord {
  int request_class;
  double due;
  std::vector<AttemptRecord> attempts;
  int final_responses = 0;
};

class RandomEvents {
 public:
  RandomEvents(Settings settings, std::uint64_t seed)
      : settings_(settings), rng_(seed), balancer_(settings, seed) {
    for (ServerId id = 1; id <= 8; ++id) servers_[id] = Entry(id, id % 2, id % 3);
  }

  void Run() {
    SendList(ListKind::kCached, All());
    for (now_ = 1000; now_ < 9000; now_ += 1 + RandomBelow(8)) {
      if (now_ > 7000) {
        Step(false);
      } else {
        Step(true);
      }
    }
    now_ += 5000;
    Step(false);
    for (const auto& [id, r] : requests_) EXPECT_EQ(r.final_responses, 1) << "request " << id;
  }
  std::size_t attempts = 0;

 private:
  int RandomBelow(int n) { return static_cast<int>(rng_() % static_cast<unsigned>(n)); }

  std::vector<ServerEntry> All() const {
    std::vector<ServerEntry> all;
    for (const auto& [id, e] : servers_) all.push_back(e);
    return all;
  }

  void SendList(ListKind kind, std::vector<ServerEntry> entries) {
    Handle(ListUpdate{kind, std::move(entries)});
  }

  void Step(bool load) {
    // Handles timers, ends of attempts, arrivals and list changes in random order.
    std::vector<int> order = {0, 1, 2, 3};
    std::shuffle(order.begin(), order.end(), rng_);
    for (int task : order) {
      while (task == 0 && !timers_.empty() && *timers_.begin() <= now_) {
        timers_.erase(timers_.begin());
        Handle(TimerFired{});
      }
      if (task == 1) EndAttempts();
      if (task == 2 && load) {
        for (int k = RandomBelow(4); k > 0; --k) Arrive();
      }
      if (task == 3 && RandomBelow(20) == 0) ChangeList();
    }
    for (auto& [id, r] : requests_) {
      if (r.final_responses == 0 && r.due + 20 < now_)
        ADD_FAILURE() << "request " << id << " due " << r.due << " has no final response at " << now_;
    }
  }

  void Arrive() {
    RequestReceived s;
    s.request = ++last_id_;
    s.request_class = RandomBelow(3);
    s.due = At(now_ + 30 + RandomBelow(700));
    s.has_hint = RandomBelow(3) > 0;
    s.work_ms = 1 + RandomBelow(60);
    requests_[s.request] = RequestRecord{s.request_class, s.due.time_since_epoch().count(), {}};
    Handle(s);
  }

  void ChangeList() {
    const ServerId id = 1 + static_cast<ServerId>(RandomBelow(8));
    ServerEntry& e = servers_[id];
    e.state = static_cast<ServerState>(RandomBelow(3));
    if (e.state == ServerState::kReady && RandomBelow(2)) e.up_since = At(now_);
    SendList(RandomBelow(5) ? ListKind::kDelta : ListKind::kFull,
             RandomBelow(5) ? std::vector<ServerEntry>{e} : All());
  }

  void EndAttempts() {
    std::vector<std::pair<RequestId, int>> ended;
    for (auto& [id, r] : requests_) {
      for (std::size_t i = 0; i < r.attempts.size(); ++i) {
        if (r.attempts[i].is_outstanding && r.attempts[i].ends_at <= now_)
          ended.emplace_back(id, static_cast<int>(i));
      }
    }
    std::shuffle(ended.begin(), ended.end(), rng_);
    for (const auto& [id, i] : ended) {
      RequestRecord& r = requests_[id];
      AttemptRecord& t = r.attempts[static_cast<std::size_t>(i)];
      t.is_outstanding = false;
      if (t.outcome == Outcome::kOk && r.final_responses == 0) r.final_responses = 1;
      AttemptEnded e;
      e.request = id;
      e.attempt = i;
      e.server = t.server;
      e.outcome = t.outcome;
      e.is_request_finished = r.final_responses > 0;
      e.took = Duration(now_ - t.sent_at);
      Handle(e);
    }
  }

  void Handle(const Event& event) {
    // A dispatch is checked against the last list that the balancer received.
    if (const auto* list = std::get_if<ListUpdate>(&event)) {
      if (list->kind != ListKind::kDelta) listed_.clear();
      for (const ServerEntry& e : list->entries) listed_[e.server] = e;
    }
    std::vector<Action> actions;
    balancer_.Handle(At(now_), event, &actions);
    for (const Action& a : actions) CheckAction(a);
  }

  static bool DidNotRun(const AttemptRecord& t) {
    return !t.is_outstanding && (t.outcome == Outcome::kOverloaded || t.outcome == Outcome::kConnectFailed ||
                                 t.outcome == Outcome::kNotSent);
  }

  void CheckAction(const Action& action) {
    if (const auto* d = std::get_if<Dispatch>(&action)) {
      ++attempts;
      RequestRecord& r = requests_.at(d->request);
      EXPECT_EQ(r.final_responses, 0) << "sent after its final response";
      EXPECT_LT(static_cast<int>(r.attempts.size()), settings_.max_attempts);
      EXPECT_TRUE(listed_.count(d->server) && listed_[d->server].state == ServerState::kReady)
          << "sent to a server that is not listed as ready";
      const Idempotency idempotency =
          settings_.classes[static_cast<std::size_t>(r.request_class)].idempotency;
      for (const AttemptRecord& t : r.attempts) {
        EXPECT_TRUE(!t.is_outstanding) << "two attempts at the same time";
        if (DidNotRun(t)) continue;
        EXPECT_NE(idempotency, Idempotency::kNotIdempotent)
            << "a request that is not idempotent may have run twice";
        if (idempotency == Idempotency::kIdempotencyKey) {
          EXPECT_EQ(servers_[t.server].cell, servers_[d->server].cell);
          EXPECT_LE(now_ - t.sent_at,
                    settings_.classes[static_cast<std::size_t>(r.request_class)].idempotency_window.count());
        }
      }
      AttemptRecord t{d->server, now_, now_ + RandomBelow(400), static_cast<Outcome>(RandomBelow(9))};
      const double timeout = d->timeout.count() > 0 ? std::min(now_ + d->timeout.count(), r.due) : r.due;
      if (t.ends_at > timeout) t.ends_at = timeout, t.outcome = Outcome::kTimeout;
      r.attempts.push_back(t);
    } else if (const auto* rejection = std::get_if<Reject>(&action)) {
      RequestRecord& r = requests_.at(rejection->request);
      EXPECT_EQ(++r.final_responses, 1);
      for (const AttemptRecord& t : r.attempts) {
        EXPECT_TRUE(DidNotRun(t) ||
                    settings_.classes[static_cast<std::size_t>(r.request_class)].idempotency ==
                        Idempotency::kIdempotent)
            << "rejected though it may have run";
      }
    } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
      EXPECT_EQ(++requests_.at(fail->request).final_responses, 1);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      timers_.insert(std::max(now_ + 1, timer->at.time_since_epoch().count()));
    }
  }

  Settings settings_;
  std::mt19937_64 rng_;
  Balancer balancer_;
  double now_ = 500;
  std::multiset<double> timers_;
  RequestId last_id_ = 0;
  std::map<ServerId, ServerEntry> servers_, listed_;
  std::map<RequestId, RequestRecord> requests_;
};

// Checks operating rule four (slow start) for many proxies: the work that all of them send to a server in
// slow start within the overload window must stay below the overload multiple of the server's present
// capacity. The fleet has a load of 0.7. Servers restart at random and take as long as the settings allow to
// reach their full capacity.
TEST(Invariants, ManyProxiesDoNotOverloadServersInSlowStart) {
  constexpr int kProxies = 60, kServers = 12;
  constexpr double kWork = 10, kEveryMs = 200, kWindow = 1000;
  // Work per ms that a warm server can do. The traffic uses 0.7 of it.
  const double capacity = kProxies * kWork / kEveryMs / kServers / 0.7;
  std::size_t sent_in_slow_start = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 rng(seed);
    std::vector<Balancer> proxies;
    Settings settings = DefaultSettings();
    settings.balancer_count = kProxies;
    settings.overload_window = Duration(kWindow);
    for (int index = 0; index < kProxies; ++index) {
      settings.balancer_index = index;
      proxies.emplace_back(settings, rng());
    }
    std::vector<ServerEntry> list;
    for (ServerId id = 1; id <= kServers; ++id) list.push_back(Entry(id));
    std::vector<Action> actions;
    for (Balancer& b : proxies) b.Handle(At(1000), ListUpdate{ListKind::kCached, list}, &actions);
    std::map<ServerId, std::deque<double>> sent;
    RequestId id = 0;
    double next_restart = 15000;
    for (double now = 1001; now < 45000; now += kEveryMs / kProxies) {
      if (now >= next_restart) {
        next_restart += 2500;
        ServerEntry& e = list[rng() % kServers];
        e.up_since = At(now);
        sent[e.server].clear();
        for (Balancer& b : proxies) b.Handle(At(now), ListUpdate{ListKind::kDelta, {e}}, &actions);
      }
      Balancer& proxy = proxies[rng() % kProxies];
      RequestReceived s;
      s.request = ++id;
      s.due = At(now + 900);
      s.has_hint = true;
      s.work_ms = kWork;
      actions.clear();
      proxy.Handle(At(now), s, &actions);
      const std::vector<Action> first = actions;
      for (const Action& a : first) {
        const auto* d = std::get_if<Dispatch>(&a);
        if (!d) continue;
        const ServerEntry& e = list[d->server - 1];
        const double age = now - e.up_since.time_since_epoch().count();
        auto& recent = sent[d->server];
        recent.push_back(now);
        while (now - recent.front() > kWindow) recent.pop_front();
        if (e.up_since != TimePoint{} && age < settings.slow_start_window.count()) {
          ++sent_in_slow_start;
          const double share = settings.slow_start_min_share +
                               (1 - settings.slow_start_min_share) * age / settings.slow_start_window.count();
          EXPECT_LE(static_cast<double>(recent.size()) * kWork,
                    settings.overload_multiple * share * capacity * kWindow)
              << "server " << d->server << " " << age << " ms after its start";
        }
        AttemptEnded end;
        end.request = d->request;
        end.server = d->server;
        end.is_request_finished = true;
        end.outcome = Outcome::kOk;
        end.took = Duration(15);
        proxy.Handle(At(now), end, &actions);
      }
    }
  }
  EXPECT_GT(sent_in_slow_start, 1000u) << "servers in slow start must be used";
}

// Simulates three proxies and servers of different speeds, each with a queue in front of its cores, and
// requests of two sizes. The slowest server restarts, and soon after that all requests at two other servers
// fail. Operating rule four (slow start) is checked in requests of mean work: if N may be sent, random
// fluctuation may add 3 * sqrt(N) + 3.
struct SlowColdServer {
  static constexpr double kLoad = 0.7, kWindow = 1500, kRestart = 20000, kFailure = 22000;
  static constexpr double kSmall = 20, kLarge = 450, kLargeShare = 0.2;
  static constexpr double kMean = kLargeShare * kLarge + (1 - kLargeShare) * kSmall;
  static constexpr ServerId kServers = 10, kColdServer = kServers;
  static constexpr std::size_t kCores = 5;
  struct Response {
    std::size_t proxy;
    RequestId id;
    int attempt;
    ServerId server;
    double sent_at;
  };

  SlowColdServer(std::uint64_t seed, double slowest) : rng(seed), cold_speed(slowest) {
    Settings settings = DefaultSettings();
    settings.balancer_count = 3;
    settings.classes = {testing::Class(Idempotency::kIdempotent, 600)};
    settings.overload_window = Duration(kWindow);
    for (settings.balancer_index = 0; settings.balancer_index < settings.balancer_count;
         ++settings.balancer_index)
      rigs.emplace_back(settings, rng());
  }
  double RandomReal() { return static_cast<double>(rng() >> 11) * 0x1.0p-53; }
  double Speed(ServerId s) const { return s == kColdServer ? cold_speed : s <= 2 ? 1.3 : 1; }
  double CapacityShare() const {
    return now < kRestart ? 1 : std::min(1.0, 0.25 + 0.75 * (now - kRestart) / 10000);
  }
  bool Fails(ServerId s) const { return now >= kFailure && s <= 2; }

  void HandleDispatches(std::size_t proxy) {
    for (const Action& a : std::vector<Action>(rigs[proxy].actions)) {
      const auto* d = std::get_if<Dispatch>(&a);
      if (!d) continue;
      auto& cores = core_free_at[d->server - 1];
      auto& core = *std::min_element(cores.begin(), cores.end());
      const double speed = Speed(d->server) * (d->server == kColdServer ? CapacityShare() : 1);
      if (!Fails(d->server)) core = std::max(core, now) + work.at(d->request) / speed;
      responses.emplace(Fails(d->server) ? now : core,
                        Response{proxy, d->request, attempts[d->request]++, d->server, now});
      if (d->server == kColdServer && now >= kRestart) sent_to_cold_at.push_back(now);
    }
  }

  void SendRequest() {
    const auto proxy = static_cast<std::size_t>(rng() % rigs.size());
    work[++last_id] = RandomReal() < kLargeShare ? kLarge : kSmall;
    rigs[proxy].Send(last_id, 0, work[last_id]);
    HandleDispatches(proxy);
  }

  // Returns the largest ratio of the requests sent to the cold server within a window to those permitted.
  double Run() {
    std::vector<ServerEntry> list;
    double speed = 0, requests_due = 0, max_ratio = 0;
    for (ServerId id = 1; id <= kServers; ++id) list.push_back(Entry(id)), speed += Speed(id);
    for (testing::Rig& rig : rigs) rig.now = now, rig.List(list, ListKind::kCached);
    for (; now < 30000; now += 5) {
      for (testing::Rig& rig : rigs) {
        rig.now = now;
        if (now == kRestart) rig.List({Entry(kColdServer, 0, 0, ServerState::kReady, now)}, ListKind::kDelta);
      }
      while (!responses.empty() && responses.begin()->first <= now) {
        const Response a = responses.begin()->second;
        responses.erase(responses.begin());
        rigs[a.proxy].EndAttempt(a.id, a.attempt, a.server, Fails(a.server) ? Outcome::kError : Outcome::kOk,
                                 now - a.sent_at);
        HandleDispatches(a.proxy);
      }
      for (requests_due += 5 * kLoad * speed * kCores / kMean; requests_due >= 1; --requests_due)
        SendRequest();
      const auto sent = std::count_if(sent_to_cold_at.begin(), sent_to_cold_at.end(),
                                      [this](double at) { return now - at <= kWindow; });
      const double n = 3 * cold_speed * kCores * CapacityShare() * kWindow / kMean;
      max_ratio = std::max(max_ratio, static_cast<double>(sent) / (n + 3 * std::sqrt(n) + 3));
    }
    return max_ratio;
  }

  std::mt19937_64 rng;
  double cold_speed;
  std::vector<testing::Rig> rigs;
  std::vector<std::vector<double>> core_free_at{kServers, std::vector<double>(kCores)};
  std::multimap<double, Response> responses;
  std::map<RequestId, double> work;
  std::map<RequestId, int> attempts;
  std::vector<double> sent_to_cold_at;  // times of the sends after the restart
  RequestId last_id = 0;
  double now = 1000;
};

TEST(Invariants, ASlowServerInSlowStartIsNotOverloadedWhileOthersFail) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const double slowest : {0.45, 0.2}) {
      SlowColdServer world(seed, slowest);
      EXPECT_LE(world.Run(), 1) << "seed " << seed << ", speed " << slowest;
      EXPECT_GT(world.sent_to_cold_at.size(), 50u) << "the server in slow start must be used";
    }
  }
}

TEST(Invariants, HoldForRandomEvents) {
  std::size_t attempts = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    Settings s = DefaultSettings();
    s.max_attempts = 1 + static_cast<int>(seed % 5);
    s.tenants = {{10}, {10}};
    s.over_quota_priority_share = 0.2;
    RandomEvents events(s, seed);
    events.Run();
    attempts += events.attempts;
  }
  EXPECT_GT(attempts, 2000u) << "the test must make enough attempts to be meaningful";
}

}  // namespace
}  // namespace load_balancer
