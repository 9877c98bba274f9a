// SPDX-License-Identifier: Apache-2.0
//
// The requests that this process holds.
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
#include "load_balancer/balancer.h"
#include "quota/account.h"
#include "request.h"

namespace load_balancer::proxy {

// From its Submit until it has its answer and no attempt is out.
struct Pending {
  std::shared_ptr<const HttpRequest> message;
  Buffers::Reservation hold;         // of its body; or
  std::shared_ptr<BodySource> body;  // what follows of it
  RequestRules rules;
  Steady::time_point due{};
  std::shared_ptr<Responder> responder;  // null once answered
  std::uint64_t key = 0;
  quota::ChargeReceipt charge_receipt;  // of what was charged to its owner's budget
  RequestReceived received;             // as the module was told
  TimePoint came{};
  int attempts = 0;
  bool attempt_out = false;
  AttemptId attempt = 0;         // the last that was sent
  bool may_have_run = false;     // an attempt that ended, or a neighbour that has it, may have run it
  Steady::time_point sent_at{};  // the attempt, or the request's last byte
  Duration first_bytes{0};       // until an answer that is passed on began
};

class PendingRequests {
 public:
  // Also for what is answered before it is held.
  RequestId NextId() { return ++last_; }
  void Open(RequestId request, Pending pending) { open_.emplace(request, std::move(pending)); }

  // Null if it is not held.
  Pending* Find(RequestId request) {
    const auto found = open_.find(request);
    return found == open_.end() ? nullptr : &found->second;
  }
  // Ends the request: whoever gets the responder gives the one final answer. Null if it has been given.
  std::shared_ptr<Responder> Conclude(RequestId request) {
    Pending* const pending = Find(request);
    return pending ? std::exchange(pending->responder, nullptr) : nullptr;
  }
  void ForgetIfOver(RequestId request) {
    const auto found = open_.find(request);
    if (found != open_.end() && !found->second.responder && !found->second.attempt_out) open_.erase(found);
  }

  std::size_t size() const { return open_.size(); }

 private:
  RequestId last_ = 0;
  std::unordered_map<RequestId, Pending> open_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CORE_PENDING_H_
