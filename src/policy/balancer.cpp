// SPDX-License-Identifier: Apache-2.0
// Events in, actions out: the life of a request. The ordinary path is gRFC A50 outlier detection and, among
// the servers in service, a pick of the one with the least hinted work of this proxy's own in flight.
// Whatever departs from that is marked "Exception" with the condition under which it acts.
#include "load_balancer/balancer.h"

#include <tuple>

#include "policy/admission.h"
#include "policy/retry_policy.h"
#include "policy/server_picker.h"

namespace load_balancer {
namespace {

constexpr int kMostMisses = 8;          // held requests tried in a row without room for any
constexpr double kMostWork = 1e6;       // ms; a larger hint is taken as this
constexpr Duration kLately{1000};       // after a refusal nothing is spare for so long
constexpr Duration kHousekeeping{100};  // rates are sampled this often

// What is kept by index, under the indices that now stand for those of before.
template <typename T, typename Fresh>
std::vector<T> Moved(const std::vector<T>& kept, std::size_t size, const std::vector<int>& before,
                     const Fresh& fresh) {
  std::vector<T> moved;
  for (std::size_t i = 0; i < size; ++i) {
    const int from = i < before.size() ? before[i] : -1;
    moved.push_back(from >= 0 && from < static_cast<int>(kept.size()) ? kept[from] : fresh());
  }
  return moved;
}

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : x_{std::move(settings), {std::mt19937_64(seed)}} {
    On(NewSettings{std::make_shared<Settings>(x_.settings), {}, {}});
  }

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
    x_.now = now, x_.out = actions;
    std::visit([this](const auto& e) { On(e); }, event);  // first: a list may forbid what is due
    Advance();
    PlaceHeld();
    Arm();
    x_.out = nullptr;
  }

  LearnedRates learned_rates() const {
    return {traffic_.served_rate, traffic_.work_rate, cold_.warm_rate, traffic_.time_per_work};
  }

  load_balancer::SpareCapacity EstimateSpareCapacity(TimePoint now) const {
    const double limit = admission_.Limit(), useful = admission_.Useful();
    const double left = limit - static_cast<double>(awaited_.size()) - spilled_;
    if (left <= 0 || !held_.empty())
      return {0, 0, Duration(static_cast<double>(held_.size() + 1) / std::max(traffic_.served_rate, 1e-3))};
    if (useful <= 0 || servers_.in_service <= 0 || now - refused_at_ < kLately) return {};
    const double work = traffic_.request_work.mean / useful;  // a ms, of one in flight
    return {left * work, std::max(0.0, left - std::sqrt(limit)) * work, Duration(0)};
  }

