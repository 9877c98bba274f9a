// SPDX-License-Identifier: Apache-2.0
//
// One machine: its clocks, its disk, the program that runs on it, and what waits while it stands still.
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

inline constexpr std::size_t kMostQueued = 256;  // packets that wait at a machine that stands still

class Machine final : public Host {
 public:
  // What is around a machine.
  class Surroundings {
   public:
    virtual ~Surroundings() = default;
    virtual Moment now() const = 0;
    virtual void Send(std::size_t from, const Endpoint& to, std::any content, std::size_t bytes) = 0;
  };

  Machine(std::size_t number, std::string name, Endpoint address, Maker maker, MachineClock clock,
          Surroundings& around);

  Time Now() const override { return clock_.At(around_.now()); }
  std::uint64_t Wall() const override { return clock_.WallAt(around_.now()); }
  void Send(const Endpoint& to, std::any content, std::size_t bytes) override;
  std::map<std::string, std::string>& Disk() override { return disk_; }
  Moment True() const override { return around_.now(); }
  const Endpoint& Address() const override { return address_; }
  const std::string& Name() const override { return name_; }

  void Start(bool with_disk);
  void Crash();
  void Stall(Moment until);
  void JumpWall(std::int64_t ms) { clock_.wall_ms += ms; }
  // False: dropped, as it is down, or too much waits already.
  bool Receive(const Packet& packet);
  // Its stall is over: what waited, then what is due. Returns packets that were handled.
  std::size_t Resume();
  // What is due by now.
  void Tick();

  Program* program() const { return program_.get(); }
  bool stalled() const { return stalled_until_ > around_.now(); }
  // When it is to be ticked next; Moment::max(): not at all.
  Moment Due() const;

 private:
  const std::size_t number_;
  const std::string name_;
  const Endpoint address_;
  const Maker maker_;
  MachineClock clock_;
  Surroundings& around_;
  std::map<std::string, std::string> disk_;
  std::deque<Packet> queue_;
  Moment stalled_until_{0};
  std::unique_ptr<Program> program_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_MACHINE_H_
