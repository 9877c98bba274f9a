// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The public interface of load_balancer: settings, events, actions and the Balancer that maps events to
/// actions.
///
/// A Balancer is pure and deterministic. It has no clock, I/O, threads or globals: the time comes in with
/// each event and randomness derives from the seed alone. Classes, tenants, zones and kinds are indices into
/// the lists of the settings, so no name can influence a decision.
#ifndef LOAD_BALANCER_BALANCER_H_
#define LOAD_BALANCER_BALANCER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace load_balancer {

/// The caller's clock, in milliseconds. Its origin is arbitrary and it only advances.
struct Clock {
  using duration = std::chrono::duration<double, std::milli>;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): the standard's name
};
using Duration = Clock::duration;
using TimePoint = Clock::time_point;

using RequestId = std::uint64_t;
using ServerId = std::uint32_t;

/// Whether the requests of a class may run more than once.
enum class Idempotency {
  kIdempotent,      ///< without restriction
  kIdempotencyKey,  ///< servers discard a repeat by its idempotency key, within a scope and a window
  kNotIdempotent    ///< never
};

/// Which servers discard a repeat of a request that one of them has seen.
enum class IdempotencyScope { kAll, kZone, kCell };

/// A class of requests.
struct ClassSettings {
  Idempotency idempotency = Idempotency::kNotIdempotent;
  /// Idempotency::kIdempotencyKey only: the servers that discard each other's repeats.
  IdempotencyScope idempotency_scope = IdempotencyScope::kAll;
  /// Idempotency::kIdempotencyKey only: for how long they do.
  Duration idempotency_window{0};
  Duration latency_objective{0};
  Duration deadline{0};
  double priority_weight = 1;
  /// Share of the priority weight, from 0 to 1, that a response after the latency objective still earns.
  double late_priority_share = 0;
};

struct TenantSettings {
  double quota_per_s = 0;  ///< requests a second over all proxies
};

/// The settings of one proxy. Defaults are the documented meaning of an absent optional setting; none of them
/// steers a decision.
struct Settings {
  int balancer_count = 1;  ///< proxies of the fleet
  int balancer_index = 0;  ///< this one's, from 0
  int zone = 0;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  /// Share of the priority weight, from 0 to 1, that requests over their tenant's quota have.
  double over_quota_priority_share = 1;
  /// Price of sending a request to another zone, in parts of a request's value.
  double cross_zone_price = 0;
  /// A server that has served a key recently serves it again with less work.
  bool session_affinity = false;
  /// The endpoint list is not pushed: Subscribe has to be repeated.
  bool must_poll_for_list = false;
  int max_attempts = 1;
  /// The longest Retry-After that rejected clients heed; 0: they heed none.
  Duration max_retry_after{0};
  /// How often the caller handles what has come in.
  Duration tick{1};
  /// With must_poll_for_list: the longest time between two polls.
  Duration max_poll_interval{0};
  /// Share of its capacity that a server has at least when it starts.
  double slow_start_min_share = 1;
  /// Time after which a server that has started has its full capacity at the latest.
  Duration slow_start_window{0};
  /// A server fails when it is sent more than this multiple of its present capacity within overload_window.
  double overload_multiple = 1;
  Duration overload_window{0};
};

enum class ServerState { kGone, kReady, kDraining };

/// How a ListUpdate relates to the updates before it.
enum class ListKind {
  kDelta,   ///< changes since the last update
  kFull,    ///< the complete list
  kCached,  ///< the complete list as it was before a restart; nothing is subscribed yet
  kFailed   ///< a poll failed; there are no entries
};

/// An endpoint as discovery describes it.
struct ServerEntry {
  ServerId server = 0;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  ServerState state = ServerState::kReady;
  double weight = 1;
  TimePoint up_since{};  ///< zero: long ago
};

/// How an attempt ended. kOverloaded, kConnectFailed and kNotSent prove that the request did not run.
enum class Outcome {
  kOk,
  kError,
  kOverloaded,  ///< the server rejected it for lack of capacity
  kTimeout,     ///< the attempt's time-out or the client's deadline passed
  kConnectFailed,
  kReset,      ///< the connection broke
  kCancelled,  ///< by the client
  kNotSent,    ///< the proxy gave it up before it was sent, for a reason that tells nothing of the server
  kUnknown
};

/// Whether a request is within its tenant's quota by an account that covers all proxies. kUnknown: there is
/// no such account, and the tenant's quota divided by the number of proxies decides.
enum class QuotaStatus { kUnknown, kWithinQuota, kOverQuota };

// ---- events -------------------------------------------------------------------------------------------

/// The endpoint list, or a change of it.
struct ListUpdate {
  ListKind kind = ListKind::kDelta;
  std::vector<ServerEntry> entries;
};

/// A client has sent a request.
struct RequestReceived {
  RequestId request = 0;
  TimePoint due{};  ///< when the client gives up
  int request_class = 0;
  int tenant = 0;
  std::uint64_t key = 0;  ///< 0: none
  bool has_hint = false;  ///< work_ms is set
  bool client_retry = false;
  bool is_body_pending = false;  ///< the body is still to come: the request's time begins with BodyReceived
  double work_ms = 0;            ///< hinted work on a standard core
  QuotaStatus quota_status = QuotaStatus::kUnknown;
  /// Overflow of another site. It is sent at once, within OverflowShare and behind all requests of this site,
  /// or rejected at once. It is never queued nor retried, and no quota is charged for it.
  bool is_overflow = false;
};

/// The body of a request that came with is_body_pending is complete.
struct BodyReceived {
  RequestId request = 0;
  TimePoint due{};
};

