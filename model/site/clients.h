// SPDX-License-Identifier: Apache-2.0
//
// The clients of one place: requests at random moments, of classes and partners in stated shares, sent to
// gateways at random, tried again where that is harmless.
#ifndef LOAD_BALANCER_MODEL_SITE_CLIENTS_H_
#define LOAD_BALANCER_MODEL_SITE_CLIENTS_H_

#include <map>
#include <random>
#include <string>
#include <vector>

#include "model/site/ledger.h"
#include "model/site/traffic.h"

namespace load_balancer::model {

struct ClientOptions {
  int site = 0;
  std::vector<Endpoint> gateways;
  double per_s = 10;                       // requests, a Poisson process
  std::vector<ClassSettings> classes{{}};  // deadline, effect and worth are read
  std::vector<double> class_shares{1};     // of the requests
  std::vector<double> tenant_shares{1};
  double work_ms = 10;     // in the mean, exponential
  std::uint64_t keys = 0;  // each request has one of them; 0: none has
  double marked = 0;       // share that has `mark`, which is not theirs to have
  std::string mark;
  int most_tries = 1;                            // after a refusal
  Span backoff{std::chrono::milliseconds(200)};  // without advice, times 1 to 2
  std::uint64_t seed = 0;
};

class ClientPool : public Program {
 public:
  // `ledger` outlives this.
  ClientPool(Host& host, ClientOptions options, Ledger& ledger);

  void Receive(const Packet& packet) override;
  void Tick() override;
  Time Next() const override { return wakes_.empty() ? Time::max() : wakes_.begin()->first; }

  // From now on. To be called from outside its own calls; what is due is seen at its next tick.
  void SetRate(double per_s) { options_.per_s = per_s; }
  std::size_t open() const { return open_.size(); }
  void SetTenants(std::vector<double> shares) { options_.tenant_shares = std::move(shares); }

 private:
  struct Open {
    ClientAsk ask;
    Endpoint gateway;
    bool waits = false;  // for its next try
  };
  static constexpr CallId kNew = 0;  // the wake for the next new request

  void Begin();
  void Send(CallId call);
  void OnWake(CallId call, int tried);
  void End(CallId call, Ending ending);
  Span UntilNext();
  int Pick(const std::vector<double>& shares);

  Host& host_;
  ClientOptions options_;
  Ledger& ledger_;
  std::mt19937_64 random_;
  CallId last_;
  std::map<CallId, Open> open_;
  std::multimap<Time, std::pair<CallId, int>> wakes_;  // a deadline of a try, or the next try's time
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SITE_CLIENTS_H_
