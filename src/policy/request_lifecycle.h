// SPDX-License-Identifier: Apache-2.0
/// @file
/// The handling of a request from its arrival to its final response.
#ifndef LOAD_BALANCER_SRC_POLICY_REQUEST_LIFECYCLE_H_
#define LOAD_BALANCER_SRC_POLICY_REQUEST_LIFECYCLE_H_

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "policy/admission.h"
#include "policy/admission_queue.h"
#include "policy/attempts_in_flight.h"
#include "policy/retry_budget.h"
#include "policy/retry_policy.h"
#include "policy/server_picker.h"

namespace load_balancer {

/// Admits, queues, dispatches, retries and finishes requests. An overflow request from another site is
/// dispatched only if no request of this site is queued and the request does not raise the overflow in flight
/// above the permitted fraction of the spare concurrency; otherwise it is rejected at once.
class RequestLifecycle {
 public:
  RequestLifecycle(Context& context, ServerList& servers, TrafficStatistics& traffic, SlowStart& slow_start,
                   SessionAffinity& affinity);

  void Receive(const RequestReceived& received);
  void CompleteBody(const BodyReceived& body);
  void StartStream(const StreamStarted& stream);
  void Abandon(const ClientGone& gone);
  void EndAttempt(const AttemptEnded& ended);

  /// Adapts to settings that have been replaced. Open requests keep the rules and statistics of their class.
  void HandleNewSettings(const NewSettings& change);
  void SetOverflowShare(const OverflowShare& share);
  void SetConcurrencyLimit(const ServerConcurrencyLimit& limit);
  void RefillQuotas(double elapsed) { admission_.RefillQuotas(elapsed); }

  /// Notes a change that may allow a queued request to be dispatched.
  void NotifyCapacityChange() { has_capacity_changed_ = true; }

  /// Removes overdue attempts from those in flight, and rejects queued requests that have expired.
  void HandleDue();

  /// Dispatches queued requests if capacity has changed.
  void DispatchQueued();

  bool has_queued() const { return !queue_.empty(); }
  TimePoint next_queue_expiry() const { return queue_.next_expiry(); }
  TimePoint next_overdue_attempt() const { return in_flight_.next_overdue(); }

  SpareCapacity EstimateSpareCapacity(TimePoint now) const;

 private:
  [[nodiscard]] bool HasClass(int request_class) const;
  [[nodiscard]] std::optional<RequestRules> RulesFor(const RequestReceived& received) const;
  [[nodiscard]] std::shared_ptr<ClassStatistics> StatisticsFor(int request_class) const;
  [[nodiscard]] Request NewRequest(const RequestReceived& received, const RequestRules& rules) const;
  void SetWork(const RequestReceived& received, Request* request);
  Request* Find(RequestId id);
  static Attempt* FindAttempt(Request* request, int attempt);
  Server& LastServer(const Request& request);
  bool HasCapacity(const Request& request) const;
  bool TryDispatch(Request& request);
  void Send(Request& request, Server& server, const Permission& permission);
  void StartAwaitingResponse(Request& request);
  void Retry(Request& request, bool adds_load);
  void RecordOutcome(const Request& request, const AttemptEnded& ended, Server& server);
  void RecordResponseTime(const Request& request, double took_ms, Server& server);
  void FinishWithRetryAfter(Request& request);
  void Finish(Request& request, Duration retry_after);
  void EraseIfComplete(Request& request);

  Context& context_;
  ServerList& servers_;
  TrafficStatistics& traffic_;
  SlowStart& slow_start_;
  SessionAffinity& affinity_;
  ServerPicker picker_;
  Admission admission_;
  AdmissionQueue queue_;
  AttemptsInFlight in_flight_;
  RetryBudget retry_budget_;
  std::vector<std::shared_ptr<ClassStatistics>> classes_;
  std::unordered_map<RequestId, Request> requests_;
  double max_overflow_fraction_ = 0;
  bool has_capacity_changed_ = false;
  // Time of the last rejection of a request that came from a client of this site and was never sent.
  TimePoint last_rejection_{Duration(-1e300)};
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_REQUEST_LIFECYCLE_H_
