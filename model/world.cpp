// SPDX-License-Identifier: Apache-2.0
#include "model/world.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace load_balancer::model {
namespace {

// The minimum interval between ticks, for programs that are always due.
constexpr Moment kMinTickInterval = std::chrono::microseconds(1);

// Stores the value in a free slot and returns its index.
template <typename T>
std::uint32_t Store(T value, std::vector<T>* slots, std::vector<std::uint32_t>* free) {
  if (free->empty()) {
    slots->push_back(std::move(value));
    return static_cast<std::uint32_t>(slots->size() - 1);
  }
  const std::uint32_t slot = free->back();
  free->pop_back();
  (*slots)[slot] = std::move(value);
  return slot;
}

// Removes the value from its slot and frees the slot.
template <typename T>
T Take(std::uint32_t slot, std::vector<T>* slots, std::vector<std::uint32_t>* free) {
  free->push_back(slot);
  return std::exchange((*slots)[slot], T{});
}

}  // namespace

std::size_t World::Add(std::string name, const Endpoint& address, ProgramFactory factory,
                       MachineClock clock) {
  const std::size_t number = machines_.size();
  if (!by_address_.emplace(address, number).second)
    throw std::invalid_argument("the address is used by another machine: " + name);
  machines_.push_back(std::make_unique<Machine>(number, std::move(name), address, std::move(factory), clock,
                                                static_cast<Machine::Environment&>(*this)));
  next_ticks_.push_back(Moment::max());
  sent_.emplace_back();
  Restart(number);
  return number;
}

bool World::Defer(std::size_t machine, std::function<void()> action) {
  if (machine != current_machine_) return false;
  At(now_, std::move(action));
  return true;
}

void World::Crash(std::size_t machine) {
  if (Defer(machine, [this, machine] { Crash(machine); })) return;
  machines_.at(machine)->Crash();
  next_ticks_[machine] = Moment::max();
}

void World::Restart(std::size_t machine, bool with_disk) {
  if (Defer(machine, [this, machine, with_disk] { Restart(machine, with_disk); })) return;
  Crash(machine);
  CallProgram(machine, [&](Machine& starting) { starting.Start(with_disk); });
}

void World::Stall(std::size_t machine, Moment duration) {
  machines_.at(machine)->Stall(now_ + duration);
  Push(now_ + duration, Kind::kResume, static_cast<std::uint32_t>(machine));
}

void World::JumpWallClock(std::size_t machine, std::int64_t ms) { machines_.at(machine)->JumpWallClock(ms); }

void World::At(Moment at, std::function<void()> action) {
  Push(std::max(at, now_), Kind::kAction, Store(std::move(action), &actions_, &free_actions_));
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
      Record(event, deliveries_[event.slot].to);
      return Deliver(event.slot);
    case Kind::kTick:
      if (next_ticks_[event.slot] != event.at) return;
      Record(event, event.slot);
      return Tick(event.slot, event.at);
    case Kind::kResume:
      if (machines_[event.slot]->stalled()) return;
      Record(event, event.slot);
      return CallProgram(event.slot, [this](Machine& machine) { delivered_ += machine.Resume(); });
    case Kind::kAction:
      Record(event, 0);
      return RunAction(event.slot);
  }
}

void World::Deliver(std::uint32_t slot) {
  const Delivery delivery = Take(slot, &deliveries_, &free_deliveries_);
  CallProgram(delivery.to, [&](Machine& machine) {
    const bool was_stalled = machine.stalled();
    if (!machine.Receive(delivery.packet))
      ++dropped_;
    else if (!was_stalled)
      ++delivered_;
  });
}

void World::Tick(std::uint32_t machine, Moment at) {
  next_ticks_[machine] = Moment::max();
  CallProgram(machine, [](Machine& due) { due.Tick(); });
  if (next_ticks_[machine] != at) return;
  next_ticks_[machine] = Moment::max();
  ScheduleTick(machine, at + kMinTickInterval);
}

void World::RunAction(std::uint32_t slot) { Take(slot, &actions_, &free_actions_)(); }

template <typename Call>
void World::CallProgram(std::size_t machine, Call call) {
  const std::size_t before = std::exchange(current_machine_, machine);
  call(*machines_[machine]);
  current_machine_ = before;
  ScheduleTick(machine, now_);
}

// An earlier tick that is already scheduled is not removed, because Machine::Tick does nothing if the program
// is not due yet.
void World::ScheduleTick(std::size_t machine, Moment earliest) {
  const Moment due = machines_[machine]->NextTick();
  if (due == Moment::max() || next_ticks_[machine] <= due) return;
  next_ticks_[machine] = std::max(due, earliest);
  Push(next_ticks_[machine], Kind::kTick, static_cast<std::uint32_t>(machine));
}

void World::Send(std::size_t from, const Endpoint& to, std::any content, std::size_t bytes) {
  ++sent_[from].packets;
  sent_[from].bytes += bytes;
  const auto found = by_address_.find(to);
  if (found != by_address_.end()) network_.DrawDelays(from, found->second, random_, &delays_);
  if (found == by_address_.end() || delays_.empty()) {
    ++dropped_;
    return;
  }
  const Packet packet{machines_[from]->Address(), std::make_shared<const std::any>(std::move(content)),
                      bytes};
  for (const Moment delay : delays_)
    Push(now_ + delay, Kind::kDeliver,
         Store(Delivery{packet, found->second}, &deliveries_, &free_deliveries_));
}

void World::Record(const Event& event, std::size_t machine) {
  ++events_;
  const std::array<std::uint64_t, 4> words{static_cast<std::uint64_t>(event.at.count()), event.sequence,
                                           static_cast<std::uint64_t>(event.kind), machine};
  event_digest_ = XXH64(words.data(), sizeof words, event_digest_);
}

}  // namespace load_balancer::model
