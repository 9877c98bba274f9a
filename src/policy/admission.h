// SPDX-License-Identifier: Apache-2.0
/// @file
/// Admission control: limits the attempts in flight of this proxy and determines the value of each request.
#ifndef LOAD_BALANCER_SRC_POLICY_ADMISSION_H_
#define LOAD_BALANCER_SRC_POLICY_ADMISSION_H_

#include <vector>

#include "policy/server_list.h"
#include "policy/traffic_statistics.h"

namespace load_balancer {

/// Limits the attempts in flight, sheds load where that limit is too coarse, and computes the values by which
/// requests are ordered.
class Admission {
 public:
  Admission(Context& context, const ServerList& servers, TrafficStatistics& traffic)
      : context_(context), servers_(servers), traffic_(traffic) {}

  /// Returns the limit on attempts in flight, which protects a fleet that is slow as a whole. By Little's law
  /// it is the recent rate of responses times MaxResponseTime(), with an allowance for random arrivals and a
  /// minimum. Attempts beyond it would only queue at servers. Attempts whose response is overdue do not
  /// count. Each request counts as one, whatever its work, so that the limit never blocks a huge request and
  /// a huge request does not use up the limit alone.
  [[nodiscard]] double Limit() const;

  /// Returns the response time in ms on which Limit() is based: a fraction of the latency objective, but no
  /// more than a multiple of the response time of servers without queues.
  [[nodiscard]] double MaxResponseTime() const;

  /// Decides at random whether to shed the request. The probability rises with the load of the servers, and
  /// is higher for requests over their tenant's quota. Sheds only if traffic is sparse, because a limit of
  /// one or two attempts in flight is then too coarse.
  [[nodiscard]] bool ShouldShed(const Request& request) const;

  /// Sets Request::value and charges the tenant's quota. `objective` is the remaining part of the latency
  /// objective. A request that would exceed the objective even at an idle server gets a lower value, so that
  /// it does not displace requests that can be in time.
  void SetValue(const RequestReceived& received, Duration objective, Request* request);

  /// Estimates how much of a request's latency objective had passed before the request arrived here. The
  /// requests of a class usually arrive with the same remaining time. A shorter remaining time indicates a
  /// client's last retry, whose time-out is cut off by the client's deadline.
  [[nodiscard]] Duration ElapsedBeforeArrival(const RequestReceived& received, const Request& request) const;

  /// Adds the tokens of `elapsed` ms to the tenants' quotas.
  void RefillQuotas(double elapsed);

  void HandleNewSettings(const std::vector<int>& previous_tenant_indices);

 private:
  [[nodiscard]] double MinLimit() const;
  [[nodiscard]] double Pressure() const;
  bool ChargeQuota(int tenant, QuotaStatus status);

  Context& context_;
  const ServerList& servers_;
  TrafficStatistics& traffic_;
  std::vector<double> quota_tokens_;  // by tenant
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_ADMISSION_H_
