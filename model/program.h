// SPDX-License-Identifier: Apache-2.0
//
// What runs on a machine of the model, and what it sees of it. A program is one life of a process; only the
// machine's disk outlives it.
#ifndef LOAD_BALANCER_MODEL_PROGRAM_H_
#define LOAD_BALANCER_MODEL_PROGRAM_H_

#include <any>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"

namespace load_balancer::model {

using Moment = std::chrono::nanoseconds;  // true time since the run's start
using Endpoint = boost::asio::ip::udp::endpoint;

// A datagram. Its content is typed and shared by all copies of it; `bytes` is what it would take on the wire.
struct Packet {
  Endpoint from;
  std::shared_ptr<const std::any> content;
  std::size_t bytes = 0;
};

class Host {
 public:
  virtual ~Host() = default;
  // The machine's monotonic clock, of its own rate and offset.
  virtual Time Now() const = 0;
  // Its wall clock, Unix milliseconds; may jump.
  virtual std::uint64_t Wall() const = 0;
  virtual void Send(const Endpoint& to, std::any content, std::size_t bytes) = 0;
  // Outlives crashes, unless the restart is without it.
  virtual std::map<std::string, std::string>& Disk() = 0;
  // For checks only, never for decisions.
  virtual Moment True() const = 0;
  virtual const Endpoint& Address() const = 0;
  virtual const std::string& Name() const = 0;
};

class Program {
 public:
  virtual ~Program() = default;
  virtual void Receive(const Packet& packet) = 0;
  // Called at Next() of the machine's clock or soon after; late after a stall.
  virtual void Tick() = 0;
  // Time::max(): nothing is due. Asked after each call of the program.
  virtual Time Next() const = 0;
};

// Called at each start. The host outlives the program.
using Maker = std::function<std::unique_ptr<Program>(Host&)>;

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_PROGRAM_H_
