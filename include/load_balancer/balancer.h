// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// Declares the public interface of load_balancer: settings, events, actions, and the Balancer, which maps
/// events to actions.
///
/// A Balancer is deterministic. It has no clock, I/O, threads or globals: the caller passes the time with
/// each event, and all random numbers derive from the seed. Classes, tenants, zones and kinds are identified
/// by their index in the lists of the settings, so their names cannot influence a decision.
#ifndef LOAD_BALANCER_BALANCER_H_
#define LOAD_BALANCER_BALANCER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace load_balancer {

/// Clock is the caller's clock, in milliseconds. Its origin is arbitrary, and it never goes back.
struct Clock {
  using duration = std::chrono::duration<double, std::milli>;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): required by the standard
};
using Duration = Clock::duration;
using TimePoint = Clock::time_point;

using RequestId = std::uint64_t;
using ServerId = std::uint32_t;

/// Idempotency states whether the requests of a class may run more than once.
enum class Idempotency {
  kIdempotent,      ///< A request may run any number of times.
  kIdempotencyKey,  ///< Servers recognize a repeat by its idempotency key, within a scope and a time window.
  kNotIdempotent    ///< A request must not run twice.
};

/// IdempotencyScope is the set of servers that share idempotency keys: all servers, or the servers of one
/// zone or cell. If one of them has received a request, the others discard a repeat of it.
enum class IdempotencyScope { kAll, kZone, kCell };

/// ClassSettings holds the rules of one class of requests.
struct ClassSettings {
  Idempotency idempotency = Idempotency::kNotIdempotent;
  /// The servers that share idempotency keys. Used with Idempotency::kIdempotencyKey only.
  IdempotencyScope idempotency_scope = IdempotencyScope::kAll;
  /// How long servers remember an idempotency key. Used with Idempotency::kIdempotencyKey only.
  Duration idempotency_window{0};
  Duration latency_objective{0};
  Duration deadline{0};
  double priority_weight = 1;
  /// The value of a response after the latency objective has passed, as a share of the priority weight, from
  /// 0 to 1.
  double late_priority_share = 0;
};

/// TenantSettings holds the quota of one tenant.
struct TenantSettings {
  double quota_per_s = 0;  ///< requests per second, over all proxies
};

/// Settings holds the settings of one proxy. The defaults are the documented values of optional settings that
/// are absent; no default is a tuning parameter.
struct Settings {
  int balancer_count = 1;  ///< number of proxies in the fleet
  int balancer_index = 0;  ///< index of this proxy, from 0
  int zone = 0;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  /// The value of a request over its tenant's quota, as a share of the priority weight, from 0 to 1.
  double over_quota_priority_share = 1;
  /// The cost of sending a request to another zone, as a fraction of the request's value.
  double cross_zone_price = 0;
  /// Whether a server that has recently served a session key needs less work for further requests with that
  /// key.
  bool session_affinity = false;
  /// Whether discovery does not push the endpoint list, so that the proxy must poll it with Subscribe.
  bool must_poll_for_list = false;
  int max_attempts = 1;
  /// The longest Retry-After that rejected clients obey; 0 if they ignore Retry-After.
  Duration max_retry_after{0};
  /// The interval at which the caller handles the events that it has received.
  Duration tick{1};
  /// The longest time between two polls. Used with must_poll_for_list only.
  Duration max_poll_interval{0};
  /// The minimum share of its full capacity that a server has when it starts.
  double slow_start_min_share = 1;
  /// The longest time from a server's start until it has its full capacity.
  Duration slow_start_window{0};
  /// The overload limit: a server fails if the work that it gets within overload_window exceeds this multiple
  /// of the work that its present capacity can do in that time.
  double overload_multiple = 1;
  Duration overload_window{0};
};

/// RequestRules holds the settings that apply to a request from its arrival to its final response.
struct RequestRules {
  ClassSettings class_settings;
  int max_attempts = 1;
};

enum class ServerState { kGone, kReady, kDraining };

/// ListKind states what a ListUpdate contains.
enum class ListKind {
  kDelta,   ///< The update contains the changes since the last update.
  kFull,    ///< The update contains the complete list.
  kCached,  ///< The update contains the complete list from before a restart. No subscription exists yet.
  kFailed   ///< A poll has failed. The update has no entries.
};

/// ServerEntry is an endpoint as discovery describes it.
struct ServerEntry {
  ServerId server = 0;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  ServerState state = ServerState::kReady;
  double weight = 1;
  TimePoint up_since{};  ///< time of the server's start; 0 if it started long ago
};

