// SPDX-License-Identifier: Apache-2.0
//
// The requests that this process has received and not yet completed.
#ifndef LOAD_BALANCER_PROXY_CORE_PENDING_H_
#define LOAD_BALANCER_PROXY_CORE_PENDING_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>

#include "backends.h"
#include "body.h"
#include "clients.h"
#include "clock.h"
#include "core/request_ids.h"
#include "load_balancer/balancer.h"
#include "quota/account.h"
#include "request.h"

namespace load_balancer::proxy {

// PendingRequest is a request that has no final response yet, or that still has an outstanding attempt.
struct PendingRequest {
  std::shared_ptr<const HttpRequest> message;
  MemoryBudget::Reservation reservation;  // memory of a completely buffered body
  std::shared_ptr<BodySource> body;       // a streamed body; null if the body is buffered
  RequestRules rules;
  Steady::time_point due{};
  std::shared_ptr<Responder> responder;  // null once the request has its final response
  std::uint64_t key = 0;
  RequestIds::Key id_key = 0;           // of the Req-Id if the request must not run twice; otherwise 0
  bool has_client_left = false;         // before the end of the response
  quota::ChargeReceipt charge_receipt;  // the charge to the tenant's budget
  RequestReceived received;             // the event that the module got
  TimePoint arrived_at{};
  int attempts = 0;  // number of attempts, including those that could not be sent
  bool has_outstanding_attempt = false;
  bool may_begin_attempt = true;  // false once it is unknown whether the client is still there
  AttemptId last_attempt = 0;
  bool may_have_run = false;       // an attempt that has ended, or another site, may have run the request
  Steady::time_point sent_at{};    // when the last attempt or the last byte of the request was sent
  Duration time_to_first_byte{0};  // of a streamed response; 0 if none has started
};

class PendingRequests {
 public:
  // `ids` must outlive this object.
  explicit PendingRequests(RequestIds& ids) : ids_(ids) {}

  // Returns a new id. A request that is answered before Add has an id as well.
  RequestId NextId() { return ++last_id_; }
  void Add(RequestId id, PendingRequest request) { requests_.emplace(id, std::move(request)); }

  // Returns null if there is no such request.
  PendingRequest* Find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  // Returns the responder, through which the caller gives the final response. Returns null if there is no
  // such request or if its responder has been taken.
  std::shared_ptr<Responder> TakeResponder(RequestId id) {
    PendingRequest* const request = Find(id);
    if (!request || !request->responder) return nullptr;
    request->has_client_left |= request->id_key != 0 && request->responder->HasClientLeft();
    return std::exchange(request->responder, nullptr);
  }
  // Erases the request if its responder has been taken and it has no outstanding attempt.
  void EraseIfComplete(RequestId id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    const PendingRequest& request = found->second;
    if (request.responder || request.has_outstanding_attempt) return;
    if (request.id_key != 0) UpdateId(request);
    requests_.erase(found);
  }

  std::size_t size() const { return requests_.size(); }

 private:
  void UpdateId(const PendingRequest& request) {
    if (!request.may_have_run) return ids_.Release(request.id_key);
    if (!request.has_client_left) ids_.OnAnswered(request.id_key, request.due);
  }

  RequestIds& ids_;
  RequestId last_id_ = 0;
  std::unordered_map<RequestId, PendingRequest> requests_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CORE_PENDING_H_
