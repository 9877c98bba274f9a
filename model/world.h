// SPDX-License-Identifier: Apache-2.0
//
// Machines and a network between them in virtual time. A run is a function of the seed and of what is called:
// events happen in the order of their moments, equal ones in the order in which they were made.
#ifndef LOAD_BALANCER_MODEL_WORLD_H_
#define LOAD_BALANCER_MODEL_WORLD_H_

#include <any>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/clock.h"
#include "model/machine.h"
#include "model/network.h"
#include "model/program.h"

namespace load_balancer::model {

class World : private Machine::Surroundings {
 public:
  explicit World(std::uint64_t seed) : random_(seed) {}
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Moment now() const override { return now_; }
  std::mt19937_64& random() { return random_; }
  Network& network() { return network_; }

  // Starts at once. Throws std::invalid_argument if another machine has the address.
  std::size_t Add(std::string name, const Endpoint& address, Maker maker, MachineClock clock = {});
  std::size_t size() const { return machines_.size(); }
  // Of what waits at the machine nothing is left. From within a call of its own program it takes effect
  // after that call.
  void Crash(std::size_t machine);
  // Of one that runs, a crash before.
  void Restart(std::size_t machine, bool with_disk = true);
  // It receives nothing and is not ticked, while its clock runs; then it handles what waited, in order, and
  // then what is due. A restart ends it.
  void Stall(std::size_t machine, Moment for_so_long);
  void JumpWall(std::size_t machine, std::int64_t ms);
  Program* program(std::size_t machine) { return machines_.at(machine)->program(); }  // null while down
  bool stalled(std::size_t machine) const { return machines_.at(machine)->stalled(); }
  Host& host(std::size_t machine) { return *machines_.at(machine); }

  // Anything else of the scenario. A moment that is past counts as now.
  void At(Moment at, std::function<void()> act);
  // All up to this moment, it included.
  void RunUntil(Moment end);

  // Packets that programs have received; those that nobody has; the packets and bytes that a machine sent.
  std::uint64_t delivered() const { return delivered_; }
  std::uint64_t dropped() const { return dropped_; }
  std::uint64_t packets(std::size_t sent_by) const { return sent_.at(sent_by).packets; }
  std::uint64_t bytes(std::size_t sent_by) const { return sent_.at(sent_by).bytes; }
  // Events so far, and a digest (xxHash) of all of them in order.
  std::uint64_t events() const { return events_; }
  std::uint64_t history() const { return history_; }

 private:
  enum class Kind : std::uint32_t { kDeliver, kTick, kResume, kAct };
  struct Event {
    Moment at;
    std::uint64_t sequence;
    Kind kind;
    std::uint32_t slot;  // of the parcel or act, or the machine
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  struct Parcel {
    Packet packet;
    std::size_t to = 0;
  };
  struct Sent {
    std::uint64_t packets = 0, bytes = 0;
  };

  void Send(std::size_t from, const Endpoint& to, std::any content, std::size_t bytes) override;
  void Push(Moment at, Kind kind, std::uint32_t slot);
  void Handle(const Event& event);
  void Deliver(std::uint32_t slot);
  void Tick(std::uint32_t machine, Moment at);
  void Act(std::uint32_t slot);
  // Runs what calls a program, and arms its machine anew.
  template <typename Call>
  void Enter(std::size_t machine, Call call);
  void Arm(std::size_t machine, Moment least);
  bool Defer(std::size_t machine, std::function<void()> act);
  void Record(const Event& event, std::size_t who);

  std::mt19937_64 random_;
  Network network_;
  Moment now_{0};
  std::uint64_t sequence_ = 0, delivered_ = 0, dropped_ = 0, events_ = 0, history_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  std::vector<Parcel> parcels_;
  std::vector<std::function<void()>> acts_;
  std::vector<std::uint32_t> free_parcels_, free_acts_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::unordered_map<Endpoint, std::size_t> by_address_;  // looked up only, never walked
  std::vector<Moment> armed_;                             // of each machine's next tick; max: none
  std::vector<Sent> sent_;
  std::vector<Moment> delays_;
  std::size_t running_ = SIZE_MAX;  // whose program is in a call
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_WORLD_H_
