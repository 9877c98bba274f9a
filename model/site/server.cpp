// SPDX-License-Identifier: Apache-2.0
#include "model/site/server.h"

#include <algorithm>
#include <utility>

namespace load_balancer::model {

StandServer::StandServer(Host& host, const ServerOptions& options, Ledger& ledger)
    : host_(host), options_(options), ledger_(ledger), started_(host.Now()) {}

double StandServer::Pace() const {
  if (options_.slow_start_window <= Span(0)) return 1;
  const double up = std::chrono::duration<double>(host_.Now() - started_) / options_.slow_start_window;
  return options_.slow_start_min_share + (1 - options_.slow_start_min_share) * std::min(1.0, up);
}

void StandServer::Receive(const Packet& packet) {
  const auto* ask = std::any_cast<ServerAsk>(packet.content.get());
  if (!ask || !ledger_.First(packet.from, host_.Address(), ask->request, ask->attempt)) return;
  Job job{packet.from, *ask, host_.Now() + ask->left};
  if (running_.size() < options_.cores) return Start(std::move(job));
  if (waiting_.size() >= options_.queue) return Answer(job, Outcome::kOverloaded);
  waiting_.push_back(std::move(job));
}

void StandServer::Start(Job job) {
  ledger_.Ran(job.ask.call, job.ask.tried);
  const auto takes = std::chrono::duration<double, std::milli>(job.ask.work_ms / Pace());
  running_.emplace(host_.Now() + std::chrono::duration_cast<Span>(takes), std::move(job));
}

// Whoever nobody waits for any more is not started.
void StandServer::StartWaiting() {
  while (!waiting_.empty() && running_.size() < options_.cores) {
    Job job = std::move(waiting_.front());
    waiting_.pop_front();
    if (host_.Now() < job.due) Start(std::move(job));
  }
}

void StandServer::Tick() {
  while (!running_.empty() && running_.begin()->first <= host_.Now()) {
    Answer(running_.begin()->second, Outcome::kOk);
    running_.erase(running_.begin());
  }
  StartWaiting();
}

void StandServer::Answer(const Job& job, Outcome outcome) {
  host_.Send(job.gateway, ServerAnswer{job.ask.request, job.ask.attempt, outcome}, kAnswerBytes);
}

}  // namespace load_balancer::model
