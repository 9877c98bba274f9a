// SPDX-License-Identifier: Apache-2.0
/// @file
/// Admission control: how much this proxy has in flight, and the value of each request.
#ifndef LOAD_BALANCER_SRC_POLICY_ADMISSION_H_
#define LOAD_BALANCER_SRC_POLICY_ADMISSION_H_

#include <vector>

#include "policy/server_list.h"
#include "policy/traffic_statistics.h"

namespace load_balancer {

/// Limits the attempts in flight, sheds load where the limit is too coarse, and values requests.
class Admission {
 public:
  Admission(Context& context, const ServerList& servers, TrafficStatistics& traffic)
      : context_(context), servers_(servers), traffic_(traffic) {}

  /// The limit on attempts in flight, for when the whole fleet is slow. By Little's law these are the
  /// responses a ms times their time: what takes more than a part of the latency objective at the rate of
  /// late could only queue at servers, and so could what takes a multiple of the uncrowded time. Attempts
  /// whose response is overdue do not count. Requests are counted, not weighed: a huge one must neither be
  /// shut out nor shut out others.
  [[nodiscard]] double Limit() const;

  /// The time in ms that a request may take at that limit.
  [[nodiscard]] double MaxResponseTime() const;

  /// Whether to shed the request at random, by how crowded servers are. Only where traffic is sparse and a
  /// limit of one or two in flight would be too coarse. Requests over their tenant's quota go first.
  [[nodiscard]] bool ShouldShed(const Request& request) const;

  /// Sets Request::value and charges the tenant's quota. `objective` is what is left of the latency
  /// objective: what is too large to be in time even alone is worth less, as it must not take the place of
  /// others.
  void SetValue(const RequestReceived& received, Duration objective, Request* request);

  /// The part of a request's latency objective that had passed before it arrived here, as far as its deadline
  /// tells: a client's last retry has what is left of its deadline, all others of a class have the same time.
  Duration ElapsedBeforeArrival(const RequestReceived& received, ClassStatistics& statistics) const;

  /// Refills the tenants' quotas for `elapsed` ms.
  void RefillQuotas(double elapsed);

  void HandleNewSettings(const std::vector<int>& previous_tenant_indices);

 private:
  [[nodiscard]] double MinLimit() const;
  [[nodiscard]] double Pressure() const;
  bool TakeQuota(int tenant, QuotaStatus status);

  Context& context_;
  const ServerList& servers_;
  TrafficStatistics& traffic_;
  std::vector<double> quota_tokens_;  // by tenant
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_ADMISSION_H_
