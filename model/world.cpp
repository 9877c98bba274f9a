// SPDX-License-Identifier: Apache-2.0
#include "model/world.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace load_balancer::model {
namespace {

// Between two ticks of a program that is always due.
constexpr Moment kLeastWait = std::chrono::microseconds(1);

template <typename T>
std::uint32_t Keep(T value, std::vector<T>* slab, std::vector<std::uint32_t>* free) {
  if (free->empty()) {
    slab->push_back(std::move(value));
    return static_cast<std::uint32_t>(slab->size() - 1);
  }
  const std::uint32_t slot = free->back();
  free->pop_back();
  (*slab)[slot] = std::move(value);
  return slot;
}

template <typename T>
T Take(std::uint32_t slot, std::vector<T>* slab, std::vector<std::uint32_t>* free) {
  free->push_back(slot);
  return std::exchange((*slab)[slot], T{});
}

}  // namespace

std::size_t World::Add(std::string name, const Endpoint& address, Maker maker, MachineClock clock) {
  const std::size_t number = machines_.size();
  if (!by_address_.emplace(address, number).second)
    throw std::invalid_argument("two machines at one address: " + name);
  machines_.push_back(std::make_unique<Machine>(number, std::move(name), address, std::move(maker), clock,
                                                static_cast<Machine::Surroundings&>(*this)));
  armed_.push_back(Moment::max());
  sent_.emplace_back();
  Restart(number);
  return number;
}

bool World::Defer(std::size_t machine, std::function<void()> act) {
  if (machine != running_) return false;
  At(now_, std::move(act));
  return true;
}

void World::Crash(std::size_t machine) {
  if (Defer(machine, [this, machine] { Crash(machine); })) return;
  machines_.at(machine)->Crash();
  armed_[machine] = Moment::max();
}

void World::Restart(std::size_t machine, bool with_disk) {
  if (Defer(machine, [this, machine, with_disk] { Restart(machine, with_disk); })) return;
  Crash(machine);
  Enter(machine, [&](Machine& starting) { starting.Start(with_disk); });
}

void World::Stall(std::size_t machine, Moment for_so_long) {
  machines_.at(machine)->Stall(now_ + for_so_long);
  Push(now_ + for_so_long, Kind::kResume, static_cast<std::uint32_t>(machine));
}

void World::JumpWall(std::size_t machine, std::int64_t ms) { machines_.at(machine)->JumpWall(ms); }

void World::At(Moment at, std::function<void()> act) {
  Push(std::max(at, now_), Kind::kAct, Keep(std::move(act), &acts_, &free_acts_));
}

void World::RunUntil(Moment end) {
  while (!queue_.empty() && queue_.top().at <= end) {
    const Event event = queue_.top();
    queue_.pop();
    now_ = event.at;
    Handle(event);
  }
  now_ = std::max(now_, end);
}

void World::Push(Moment at, Kind kind, std::uint32_t slot) { queue_.push({at, ++sequence_, kind, slot}); }

void World::Handle(const Event& event) {
  switch (event.kind) {
    case Kind::kDeliver:
      Record(event, parcels_[event.slot].to);
      return Deliver(event.slot);
    case Kind::kTick:
      if (armed_[event.slot] != event.at) return;
      Record(event, event.slot);
      return Tick(event.slot, event.at);
    case Kind::kResume:
      if (machines_[event.slot]->stalled()) return;
      Record(event, event.slot);
      return Enter(event.slot, [this](Machine& machine) { delivered_ += machine.Resume(); });
    case Kind::kAct:
      Record(event, 0);
      return Act(event.slot);
  }
}

void World::Deliver(std::uint32_t slot) {
  const Parcel parcel = Take(slot, &parcels_, &free_parcels_);
  Enter(parcel.to, [&](Machine& machine) {
    const bool waits = machine.stalled();
    if (!machine.Receive(parcel.packet))
      ++dropped_;
    else if (!waits)
      ++delivered_;
  });
}

void World::Tick(std::uint32_t machine, Moment at) {
  armed_[machine] = Moment::max();
  Enter(machine, [](Machine& due) { due.Tick(); });
  if (armed_[machine] != at) return;
  armed_[machine] = Moment::max();
  Arm(machine, at + kLeastWait);
}

void World::Act(std::uint32_t slot) { Take(slot, &acts_, &free_acts_)(); }

template <typename Call>
void World::Enter(std::size_t machine, Call call) {
  const std::size_t before = std::exchange(running_, machine);
  call(*machines_[machine]);
  running_ = before;
  Arm(machine, now_);
}

// An earlier tick that is armed already finds out by itself that nothing is due yet.
void World::Arm(std::size_t machine, Moment least) {
  const Moment due = machines_[machine]->Due();
  if (due == Moment::max() || armed_[machine] <= due) return;
  armed_[machine] = std::max(due, least);
  Push(armed_[machine], Kind::kTick, static_cast<std::uint32_t>(machine));
}

void World::Send(std::size_t from, const Endpoint& to, std::any content, std::size_t bytes) {
  ++sent_[from].packets;
  sent_[from].bytes += bytes;
  const auto found = by_address_.find(to);
  if (found != by_address_.end()) network_.Fates(from, found->second, random_, &delays_);
  if (found == by_address_.end() || delays_.empty()) {
    ++dropped_;
    return;
  }
  const Packet packet{machines_[from]->Address(), std::make_shared<const std::any>(std::move(content)),
                      bytes};
  for (const Moment delay : delays_)
    Push(now_ + delay, Kind::kDeliver, Keep(Parcel{packet, found->second}, &parcels_, &free_parcels_));
}

void World::Record(const Event& event, std::size_t who) {
  ++events_;
  const std::array<std::uint64_t, 4> words{static_cast<std::uint64_t>(event.at.count()), event.sequence,
                                           static_cast<std::uint64_t>(event.kind), who};
  history_ = XXH64(words.data(), sizeof words, history_);
}

}  // namespace load_balancer::model
