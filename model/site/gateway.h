// SPDX-License-Identifier: Apache-2.0
//
// A gateway: the real decision module, driven as src/proxy/proxy.cpp drives it, beside its fleet's side. What
// is built on it (spill, quota) derives from it.
#ifndef LOAD_BALANCER_MODEL_SITE_GATEWAY_H_
#define LOAD_BALANCER_MODEL_SITE_GATEWAY_H_

#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "load_balancer/balancer.h"
#include "model/fleet/program.h"
#include "model/site/ledger.h"
#include "model/site/traffic.h"

namespace load_balancer::model {

struct GatewayOptions {
  Settings settings;
  std::vector<Endpoint> servers;  // number 1 and up, all ready
  std::uint64_t seed = 0;
};

class GatewayProgram : public FleetProgram {
 public:
  // `ledger` outlives this.
  GatewayProgram(Host& host, const FleetSetup& setup, const GatewayOptions& options, Ledger& ledger);

  void Tick() override;
  Time Next() const override;

  // Of discovery, of operators, or of a part beside the module.
  void Feed(Event event);
  const Balancer& balancer() const { return balancer_; }
  // Requests that are not over, and of them those without an answer whose time was up before `by`, by this
  // machine's clock.
  std::size_t open() const { return requests_.size(); }
  std::size_t Overdue(Time by) const;

 protected:
  struct Request {
    ClientAsk ask;
    Endpoint client;
    Time due{};
    RequestReceived received;  // as the module has it
    Time came{};
    bool answered = false;
    bool attempt_out = false;
    int attempts = 0;
    Time sent_at{};
    bool may_have_run = false;  // an attempt that ended, or a neighbour that has it, may have run it
  };

  // Before the module hears of it: may set its share, or that it is spilled. False: it has had its answer.
  virtual bool OnArrival(RequestId, Request&) { return true; }
  // The module has refused it. True: taken over, and whoever did calls Finish.
  virtual bool OnRefused(RequestId, Request&, Span /*retry_after*/) { return false; }
  // It ends without an answer of a server: the module has failed it, or nobody waits for it any longer.
  virtual void OnFailed(RequestId, const Request&) {}
  virtual void OnGone(RequestId, const Request&) {}
  // Anything that is no request and no answer of a server.
  virtual void OnPacket(const Packet&) {}

  // The one final answer; nothing if there was one already.
  void Finish(RequestId id, Ending ending, Span retry_after = Span(0));
  void ForgetIfOver(RequestId id);
  // Nothing more comes of it.
  virtual void OnForgotten(RequestId) {}
  // Of answers to spilled requests.
  virtual std::string EstimateText() const { return ""; }
  Request* Find(RequestId id);
  Host& host() const { return host_; }
  static TimePoint PointOf(Time time);

 private:
  struct Wake {
    enum class Kind { kModule, kDue, kAttempt } kind = Kind::kModule;
    std::uint64_t id = 0;  // the module's token, or the request
    int attempt = 0;
  };

  void ReceiveOther(const Packet& packet) override;
  void OnAsk(const Packet& packet, const ClientAsk& ask);
  void OnEnded(RequestId id, int attempt, Outcome outcome);
  void OnWake(const Wake& wake);

  void Do(const Dispatch& action);
  void Do(const Reject& action);
  void Do(const FailRequest& action);
  void Do(const SetTimer& action);
  void Do(const Subscribe&) { Feed(ListUpdate{ListKind::kDelta, {}}); }
  void Do(const CloseIdle&) {}
  void Do(const Log&) {}
  void Do(const Ejected& action);

  Host& host_;
  const GatewayOptions options_;
  Ledger& ledger_;
  Balancer balancer_;
  std::deque<Event> events_;
  bool handling_ = false;
  RequestId last_;  // those of two lives differ
  std::map<RequestId, Request> requests_;
  std::map<RequestId, std::pair<int, ServerId>> out_;  // the attempt under way
  std::multimap<Time, Wake> wakes_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SITE_GATEWAY_H_
