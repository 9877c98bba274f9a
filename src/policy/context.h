// SPDX-License-Identifier: Apache-2.0
/// @file
/// The state that all components of the decision module share while they handle an event.
#ifndef LOAD_BALANCER_SRC_POLICY_CONTEXT_H_
#define LOAD_BALANCER_SRC_POLICY_CONTEXT_H_

#include <array>
#include <cstddef>
#include <sstream>
#include <vector>

#include "load_balancer/balancer.h"
#include "policy/random_source.h"

namespace load_balancer {

/// LogTopic is the kind of a log line. The rate of log lines is limited for each kind separately.
enum class LogTopic { kPeerEjection, kEjection, kFinalResponse, kSlowStart };

/// Holds the settings, the random source, the time of the current event and the actions that it causes.
class Context {
 public:
  Context(Settings settings, std::uint64_t seed);

  /// Starts an event at time `now`. Its actions are appended to `actions`, which must stay valid until
  /// EndEvent.
  void BeginEvent(TimePoint now, std::vector<Action>* actions);
  void EndEvent();

  [[nodiscard]] const Settings& settings() const { return settings_; }
  void ReplaceSettings(const Settings& settings) { settings_ = settings; }
  RandomSource& random() { return random_; }
  [[nodiscard]] TimePoint now() const { return now_; }

  void Emit(Action action);

  /// Emits `parts` as one log line, unless a line of the same topic was emitted too recently.
  template <typename... Parts>
  void LogLine(LogTopic topic, const Parts&... parts) {
    if (!MayLog(topic)) return;
    std::ostringstream line;
    (line << ... << parts);
    Emit(Log{line.str()});
  }

 private:
  static constexpr std::size_t kLogTopics = 4;

  bool MayLog(LogTopic topic);

  Settings settings_;
  RandomSource random_;
  TimePoint now_{};
  std::vector<Action>* actions_ = nullptr;
  std::array<TimePoint, kLogTopics> next_log_at_{};  // by topic
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_CONTEXT_H_