 private:
  Request* Find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }

  Server& LastServer(const Request& r) { return servers_.all[r.attempts.back().server]; }

  void On(const RequestReceived& e) {
    if (requests_.count(e.request)) return;
    // Where its class is not known, nothing is of what it may do twice; it never ran: it may be tried again.
    if (e.request_class < 0 || e.request_class >= static_cast<int>(x_.settings.classes.size()))
      return x_.Do(Reject{e.request, Duration(0)});
    Request r;
    r.id = e.request, r.key = e.key, r.is_body_pending = e.is_body_pending, r.is_overflow = e.is_overflow;
    r.arrived = x_.now, r.due = e.due;
    r.rules = x_.settings.classes[e.request_class], r.seen = classes_[e.request_class];
    r.most_attempts = e.is_overflow ? 1 : x_.settings.max_attempts;
    ClassState& seen = *r.seen;
    Spread& all = traffic_.request_work;
    const Duration latency_objective = r.rules.latency_objective - admission_.Elapsed(e, seen);
    const bool hinted = e.has_hint && std::isfinite(e.work_ms) && e.work_ms > 0;
    r.work = hinted ? std::min(e.work_ms, kMostWork) : all.samples > 0 ? all.mean : 1;
    if (hinted || all.samples == 0) all.Add(r.work), seen.work.Add(r.work);
    traffic_.Asked(r);
    admission_.Value(r, e, latency_objective);
    if (r.value <= 0 || admission_.Throttled(r)) return Finish(r);
    const Duration useful = latency_objective - Duration(seen.latency.mean + seen.latency.deviation);
    r.refuse_at =
        std::min(r.due - x_.settings.tick * 2, x_.now + std::max(useful, r.rules.latency_objective / 4));
    if (r.is_overflow) r.refuse_at = x_.now;
    Place(requests_.emplace(r.id, std::move(r)).first->second);
    Forget(requests_.at(e.request));
  }

  // A request's time, and that of its attempt, counts from its last byte.
  void On(const BodyReceived& e) {
    Request* r = Find(e.request);
    if (!r) return;
    const bool held = r->held;
    Unhold(*r);  // its place among the held goes by its time
    r->is_body_pending = false, r->arrived = x_.now, r->due = e.due;
    if (held) Hold(*r);
    if (!r->Outstanding()) return;
    Server& s = LastServer(*r);
    if (s.own_count == 1) s.quiet_since = x_.now;
    r->attempts.back().sent_at = x_.now;
    Await(*r);
  }

  // An answer is in time by its first bytes: what a slow client takes of the rest is no work in flight.
  void On(const StreamStarted& e) {
    Request* r = Find(e.request);
    if (!r) return;
    r->streaming = true, r->begun = x_.now;
    if (e.attempt < 0 || e.attempt >= static_cast<int>(r->attempts.size())) return;
    room_ |= awaited_.erase({r->attempts[e.attempt].overdue_at, r->id, e.attempt}) > 0;
  }

  void On(const ClientGone& e) {
    Request* r = Find(e.request);
    if (r) r->finished = true, Forget(*r);
  }

  void On(const AttemptEnded& e) {
    Request* r = Find(e.request);
    if (!r || e.attempt < 0 || e.attempt >= static_cast<int>(r->attempts.size())) return;
    Attempt& a = r->attempts[e.attempt];
    if (!a.outstanding) return;
    a.outstanding = false;
    a.may_have_run = !(e.outcome == Outcome::kOverloaded || e.outcome == Outcome::kConnectFailed ||
                       e.outcome == Outcome::kNotSent);
    awaited_.erase({a.overdue_at, r->id, e.attempt});
    Learn(*r, e, servers_.all[a.server]);
    room_ = true;
    if (e.is_request_finished) r->finished = true;
    r->is_replayable = e.is_replayable;
    if (!r->finished && !r->Outstanding() && !r->held)
      Again(*r, a.may_have_run || e.outcome == Outcome::kOverloaded);
    Forget(*r);
  }

  // After a failed attempt: another one where permitted, within the budget of repeats if it adds load.
  void Again(Request& r, bool adds_load) {
    if (!Permitted(r, x_.now, servers_.all).dispatch || (adds_load && retry_tokens_ < 1))
      return Finish(r, Duration(0));
    const Duration tick = x_.settings.tick;
    r.refuse_at = std::max(r.refuse_at, std::min(r.due - tick * 2, x_.now + tick * 4));
    Place(r);
  }

  // Exception: a neighbour's request goes behind all that is held, into a part of the room that is left.
  bool HasRoom(const Request& r) const {
    const double left = admission_.Limit() - static_cast<double>(awaited_.size());
    return r.is_overflow ? held_.empty() && spilled_ + 1 <= most_spilled_ * left : left > 0;
  }

  // Sends the request or holds it; true if sent.
  bool Place(Request& r) {
    const Permission may = Permitted(r, x_.now, servers_.all);
    Server* s = may.dispatch && HasRoom(r) ? picker_.Pick(r, may.anchor) : nullptr;
    if (s) {
      Unhold(r);
      Send(r, *s);
    } else if (!may.dispatch || x_.now >= r.refuse_at) {
      Finish(r);
    } else if (!r.held) {
      Hold(r);
    }
    return s;
  }

  void PlaceHeld() {
    if (!std::exchange(room_, false)) return;
    int misses = 0;
    for (auto it = held_.begin(); it != held_.end() && misses < kMostMisses;) {
      Request& r = requests_.at(std::get<2>(*it++));
      misses += !Place(r);
      Forget(r);
    }
  }

  void Hold(Request& r) {
    r.held = true;
    held_.emplace(-r.value, -r.arrived.time_since_epoch(), r.id);
    wakeups_.emplace(r.refuse_at, r.id);
  }

  void Unhold(Request& r) {
    if (r.held) held_.erase({-r.value, -r.arrived.time_since_epoch(), r.id});
    r.held = false;
  }

  void Send(Request& r, Server& s) {
    retry_tokens_ = r.attempts.empty() ? std::min(kRetryBurst, retry_tokens_ + kRetryRatio)
                                       : std::max(0.0, retry_tokens_ - 1);
    const Duration timeout = TimeoutFor(r, s);
    if (s.own_count == 0) s.quiet_since = x_.now;
    s.own_work += r.work, ++s.own_count, spilled_ += r.is_overflow;
    cold_.Sent(s, r.work);
    if (x_.settings.session_affinity && r.key != 0) keys_.Met(r.key, servers_.IndexOf(s), x_.now);
    r.attempts.push_back({.server = servers_.IndexOf(s), .sent_at = x_.now});
    if (!r.is_body_pending) Await(r);
    x_.Do(Dispatch{r.id, s.entry.server, timeout});
  }

  // The last attempt is in flight, with all that the server needs for an answer.
  void Await(Request& r) {
    Attempt& a = r.attempts.back();
    a.overdue_at = r.seen->latency.samples < kYoung ? kNever : x_.now + r.seen->Unlikely(r.work);
    if (!r.is_overflow) awaited_.emplace(a.overdue_at, r.id, r.attempts.size() - 1);
  }

  // Only a server that has gone silent gets a time-out short of the client's own: it owes answers, and has
  // owed them for longer than this class takes by mean + kDeviations deviations. Timing out what was merely
  // late doubled its work on every site. Zero also where no repeat is permitted or would come in time.
  Duration TimeoutFor(const Request& r, const Server& s) const {
    const ClassState& seen = *r.seen;
    if (r.rules.idempotency == Idempotency::kNotIdempotent || r.is_body_pending ||
        seen.latency.samples < kYoung || s.own_count == 0 || retry_tokens_ < 1 ||
        static_cast<int>(r.attempts.size()) + 1 >= r.most_attempts)
      return Duration(0);
    const Duration repeat((seen.latency.mean + seen.latency.deviation) * seen.Scale(r.work));
    const Duration unlikely = seen.Unlikely(r.work);
    const bool in_time = x_.now + unlikely + repeat <= r.due;
    return x_.now - s.quiet_since < unlikely || !in_time ? Duration(0) : unlikely;
  }

  // Exception, where clients listen: one whose aim could not be met would come back only to be late, and take
  // the place of one in time. It is told to stay away for as long as it would have come back.
  void Finish(Request& r) {
    Finish(r, std::min(x_.settings.max_retry_after, r.rules.deadline) * !r.is_overflow);
  }
  void Finish(Request& r, Duration retry_after) {
    const bool refuse = Permitted(r, x_.now, servers_.all).refuse;
    x_.Say(
        Context::kEnding, refuse ? "refusing: " : "failing: ",
        r.attempts.empty() ? "not in time" : "last at server " + std::to_string(LastServer(r).entry.server),
        "; ", awaited_.size(), " in flight, ", held_.size(), " held");
    refuse ? x_.Do(Reject{r.id, retry_after}) : x_.Do(FailRequest{r.id});
    r.finished = true;
    if (!r.is_overflow && r.attempts.empty()) refused_at_ = x_.now;
  }

  void Forget(Request& r) {
    if (!r.finished) return;
    Unhold(r);
    if (!r.Outstanding()) requests_.erase(r.id);
  }

  void Learn(const Request& r, const AttemptEnded& e, Server& s) {
    s.own_work -= r.work, spilled_ -= r.is_overflow;
    if (e.outcome != Outcome::kTimeout) s.quiet_since = x_.now;
    if (--s.own_count == 0) s.own_work = 0;
    const bool ok = e.outcome == Outcome::kOk;
    if (e.outcome == Outcome::kCancelled || e.outcome == Outcome::kNotSent || e.outcome == Outcome::kUnknown)
      return;
    ClassState& seen = *r.seen;
    const double took = (ok ? e.took : std::min(e.took, seen.Unlikely(r.work))).count();
    picker_.LearnZone(r, s, ok && (r.streaming ? r.begun : x_.now) <= r.arrived + r.rules.latency_objective,
                      ok);
    // A time-out of a server that has answered others since is an answer lost on the way and tells no pace.
    // Of one that has not, it tells that an answer hardly comes any more: the class is as slow as that.
    const bool silent = s.quiet_since <= r.attempts[e.attempt].sent_at;
    const bool timed = ok || (e.outcome == Outcome::kTimeout && silent);
    if (timed && std::isfinite(took) && took >= 0) {
      const double scaled = took / seen.Scale(r.work);
      seen.latency.Add(scaled);
      const double relative = std::min(kMostSlowness, scaled / std::max(seen.latency.mean, 1e-9));
      s.slowness = s.SlownessAt(x_.now);
      s.slowness += kSlownessGain * (relative - s.slowness);
      s.slowness_at = x_.now;
    }
    traffic_.Ended(r, took, ok, timed);
    if (!servers_.detector.Record(s.health, ok, x_.now, x_.random)) return;
    servers_.detector.ejected -= !s.Usable();  // a draining server's late answers may fail too
    servers_.LeaveService(s);
    if (servers_.detector.thin) x_.Do(CloseIdle{s.entry.server});  // others may need the place
    x_.Say(Context::kHealth, "server ", s.entry.server, " ejected: ", s.health.failures, " of ",
           s.health.attempts(), " attempts failed");
    x_.Do(Ejected{s.entry.server, s.health.return_at, s.health.failures, s.health.attempts(),
                  s.health.multiplier});
  }

  void On(const PeerEjection& e) {
    Server* s = servers_.Find(e.server);
    if (!s || !s->Usable()) return;
    const auto advised = std::count_if(servers_.all.begin(), servers_.all.end(), [](const Server& other) {
      return other.Usable() && other.health.ejected && other.health.advised;
    });
    const bool followed = servers_.detector.Advise(s->health, e, static_cast<int>(advised), x_.now);
    x_.Say(Context::kAdvice, "server ", e.server, followed ? "" : " not",
           " ejected on a peer's word: ", e.failures, " of ", e.attempts, " attempts failed there");
    if (followed) servers_.LeaveService(*s);
  }

  // Its own verdict of a life before holds for the time that it had left.
  void On(const RestoredEjection& e) {
    Server* s = servers_.Find(e.server);
    if (!s || !s->Usable() || e.until <= x_.now || s->health.ejected) return;
    servers_.detector.Eject(s->health);
    s->health.multiplier = std::max(1, e.multiplier);
    s->health.return_at = std::min(e.until, x_.now + kMaxEjectionDuration);
    servers_.LeaveService(*s);
  }

  // A young proxy that knows the pace of a life before does not start from nothing.
  void On(const LearnedRates& e) {
    if (traffic_.outcomes > 0) return;
    traffic_.served_rate = e.responses_per_ms, traffic_.work_rate = e.work_per_ms;
    traffic_.young_samples = traffic_.samples = kYoung;
    if (e.time_per_work > 0)
      traffic_.time_per_work = e.time_per_work, traffic_.time_per_work_votes = kLeastVotes;
    cold_.warm_rate = e.warm_work_per_ms;
  }

  void On(const PeerAffinity& e) {
    const Server* s = servers_.Find(e.server);
    if (!x_.settings.session_affinity || !s) return;
    const ServerIndex index = servers_.IndexOf(*s);
    if (!keys_.Warm(e.key, index, x_.now)) keys_.Met(e.key, index, std::min(x_.now, e.sent_at));
  }

  void On(const ServerConcurrencyLimit& e) { picker_.share = e.max_in_flight, room_ = true; }
  void On(const ProcessCount& e) { cold_.processes = std::max(1, e.processes); }
  void On(const OverflowShare& e) { most_spilled_ = std::clamp(e.max_fraction, 0.0, 1.0); }
  void On(const TimerFired&) {}

  void On(const ListUpdate& e) {
    calls_.Follow(e.kind);
    if (e.kind != ListKind::kFailed) servers_.Update(e), room_ = true;
  }
  void On(const StartMaintenance& e) { room_ |= servers_.Detach(e.server); }
  void On(const EndMaintenance& e) { room_ |= servers_.Attach(e.server); }

  // What was learnt of a class goes on under its new index. Requests keep that of their own class.
  void On(const NewSettings& e) {
    x_.settings = *e.settings;
    classes_ =
        Moved(classes_, x_.settings.classes.size(), e.previous_class_indices, std::make_shared<ClassState>);
    admission_.tokens =
        Moved(admission_.tokens, x_.settings.tenants.size(), e.previous_tenant_indices, [] { return 1.0; });
    servers_.Changed();
    room_ = true;
  }

  void Advance() {
    if (x_.now >= armed_) armed_ = kNever;
    if (x_.now >= servers_.next_return) room_ |= servers_.ReturnDue();
    if (x_.now >= interval_end_) {
      interval_end_ = x_.now + servers_.detector.interval;
      servers_.detector.EndInterval();
      for (Server& s : servers_.all) OutlierDetector::EndInterval(s.health);
    }
    if (x_.now >= sample_at_) Sample();
    calls_.AskIfDue();
    for (; !awaited_.empty() && std::get<0>(*awaited_.begin()) <= x_.now; room_ = true)
      awaited_.erase(awaited_.begin());
    while (!wakeups_.empty() && wakeups_.begin()->first <= x_.now) {
      Request* r = Find(wakeups_.begin()->second);
      wakeups_.erase(wakeups_.begin());
      if (!r) continue;
      if (r->held && x_.now >= r->refuse_at) Finish(*r);
      Forget(*r);
    }
  }

  void Sample() {
    const double elapsed = (x_.now - sampled_at_).count();
    if (servers_.some_cold) servers_.CountCapacity();
    if (sampled_at_ != TimePoint{} && elapsed > 0) {
      traffic_.Sample(elapsed, x_.now);
      cold_.Learn(Duration(elapsed));
      servers_.Resize(traffic_.asked_rate * 1000 / std::max(1e-9, traffic_.request_work.mean));
    }
    admission_.Refill(elapsed);
    sampled_at_ = x_.now, sample_at_ = x_.now + kHousekeeping;
    room_ = true;  // cold budgets have moved on
  }

  void Arm() {
    TimePoint at = std::min(calls_.at, held_.empty() ? kNever : sample_at_);
    if (!held_.empty() && !awaited_.empty()) at = std::min(at, std::get<0>(*awaited_.begin()));
    if (!wakeups_.empty()) at = std::min(at, wakeups_.begin()->first);
    if (at >= armed_) return;
    armed_ = at;
    x_.Do(SetTimer{at, 0});
  }

  Context x_;
  ServerList servers_{x_};
  Traffic traffic_{};
  ColdBudget cold_{x_, servers_, traffic_};
  WarmKeys keys_;
  Picker picker_{x_, servers_, cold_, traffic_, keys_};
  Admission admission_{x_, servers_, traffic_};
  ListCalls calls_{x_};
  double retry_tokens_ = kRetryBurst, most_spilled_ = 0;  // the latter of the room that is left
  int spilled_ = 0;                                       // neighbours' attempts in flight
  std::vector<std::shared_ptr<ClassState>> classes_;
  std::unordered_map<RequestId, Request> requests_;
  std::set<std::tuple<double, Duration, RequestId>> held_;  // the most worth first, then the latest
  std::set<std::pair<TimePoint, RequestId>> wakeups_;
  std::set<std::tuple<TimePoint, RequestId, std::size_t>> awaited_;  // attempts, by when an answer is overdue
  bool room_ = false;  // something changed that may let a held request go
  TimePoint armed_ = kNever, interval_end_{}, sample_at_{}, sampled_at_{}, refused_at_{Duration(-1e300)};
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;
LearnedRates Balancer::learned_rates() const { return impl_->learned_rates(); }
SpareCapacity Balancer::EstimateSpareCapacity(TimePoint now) const {
  return impl_->EstimateSpareCapacity(now);
}

void Balancer::Handle(TimePoint now, const Event& e, std::vector<Action>* out) { impl_->Handle(now, e, out); }

}  // namespace load_balancer
