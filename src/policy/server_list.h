// SPDX-License-Identifier: Apache-2.0
// The servers that discovery names and operators leave in, those of them that this proxy picks from, and when
// to ask discovery again.
#ifndef LOAD_BALANCER_SRC_POLICY_SERVER_LIST_H_
#define LOAD_BALANCER_SRC_POLICY_SERVER_LIST_H_

#include <set>
#include <unordered_map>

#include "policy/request.h"

namespace load_balancer {

constexpr int kLeastSubset = 8;         // half may be ejected, and the rest is still a choice
constexpr double kWorthStaying = 0.02;  // price of a crossing; below, one even choice is worth more
constexpr int kFewest = 3;              // where hundreds of proxies share few servers
constexpr double kMostSharers = 64;     // proxies that hold a connection to one server
constexpr double kGoldenRatio = 0.6180339887498949;
constexpr Duration kForgetAfter{600000};  // a server gone for this long loses its state

// When to ask discovery, where it must be asked: a change is in force 6 s later, and an answer may take 2 s.
constexpr Duration kNextCall{3500};   // at most, after a call that fails or is not answered began
constexpr Duration kAfterWatch{250};  // at most, after one that fell silent was given up
struct ListCalls {
  Context& x;
  TimePoint at = kNever;
  Duration backoff{0};

  void Follow(ListKind kind) {
    if (!x.settings.must_poll_for_list) return;
    if (kind == ListKind::kFailed) return BackOff();
    backoff = Duration(0);
    at = kind == ListKind::kCached ? x.now : kNever;  // a new life: nothing is subscribed yet
  }

  // With jitter, from a twentieth to a quarter of the time within which the rules want a call.
  void BackOff() {
    const Duration within = x.settings.max_poll_interval, left = at == kNever ? kAfterWatch : at - x.now;
    backoff = std::clamp(backoff * 2, within / 20, within / 4);
    at = x.now + std::min(backoff, left) * (0.5 + 0.5 * x.random.Unit());
  }

  void AskIfDue() {
    if (x.now < at) return;
    x.Do(Subscribe{});
    at = x.now + std::min(kNextCall, x.settings.max_poll_interval * 0.9);
  }
};

struct ServerList {
  Context& x;
  std::vector<Server> all{};
  OutlierDetector detector{};
  double listed = 0, in_service = 0;  // servers ready and of these not ejected; a cold one as its share
  bool some_cold = false;
  std::vector<ServerIndex> ring{}, subset{};  // servers ready, by their place; those picked from
  std::unordered_map<ServerId, ServerIndex> index{};
  std::set<ServerId> detached{};  // by the operators
  std::size_t judged = 0;         // servers that this proxy's traffic can judge
  TimePoint next_return = kNever;

  ServerIndex IndexOf(const Server& s) const { return static_cast<ServerIndex>(&s - all.data()); }
  Server* Find(ServerId id) {
    const auto found = index.find(id);
    return found == index.end() ? nullptr : &all[found->second];
  }

  // The share of its capacity that a server has at least.
  double WarmShare(const Server& s) const {
    const TimePoint up_since = std::max(s.entry.up_since, s.attached_at);
    if (up_since.time_since_epoch().count() <= 0) return 1;
    const double age = (x.now - up_since).count(), slow_start_window = x.settings.slow_start_window.count();
    if (slow_start_window <= 0 || age >= slow_start_window) return 1;
    return x.settings.slow_start_min_share +
           (1 - x.settings.slow_start_min_share) * std::max(0.0, age) / slow_start_window;
  }

  void Update(const ListUpdate& e) {
    if (e.kind != ListKind::kDelta) {
      std::set<ServerId> named;
      for (const ServerEntry& entry : e.entries) named.insert(entry.server);
      for (Server& s : all) {
        if (!named.contains(s.entry.server)) Change(s, ServerState::kGone, s.detached);
      }
    }
    for (const ServerEntry& entry : e.entries) {
      const bool added = index.count(entry.server) == 0;
      if (added) index[entry.server] = NewServer();
      Server& s = all[index[entry.server]];
      const bool started = added || entry.up_since != s.entry.up_since;
      Change(s, entry.state, detached.contains(entry.server));
      s.entry = entry;
      if (started && WarmShare(s) < 1) BeginCold(s);
    }
    Changed();
  }

  // By operators, also before a list names it. One that is put back was restarted: what was counted of it
  // before says nothing, and it is cold from now on.
  bool Detach(ServerId id) {
    detached.insert(id);
    Server* s = Find(id);
    if (s) Change(*s, s->entry.state, true), Changed();
    return s;
  }
  bool Attach(ServerId id) {
    if (detached.erase(id) == 0) return false;
    Server* s = Find(id);
    if (!s) return false;
    s->health = Host();
    s->slowness = 1, s->attached_at = x.now;
    Change(*s, s->entry.state, false);
    BeginCold(*s);
    Changed();
    return true;
  }

