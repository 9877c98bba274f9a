// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The process's log: one event a line on standard error, through spdlog. Each line has the same fields: time
/// (UTC, milliseconds), level, the process's name, the component, the event, and the request's id where there
/// is one. As text: `2026-12-01T21:00:00.123Z info n3 discovery: back`; as JSON, one object a line with the
/// keys time, level, name, component, event and request.
#ifndef LOAD_BALANCER_BASE_LOG_H_
#define LOAD_BALANCER_BASE_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error/failure.h"

namespace load_balancer::log {

enum class Format { kText, kJson };

/// Replaces the process's logger; until the first call lines are text without a name. `name` is the process's
/// name and may be empty. Not thread-safe.
void Start(Format format, std::string_view name);

/// Logs an event. `component` names the part of the process (discovery, operators, ...), `event` describes
/// what happened, `request` is the request's id. Thread-safe; lines of several threads are not mixed.
void Info(std::string_view component, std::string_view event,
          std::optional<std::uint64_t> request = std::nullopt);

/// Logs a failure as Failure::Text words it: a warning if the operation can go on, an error if it cannot.
void Warn(std::string_view component, const Failure& failure,
          std::optional<std::uint64_t> request = std::nullopt);
void Error(std::string_view component, const Failure& failure,
           std::optional<std::uint64_t> request = std::nullopt);

/// The part of a line that follows the process's name, for tests and for writers other than spdlog.
std::string FormatEvent(Format format, std::string_view component, std::string_view event,
                        std::optional<std::uint64_t> request);

}  // namespace load_balancer::log

#endif  // LOAD_BALANCER_BASE_LOG_H_
