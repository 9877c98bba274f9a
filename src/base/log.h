// SPDX-License-Identifier: Apache-2.0
//
// The process's log: one event a line on standard error, through spdlog. Each line has the same fields: time
// (UTC, milliseconds), level, the process's name, the component that speaks, the event, and the request's id
// where there is one. As text: `2026-12-01T21:00:00.123Z info n3 discovery: back`; as JSON, one object a line
// with the keys time, level, name, component, event and request.
#ifndef LOAD_BALANCER_BASE_LOG_H_
#define LOAD_BALANCER_BASE_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error/failure.h"

namespace load_balancer::log {

enum class Format { kText, kJson };

// Replaces the process's logger; until the first call lines are text with no name. `name` is the process's
// name (may be empty). Not to be called while other threads log.
void Start(Format format, std::string_view name);

// One event: `component` names the part that speaks (discovery, operators, ...), `event` says what happened,
// in words; `request` is the request's id. Safe from any thread; a line is written whole or not at all.
void Info(std::string_view component, std::string_view event,
          std::optional<std::uint64_t> request = std::nullopt);

// A failure, in the words of Failure::Text: what an operator should know of, and what ends something.
void Warn(std::string_view component, const Failure& failure,
          std::optional<std::uint64_t> request = std::nullopt);
void Error(std::string_view component, const Failure& failure,
           std::optional<std::uint64_t> request = std::nullopt);

// The line that these write, without the time: for tests and for what must be written without spdlog.
std::string Body(Format format, std::string_view component, std::string_view event,
                 std::optional<std::uint64_t> request);

}  // namespace load_balancer::log

#endif  // LOAD_BALANCER_BASE_LOG_H_