/// An attempt's response has begun: its first bytes are on their way to the client.
struct StreamStarted {
  RequestId request = 0;
  int attempt = 0;
};

struct AttemptEnded {
  RequestId request = 0;
  int attempt = 0;
  ServerId server = 0;
  bool is_request_finished = false;  ///< the client has its final response
  bool is_replayable = true;         ///< false: the body that was sent is no longer available for a retry
  Outcome outcome = Outcome::kUnknown;
  Duration took{0};
};

/// The client has closed its connection or cancelled the request.
struct ClientGone {
  RequestId request = 0;
};

/// A timer set by SetTimer has expired.
struct TimerFired {
  std::uint64_t token = 0;
};

/// Operators take a server out of service, whatever endpoint lists say of it, until EndMaintenance.
struct StartMaintenance {
  ServerId server = 0;
};

/// Operators return a server to service. It has been restarted, so it is in slow start.
struct EndMaintenance {
  ServerId server = 0;
};

/// How many processes are this one proxy now: two while one replaces the other.
struct ProcessCount {
  int processes = 1;
};

/// New settings apply from here on. Open requests keep the rules of their class as they were.
struct NewSettings {
  std::shared_ptr<const Settings> settings;
  /// The index that each class and each tenant of the new settings had before; -1: it is new.
  std::vector<int> previous_class_indices, previous_tenant_indices;
};

/// Another proxy of the fleet has ejected a server until then, on `failures` of `attempts`. It is advice.
struct PeerEjection {
  ServerId server = 0;
  TimePoint until{};
  int failures = 0, attempts = 0;
};

/// Another proxy has sent a request with this key to a server.
struct PeerAffinity {
  ServerId server = 0;
  std::uint64_t key = 0;
  TimePoint sent_at{};
};

/// This proxy's part of the limit on requests in flight at one server; 0: no limit.
struct ServerConcurrencyLimit {
  int max_in_flight = 0;
};

/// A former process of this proxy had ejected a server until then, for the `multiplier`-th time in a row.
struct RestoredEjection {
  ServerId server = 0;
  TimePoint until{};
  int multiplier = 1;
};

/// What a Balancer has learned of the servers' rates, and what one takes over from a former process. All are
/// 0 or more.
struct LearnedRates {
  double responses_per_ms = 0;
  double work_per_ms = 0;       ///< of all servers
  double warm_work_per_ms = 0;  ///< of one server that is not in slow start
  double time_per_work = 0;     ///< response time over hinted work, of large requests
};

/// Overflow of other sites may be in flight up to this fraction, from 0 to 1, of the capacity that this
/// proxy's own requests leave of its limit in flight. 0, as before the first such event: all overflow is
/// rejected.
struct OverflowShare {
  double max_fraction = 0;
};

using Event =
    std::variant<ListUpdate, RequestReceived, StreamStarted, AttemptEnded, ClientGone, TimerFired,
                 StartMaintenance, EndMaintenance, ProcessCount, NewSettings, BodyReceived, PeerEjection,
                 PeerAffinity, ServerConcurrencyLimit, RestoredEjection, LearnedRates, OverflowShare>;

/// No ejection lasts longer, the jitter of return times included.
inline constexpr Duration kMaxEjectionDuration{20000};

// ---- actions ------------------------------------------------------------------------------------------

/// Send a request, or a further attempt of it, to a server.
struct Dispatch {
  RequestId request = 0;
  ServerId server = 0;
  Duration timeout{0};  ///< 0: until the client gives up
};

/// Final: tell the client that the request did not run, so that it may retry.
struct Reject {
  RequestId request = 0;
  Duration retry_after{0};  ///< 0: no advice
};

/// Final: tell the client that the request failed and may have run.
struct FailRequest {
  RequestId request = 0;
};

struct SetTimer {
  TimePoint at{};
  std::uint64_t token = 0;
};

/// Ask discovery for the changes from here on.
struct Subscribe {};

/// Close this proxy's idle connections to a server.
struct CloseIdle {
  ServerId server = 0;
};

struct Log {
  std::string text;
};

/// This proxy has ejected a server until then on the responses that it got itself, for its peers to know.
struct Ejected {
  ServerId server = 0;
  TimePoint until{};
  int failures = 0, attempts = 0;
  int multiplier = 1;
};

using Action = std::variant<Dispatch, Reject, FailRequest, SetTimer, Subscribe, CloseIdle, Log, Ejected>;

/// What admission would still admit beyond the present traffic, as far as this proxy can tell: the remainder
/// of its limit in flight, by Little's law, at the time that a request may take there. It is zero where
/// requests are queued, or were rejected unsent within the last second, or no server is in service.
struct SpareCapacity {
  double work_per_ms = 0;              ///< hinted work on standard cores, in the mean; 0 or more
  double work_per_ms_lower_bound = 0;  ///< the same less one deviation of the number in flight; 0 or more
  Duration wait{0};                    ///< that a request which came now would be queued for, about
};

/// Decides which server gets a request, and which request gets none.
class Balancer {
 public:
  Balancer(Settings settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&& other) noexcept;
  Balancer& operator=(Balancer&& other) noexcept;

  /// Appends what is to be done at `now` because of `event`. Ignores what it does not know; never throws on
  /// the content of an event.
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);

  /// What a process that replaces this one starts from.
  [[nodiscard]] LearnedRates learned_rates() const;

  /// As of the last event; `now` only ends the second after a rejection.
  [[nodiscard]] SpareCapacity EstimateSpareCapacity(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_BALANCER_H_