/// Outcome states how an attempt ended. kOverloaded, kConnectFailed and kNotSent prove that the request did
/// not run.
enum class Outcome {
  kOk,
  kError,
  kOverloaded,  ///< The server rejected the attempt for lack of capacity.
  kTimeout,     ///< The attempt's time-out or the client's deadline passed.
  kConnectFailed,
  kReset,      ///< The connection broke.
  kCancelled,  ///< The client cancelled the request.
  kNotSent,    ///< The proxy cancelled the attempt before sending it, for a reason unrelated to the server.
  kUnknown
};

/// QuotaStatus states whether a request is within its tenant's quota, as counted over all proxies. kUnknown
/// means that no such count exists; the proxy then checks the request against its own part of the quota,
/// which is the quota divided by the number of proxies.
enum class QuotaStatus { kUnknown, kWithinQuota, kOverQuota };

// ---- events -------------------------------------------------------------------------------------------

/// ListUpdate delivers the endpoint list or changes to it.
struct ListUpdate {
  ListKind kind = ListKind::kDelta;
  std::vector<ServerEntry> entries;
};

/// RequestReceived reports that a client has sent a request.
struct RequestReceived {
  RequestId request = 0;
  TimePoint due{};        ///< the client's deadline
  int request_class = 0;  ///< index in the current settings; -1 if they do not have the class
  int tenant = 0;         ///< index in the current settings; -1 if they do not have the tenant
  std::uint64_t key = 0;  ///< session key; 0 if the request has none
  bool has_hint = false;  ///< whether work_ms is set
  bool client_retry = false;
  bool is_body_pending = false;  ///< whether the body is incomplete; latency then counts from BodyReceived
  double work_ms = 0;            ///< hinted work, in ms on a standard core
  QuotaStatus quota_status = QuotaStatus::kUnknown;
  /// Whether the request is overflow from another site. Such a request is sent at once, if OverflowShare
  /// permits it and no request of this site is queued; otherwise it is rejected at once. It is never queued
  /// or retried, and no quota is charged for it.
  bool is_overflow = false;
  /// The rules of a request that began under previous settings and arrives under the current ones. Empty for
  /// other requests, which the rules of the current settings apply to.
  std::optional<RequestRules> previous_rules{};
};

/// BodyReceived reports that the body of a request with RequestReceived::is_body_pending is complete.
struct BodyReceived {
  RequestId request = 0;
  TimePoint due{};
};

/// StreamStarted reports that an attempt's response has begun, and its first bytes go to the client.
struct StreamStarted {
  RequestId request = 0;
  int attempt = 0;
};

/// AttemptEnded reports the outcome of an attempt.
struct AttemptEnded {
  RequestId request = 0;
  int attempt = 0;
  ServerId server = 0;
  bool is_request_finished = false;  ///< whether the client has its final response
  bool is_replayable = true;         ///< whether the request's body is still available for a retry
  Outcome outcome = Outcome::kUnknown;
  Duration took{0};
};

/// ClientGone reports that the client has closed its connection or cancelled the request.
struct ClientGone {
  RequestId request = 0;
};

/// TimerFired reports that a timer set by SetTimer has expired.
struct TimerFired {
  std::uint64_t token = 0;
};

/// StartMaintenance takes a server out of service until EndMaintenance, whatever its state in the endpoint
/// list. An operator requests the maintenance.
struct StartMaintenance {
  ServerId server = 0;
};

/// EndMaintenance returns a server to service. The server has been restarted, so it is in slow start.
struct EndMaintenance {
  ServerId server = 0;
};

/// ProcessCount sets the number of processes that act as this proxy: two during a hot restart, otherwise one.
struct ProcessCount {
  int processes = 1;
};

/// NewSettings replaces the settings. Open requests keep their RequestRules.
struct NewSettings {
  std::shared_ptr<const Settings> settings;
  /// The index that each class and each tenant of the new settings had before; -1 if it is new.
  std::vector<int> previous_class_indices, previous_tenant_indices;
};

/// PeerEjection reports that another proxy of the fleet has ejected a server until `until`, because
/// `failures` of `attempts` attempts had failed. This proxy may ignore the event.
struct PeerEjection {
  ServerId server = 0;
  TimePoint until{};
  int failures = 0, attempts = 0;
};

/// PeerAffinity reports that another proxy has sent a request with the session key `key` to a server.
struct PeerAffinity {
  ServerId server = 0;
  std::uint64_t key = 0;
  TimePoint sent_at{};
};

