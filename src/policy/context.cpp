// SPDX-License-Identifier: Apache-2.0
#include "policy/context.h"

#include <utility>

namespace load_balancer {
namespace {

// Returns the shortest interval between two log lines of a topic.
Duration LogInterval(LogTopic topic) {
  switch (topic) {
    case LogTopic::kPeerEjection:
      return Duration(0);
    case LogTopic::kEjection:
      return Duration(1000);
    case LogTopic::kFinalResponse:
    case LogTopic::kSlowStart:
      return Duration(10000);
  }
  return Duration(0);
}

}  // namespace

Context::Context(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {}

void Context::BeginEvent(TimePoint now, std::vector<Action>* actions) {
  now_ = now;
  actions_ = actions;
}

void Context::EndEvent() { actions_ = nullptr; }

void Context::Emit(Action action) { actions_->push_back(std::move(action)); }

bool Context::MayLog(LogTopic topic) {
  TimePoint& next = next_log_at_[static_cast<std::size_t>(topic)];
  if (now_ < next) return false;
  next = now_ + LogInterval(topic);
  return true;
}

}  // namespace load_balancer
