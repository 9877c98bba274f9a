// SPDX-License-Identifier: Apache-2.0
#include "policy/attempts_in_flight.h"

namespace load_balancer {

bool AttemptsInFlight::Awaited::operator<(const Awaited& other) const {
  if (overdue_at != other.overdue_at) return overdue_at < other.overdue_at;
  if (request != other.request) return request < other.request;
  return attempt < other.attempt;
}

void AttemptsInFlight::Add(const Request& request) {
  const int attempt = static_cast<int>(request.attempts.size()) - 1;
  awaited_.insert({request.attempts.back().overdue_at, request.id, attempt});
}

bool AttemptsInFlight::Remove(const Request& request, int attempt) {
  return awaited_.erase({request.attempts[attempt].overdue_at, request.id, attempt}) > 0;
}

bool AttemptsInFlight::RemoveOverdue(TimePoint now) {
  bool is_any_overdue = false;
  while (!awaited_.empty() && awaited_.begin()->overdue_at <= now) {
    awaited_.erase(awaited_.begin());
    is_any_overdue = true;
  }
  return is_any_overdue;
}

TimePoint AttemptsInFlight::next_overdue() const {
  return awaited_.empty() ? kNever : awaited_.begin()->overdue_at;
}

}  // namespace load_balancer
