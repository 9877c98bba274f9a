// SPDX-License-Identifier: Apache-2.0
//
// A machine of the model: its clocks, its disk, the program that runs on it, and the packets that arrive
// while it is stalled.
#ifndef LOAD_BALANCER_MODEL_MACHINE_H_
#define LOAD_BALANCER_MODEL_MACHINE_H_

#include <any>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "model/clock.h"
#include "model/program.h"

namespace load_balancer::model {

inline constexpr std::size_t kMaxQueuedPackets = 256;  // packets queued at a stalled machine

// Runs one program at a time and is the program's host.
class Machine final : public Host {
 public:
  // Provides the true time and the network to a machine.
  class Environment {
   public:
    virtual ~Environment() = default;
    virtual Moment now() const = 0;
    virtual void Send(std::size_t from, const Endpoint& to, std::any content, std::size_t bytes) = 0;
  };

  Machine(std::size_t number, std::string name, Endpoint address, ProgramFactory factory, MachineClock clock,
          Environment& environment);

  Time Now() const override { return clock_.At(environment_.now()); }
  std::uint64_t Wall() const override { return clock_.WallAt(environment_.now()); }
  void Send(const Endpoint& to, std::any content, std::size_t bytes) override;
  std::map<std::string, std::string>& Disk() override { return disk_; }
  Moment TrueTime() const override { return environment_.now(); }
  const Endpoint& Address() const override { return address_; }
  const std::string& Name() const override { return name_; }

  // Starts a new program. Clears the disk first unless `with_disk` is set.
  void Start(bool with_disk);
  // Ends the program and drops the queued packets.
  void Crash();
  // Queues packets and skips ticks until the given moment.
  void Stall(Moment until);
  void JumpWallClock(std::int64_t ms) { clock_.wall_ahead_ms += ms; }
  // Passes a packet to the program, or queues it during a stall. Returns false if the packet was dropped
  // because the machine is down or its queue is full.
  bool Receive(const Packet& packet);
  // Ends a stall: handles the queued packets and then ticks the program if it is due. Returns the number of
  // packets handled.
  std::size_t Resume();
  // Ticks the program if it is due and the machine is not stalled.
  void Tick();

  // Returns the program, or null while the machine is down.
  Program* program() const { return program_.get(); }
  bool stalled() const { return stalled_until_ > environment_.now(); }
  // Returns the moment of the next tick, or Moment::max() if there is none.
  Moment NextTick() const;

 private:
  const std::size_t number_;
  const std::string name_;
  const Endpoint address_;
  const ProgramFactory factory_;
  MachineClock clock_;
  Environment& environment_;
  std::map<std::string, std::string> disk_;
  std::deque<Packet> queue_;
  Moment stalled_until_{0};
  std::unique_ptr<Program> program_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_MACHINE_H_
