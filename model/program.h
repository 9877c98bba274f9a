// SPDX-License-Identifier: Apache-2.0
//
// The interfaces between a machine of the model and the program that runs on it. A program is one incarnation
// of a process; only the machine's disk outlives it.
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

// A datagram. Its content is a C++ object that all copies of the packet share. `bytes` is the size that the
// datagram would have on the wire.
struct Packet {
  Endpoint from;
  std::shared_ptr<const std::any> content;
  std::size_t bytes = 0;
};

// Gives a program access to the machine that it runs on.
class Host {
 public:
  virtual ~Host() = default;
  // Returns the reading of the machine's monotonic clock, which has a rate and an offset of its own.
  virtual Time Now() const = 0;
  // Returns the reading of the machine's wall clock in Unix milliseconds. It may jump.
  virtual std::uint64_t Wall() const = 0;
  // Sends a datagram of `bytes` bytes.
  virtual void Send(const Endpoint& to, std::any content, std::size_t bytes) = 0;
  // Returns the files on the machine's disk by name. The disk survives a crash unless the restart discards
  // it.
  virtual std::map<std::string, std::string>& Disk() = 0;
  // Returns the true time. It is for checks only; programs must not base decisions on it.
  virtual Moment TrueTime() const = 0;
  virtual const Endpoint& Address() const = 0;
  virtual const std::string& Name() const = 0;
};

// A process that runs on a machine.
class Program {
 public:
  virtual ~Program() = default;
  virtual void Receive(const Packet& packet) = 0;
  // Called when the machine's monotonic clock has reached Next(). The call is late after a stall.
  virtual void Tick() = 0;
  // Returns the time of the next tick, or Time::max() if there is none. The machine calls this function after
  // each call of another function of the program.
  virtual Time Next() const = 0;
};

// Creates a machine's program. Called at each start of the machine; the host outlives the program.
using ProgramFactory = std::function<std::unique_ptr<Program>(Host&)>;

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_PROGRAM_H_
