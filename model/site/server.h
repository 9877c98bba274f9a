// SPDX-License-Identifier: Apache-2.0
//
// A stand server: so many cores, a bounded queue in order of arrival, slower for a while after its start.
#ifndef LOAD_BALANCER_MODEL_SITE_SERVER_H_
#define LOAD_BALANCER_MODEL_SITE_SERVER_H_

#include <deque>
#include <map>

#include "model/site/ledger.h"
#include "model/site/traffic.h"

namespace load_balancer::model {

struct ServerOptions {
  std::size_t cores = 4;            // requests at a time, each at its own pace
  std::size_t queue = 32;           // that wait; more are answered as full
  double slow_start_min_share = 1;  // a server that starts has this share of its pace
  Span slow_start_window{0};        // and all of it after this time, linearly
};

class StandServer : public Program {
 public:
  // `ledger` outlives this.
  StandServer(Host& host, const ServerOptions& options, Ledger& ledger);

  void Receive(const Packet& packet) override;
  void Tick() override;
  Time Next() const override { return running_.empty() ? Time::max() : running_.begin()->first; }

 private:
  struct Job {
    Endpoint gateway;
    ServerAsk ask;
    Time due{};
  };
  void Start(Job job);
  void StartWaiting();
  void Answer(const Job& job, Outcome outcome);
  double Pace() const;

  Host& host_;
  const ServerOptions options_;
  Ledger& ledger_;
  const Time started_;
  std::multimap<Time, Job> running_;  // by their ends
  std::deque<Job> waiting_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SITE_SERVER_H_
