// SPDX-License-Identifier: Apache-2.0
#include "policy/admission_queue.h"

namespace load_balancer {

bool AdmissionQueue::Position::operator<(const Position& other) const {
  if (value != other.value) return value > other.value;
  if (arrived != other.arrived) return arrived > other.arrived;
  return request < other.request;
}

bool AdmissionQueue::Expiry::operator<(const Expiry& other) const {
  return at != other.at ? at < other.at : request < other.request;
}

void AdmissionQueue::Add(Request& request) {
  request.is_queued = true;
  positions_.insert(PositionOf(request));
  expiries_.insert({request.reject_at, request.id});
}

void AdmissionQueue::Remove(Request& request) {
  if (request.is_queued) positions_.erase(PositionOf(request));
  request.is_queued = false;
}

std::optional<AdmissionQueue::Position> AdmissionQueue::First() const {
  if (positions_.empty()) return std::nullopt;
  return *positions_.begin();
}

std::optional<AdmissionQueue::Position> AdmissionQueue::After(const Position& position) const {
  const auto next = positions_.upper_bound(position);
  if (next == positions_.end()) return std::nullopt;
  return *next;
}

std::optional<RequestId> AdmissionQueue::TakeExpired(TimePoint now) {
  if (expiries_.empty() || expiries_.begin()->at > now) return std::nullopt;
  const RequestId request = expiries_.begin()->request;
  expiries_.erase(expiries_.begin());
  return request;
}

TimePoint AdmissionQueue::next_expiry() const { return expiries_.empty() ? kNever : expiries_.begin()->at; }

}  // namespace load_balancer
