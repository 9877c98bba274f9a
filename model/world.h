// SPDX-License-Identifier: Apache-2.0
//
// Machines and the network between them, simulated in virtual time. A run is determined by the seed and by
// the calls that the test makes. Events happen in the order of their moments. Events of the same moment
// happen in the order in which they were scheduled.
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

// Runs machines and delivers packets between them.
class World : private Machine::Environment {
 public:
  explicit World(std::uint64_t seed) : random_(seed) {}
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Moment now() const override { return now_; }
  std::mt19937_64& random() { return random_; }
  Network& network() { return network_; }

  // Adds a machine, starts its program and returns its number. Throws std::invalid_argument if another
  // machine has the address.
  std::size_t Add(std::string name, const Endpoint& address, ProgramFactory factory, MachineClock clock = {});
  std::size_t size() const { return machines_.size(); }
  // Ends the machine's program and drops its queued packets. If the program itself makes this call, the crash
  // happens after the program's current call.
  void Crash(std::size_t machine);
  // Starts a machine; crashes it before if it is running.
  void Restart(std::size_t machine, bool with_disk = true);
  // Stalls a machine: its clocks run, but its program receives no packets and is not ticked. After the stall
  // the program receives the queued packets in order and is then ticked if due. A restart ends the stall.
  void Stall(std::size_t machine, Moment duration);
  // Moves a machine's wall clock by `ms` milliseconds.
  void JumpWallClock(std::size_t machine, std::int64_t ms);
  Program* program(std::size_t machine) {
    return machines_.at(machine)->program();
  }  // null while the machine is down
  bool stalled(std::size_t machine) const { return machines_.at(machine)->stalled(); }
  Host& host(std::size_t machine) { return *machines_.at(machine); }

  // Schedules an action of the test. If the moment has passed, the action runs now.
  void At(Moment at, std::function<void()> action);
  // Handles all events up to and including this moment.
  void RunUntil(Moment end);

  // Return the number of packets that programs have received, the number that were dropped, and the packets
  // and bytes that a machine has sent.
  std::uint64_t delivered() const { return delivered_; }
  std::uint64_t dropped() const { return dropped_; }
  std::uint64_t packets(std::size_t sent_by) const { return sent_.at(sent_by).packets; }
  std::uint64_t bytes(std::size_t sent_by) const { return sent_.at(sent_by).bytes; }
  // Return the number of events so far, and a digest (xxHash) of all of them in order.
  std::uint64_t events() const { return events_; }
  std::uint64_t event_digest() const { return event_digest_; }

 private:
  enum class Kind : std::uint32_t { kDeliver, kTick, kResume, kAction };
  struct Event {
    Moment at;
    std::uint64_t sequence;
    Kind kind;
    std::uint32_t slot;  // index of the delivery, of the action or of the machine
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  struct Delivery {
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
  void RunAction(std::uint32_t slot);
  // Runs `call`, which calls into a machine's program, and then schedules the machine's next tick.
  template <typename Call>
  void CallProgram(std::size_t machine, Call call);
  // Schedules the machine's next tick, at `earliest` or later.
  void ScheduleTick(std::size_t machine, Moment earliest);
  // If the machine's program is in a call, schedules the action for the current moment and returns true.
  // Otherwise returns false.
  bool Defer(std::size_t machine, std::function<void()> action);
  void Record(const Event& event, std::size_t machine);

  std::mt19937_64 random_;
  Network network_;
  Moment now_{0};
  std::uint64_t sequence_ = 0, delivered_ = 0, dropped_ = 0, events_ = 0, event_digest_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  std::vector<Delivery> deliveries_;
  std::vector<std::function<void()>> actions_;
  std::vector<std::uint32_t> free_deliveries_, free_actions_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::unordered_map<Endpoint, std::size_t> by_address_;  // must not be iterated: its order is unspecified
  std::vector<Moment> next_ticks_;                        // by machine; Moment::max() means none
  std::vector<Sent> sent_;
  std::vector<Moment> delays_;
  std::size_t current_machine_ = SIZE_MAX;  // the machine whose program is in a call; SIZE_MAX means none
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_WORLD_H_