/// ServerConcurrencyLimit sets this proxy's part of the limit on requests in flight at one server. 0 means no
/// limit.
struct ServerConcurrencyLimit {
  int max_in_flight = 0;
};

/// RestoredEjection reports that a former process of this proxy had ejected a server until `until`, for the
/// `multiplier`-th time in a row.
struct RestoredEjection {
  ServerId server = 0;
  TimePoint until{};
  int multiplier = 1;
};

/// LearnedRates holds the rates that a Balancer has measured. As an event it passes the rates of a former
/// process to the Balancer of a new one. No value is negative.
struct LearnedRates {
  double responses_per_ms = 0;
  double work_per_ms = 0;       ///< work done by all servers
  double warm_work_per_ms = 0;  ///< work done by one server that is not in slow start
  double time_per_work = 0;     ///< ratio of response time to hinted work, for large requests
};

/// OverflowShare limits the overflow requests in flight. `max_fraction`, from 0 to 1, is a fraction of this
/// proxy's spare concurrency: its limit on requests in flight less its own requests in flight. 0, the value
/// before the first such event, rejects all overflow.
struct OverflowShare {
  double max_fraction = 0;
};

using Event =
    std::variant<ListUpdate, RequestReceived, StreamStarted, AttemptEnded, ClientGone, TimerFired,
                 StartMaintenance, EndMaintenance, ProcessCount, NewSettings, BodyReceived, PeerEjection,
                 PeerAffinity, ServerConcurrencyLimit, RestoredEjection, LearnedRates, OverflowShare>;

/// The longest time that a server stays ejected, including jitter.
inline constexpr Duration kMaxEjectionDuration{20000};

// ---- actions ------------------------------------------------------------------------------------------

/// Dispatch sends a request to a server, as its first attempt or as a retry.
struct Dispatch {
  RequestId request = 0;
  ServerId server = 0;
  Duration timeout{0};  ///< the attempt's time-out; 0 if only the client's deadline limits it
  /// Time within which the request must be written whole, or else be given up before its last byte, so that
  /// it does not run. 0 if there is no such limit. In ms, from the dispatch.
  Duration write_timeout{0};
};

/// Reject ends a request and tells the client that it did not run, so that the client may retry it.
struct Reject {
  RequestId request = 0;
  Duration retry_after{0};  ///< value of Retry-After; 0 if it is omitted
};

/// FailRequest ends a request and tells the client that it failed and may have run.
struct FailRequest {
  RequestId request = 0;
};

/// SetTimer asks for a TimerFired event at `at`.
struct SetTimer {
  TimePoint at{};
  std::uint64_t token = 0;
};

/// Subscribe polls discovery for the endpoint list and its later changes.
struct Subscribe {};

/// CloseIdle closes this proxy's idle connections to a server.
struct CloseIdle {
  ServerId server = 0;
};

/// Log writes a line to the log.
struct Log {
  std::string text;
};

/// Ejected reports that this proxy has ejected a server until `until`, based on its own attempts. The caller
/// notifies the other proxies.
struct Ejected {
  ServerId server = 0;
  TimePoint until{};
  int failures = 0, attempts = 0;
  int multiplier = 1;
};

using Action = std::variant<Dispatch, Reject, FailRequest, SetTimer, Subscribe, CloseIdle, Log, Ejected>;

/// SpareCapacity estimates the traffic that this proxy would admit in addition to its present traffic. By
/// Little's law, the estimate is the unused part of the limit on attempts in flight, divided by the response
/// time that this limit allows. It is zero if requests are queued, if a request was rejected unsent within
/// the last second, or if no server is in service.
struct SpareCapacity {
  double work_per_ms = 0;              ///< mean, as hinted work on standard cores; 0 or more
  double work_per_ms_lower_bound = 0;  ///< work_per_ms if one standard deviation more were in flight; >= 0
  Duration wait{0};                    ///< estimated queueing time of a request that arrives now
};

/// Balancer decides which server each request is sent to, and which requests are queued or rejected.
class Balancer {
 public:
  Balancer(Settings settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&& other) noexcept;
  Balancer& operator=(Balancer&& other) noexcept;

  /// Handles `event` at time `now` and appends the resulting actions to `actions`. Ignores references to
  /// unknown requests and servers. No content of an event causes an exception.
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);

  /// Returns the measured rates, from which a process that replaces this one starts.
  [[nodiscard]] LearnedRates learned_rates() const;

  /// Returns the spare capacity as of the last event. `now` only determines whether the last rejection was
  /// less than a second ago.
  [[nodiscard]] SpareCapacity EstimateSpareCapacity(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_BALANCER_H_
