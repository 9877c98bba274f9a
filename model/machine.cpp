// SPDX-License-Identifier: Apache-2.0
#include "model/machine.h"

#include <algorithm>
#include <utility>

namespace load_balancer::model {

Machine::Machine(std::size_t number, std::string name, Endpoint address, ProgramFactory factory,
                 MachineClock clock, Environment& environment)
    : number_(number),
      name_(std::move(name)),
      address_(std::move(address)),
      factory_(std::move(factory)),
      clock_(clock),
      environment_(environment) {}

void Machine::Send(const Endpoint& to, std::any content, std::size_t bytes) {
  environment_.Send(number_, to, std::move(content), bytes);
}

void Machine::Start(bool with_disk) {
  Crash();
  if (!with_disk) disk_.clear();
  program_ = factory_(*this);
}

void Machine::Crash() {
  program_.reset();
  queue_.clear();
  stalled_until_ = Moment(0);
}

void Machine::Stall(Moment until) {
  if (program_) stalled_until_ = std::max(stalled_until_, until);
}

bool Machine::Receive(const Packet& packet) {
  if (!program_) return false;
  if (stalled()) {
    if (queue_.size() >= kMaxQueuedPackets) return false;
    queue_.push_back(packet);
    return true;
  }
  program_->Receive(packet);
  return true;
}

std::size_t Machine::Resume() {
  std::size_t handled = 0;
  for (; program_ && !queue_.empty(); ++handled) {
    const Packet packet = std::move(queue_.front());
    queue_.pop_front();
    program_->Receive(packet);
  }
  Tick();
  return handled;
}

void Machine::Tick() {
  if (program_ && !stalled() && program_->Next() <= Now()) program_->Tick();
}

Moment Machine::NextTick() const {
  if (!program_) return Moment::max();
  const Time next = program_->Next();
  if (next == Time::max()) return Moment::max();
  return std::max({clock_.MomentOf(next), stalled_until_, environment_.now()});
}

}  // namespace load_balancer::model
