// SPDX-License-Identifier: Apache-2.0
//
// What clients, gateways and servers of the model say to each other. It stands for requests over connections:
// whoever receives a packet twice takes it once.
#ifndef LOAD_BALANCER_MODEL_SITE_TRAFFIC_H_
#define LOAD_BALANCER_MODEL_SITE_TRAFFIC_H_

#include <cstdint>
#include <string>

#include "load_balancer/balancer.h"
#include "model/program.h"

namespace load_balancer::model {

using CallId = std::uint64_t;  // of one request of one client, the same in all its tries

// One try of a request.
struct ClientAsk {
  CallId call = 0;
  int tried = 0;  // from 0
  int request_class = 0, tenant = 0;
  std::uint64_t key = 0;  // 0: none
  double work_ms = 0;     // hinted; on a standard core
  Span left{0};           // until the client gives this try up
  std::string mark;       // the header of a spilled request; empty: it has none
};
enum class Ending { kServed, kRefused, kFailed, kExpired };
struct ClientAnswer {
  CallId call = 0;
  int tried = 0;
  Ending ending = Ending::kServed;
  Span retry_after{0};   // of kRefused; 0: no advice
  std::string estimate;  // the header of an answer to a spilled request; empty: it has none
};

struct ServerAsk {
  CallId call = 0;
  int tried = 0;
  RequestId request = 0;  // the gateway's
  int attempt = 0;
  double work_ms = 0;
  Span left{0};
};
struct ServerAnswer {
  RequestId request = 0;
  int attempt = 0;
  Outcome outcome = Outcome::kOk;  // kOk or kFull
};

inline constexpr std::size_t kAskBytes = 600, kAnswerBytes = 300;

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SITE_TRAFFIC_H_