  void Changed() {
    ring.clear();
    for (const Server& s : all) ring.push_back(IndexOf(s));
    std::sort(ring.begin(), ring.end(), [this](ServerIndex a, ServerIndex b) {
      return std::pair(MixBits(all[a].entry.server), a) < std::pair(MixBits(all[b].entry.server), b);
    });
    ServiceChanged();
  }

  // After a change of what is listed or in service.
  void ServiceChanged() {
    CountCapacity();
    BuildSubset();
  }

  void CountCapacity() {
    listed = in_service = 0, some_cold = false;
    for (const Server& s : all) {
      if (!s.Usable()) continue;
      const double share = WarmShare(s);
      some_cold |= share < 1;
      listed += share;
      in_service += s.health.ejected ? 0 : share;
    }
  }

  // After the detector has taken it out.
  void LeaveService(const Server& s) {
    next_return = std::min(next_return, s.health.return_at);
    ServiceChanged();
  }

  // True if one came back.
  bool ReturnDue() {
    bool returned = false;
    next_return = kNever;
    for (Server& s : all) {
      if (detector.ReturnIfDue(s.health, x.now)) {
        returned = true, detector.ejected -= s.Usable();
        x.Say(Context::kHealth, "server ", s.entry.server, " returns to service");
      } else if (s.health.ejected) {
        next_return = std::min(next_return, s.health.return_at);
      }
    }
    ServiceChanged();
    return returned;
  }

  // For the rate at which this proxy sends.
  void Resize(double per_s) {
    const double volume_s = kRequestVolume * static_cast<double>(subset.size()) / std::max(per_s, 1e-9);
    detector.interval = std::clamp(Duration(volume_s * 1000), kInterval, kLongestInterval);
    detector.thin = detector.interval > kInterval;
    const auto judges = static_cast<std::size_t>(per_s * kInterval.count() / 1000 / kRequestVolume);
    // Not for every wobble of the rate: each new server costs a connection.
    if (judges <= judged && judges * 2 >= judged) return;
    judged = judges;
    BuildSubset();
  }

 private:
  void BeginCold(Server& s) {
    s.sent.clear();
    s.turn_since = x.now, s.turn_phase = x.random.Unit();
  }

  // The place of a server gone so long that no request can remember it, or a new one.
  ServerIndex NewServer() {
    const auto old = std::find_if(all.begin(), all.end(), [this](const Server& s) {
      return s.entry.state == ServerState::kGone && s.own_count == 0 && x.now - s.gone_since > kForgetAfter;
    });
    const auto place = static_cast<ServerIndex>(old - all.begin());
    if (old != all.end()) index.erase(old->entry.server);
    if (place == all.size()) all.emplace_back();
    all[place] = Server();
    all[place].entry.state = ServerState::kGone, all[place].gone_since = x.now;
    return place;
  }

  void Change(Server& s, ServerState state, bool detach) {
    if (state == ServerState::kGone && s.entry.state != state) s.gone_since = x.now;
    const bool before = s.Usable();
    s.entry.state = state, s.detached = detach;
    const int usable = s.Usable() - before;
    detector.hosts += usable;
    detector.ejected += s.health.ejected ? usable : 0;
  }

  // Exception, subsetting, where this proxy's own traffic is too thin to judge the whole fleet: it picks
  // among as many servers as its traffic brings to the volume floor within kInterval, those in service
  // counted. Proxies stand evenly on a ring of the servers, by the golden ratio, servers by a hash of their
  // id. Without this, hundreds of proxies exhausted the connections that servers accept (incident i0f08a6).
  void BuildSubset() {
    std::erase_if(ring, [this](ServerIndex i) { return !all[i].Usable(); });
    const std::vector<ServerIndex> before = std::exchange(subset, {});
    const double shared = kMostSharers * static_cast<double>(ring.size()) / x.settings.balancer_count;
    const std::size_t size =
        std::max(judged, static_cast<std::size_t>(std::clamp<double>(shared, kFewest, kLeastSubset)));
    const bool stays = x.settings.cross_zone_price > kWorthStaying;
    std::vector<ServerIndex> home, away;
    for (const ServerIndex i : ring)
      (stays && all[i].entry.zone == x.settings.zone ? home : away).push_back(i);
    AddArc(home, size);
    AddArc(away, size);
    for (const ServerIndex i : before) {
      if (all[i].Usable() && std::find(subset.begin(), subset.end(), i) == subset.end())
        x.Do(CloseIdle{all[i].entry.server});
    }
  }

  void AddArc(const std::vector<ServerIndex>& arc, std::size_t size) {
    const double start =
        std::fmod(x.settings.balancer_index * kGoldenRatio, 1) * static_cast<double>(arc.size());
    std::size_t serving = 0;
    for (std::size_t k = 0; k < arc.size() && serving < size; ++k) {
      const ServerIndex i = arc[(static_cast<std::size_t>(start) + k) % arc.size()];
      subset.push_back(i);
      serving += !all[i].health.ejected;
    }
  }
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SERVER_LIST_H_
