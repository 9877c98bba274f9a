// SPDX-License-Identifier: Apache-2.0
#include "base/log.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <nlohmann/json.hpp>

namespace load_balancer::log {
namespace {

Format format_ = Format::kText;

// Escapes text for spdlog's pattern, in which % begins a flag.
std::string EscapePattern(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '%') escaped += '%';
    escaped += c;
  }
  return escaped;
}

std::string QuoteJson(std::string_view text) {
  return nlohmann::json(std::string(text)).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string Pattern(Format format, std::string_view name) {
  if (format == Format::kJson)
    return R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","name":)" + EscapePattern(QuoteJson(name)) +
           ",%v}";
  return "%Y-%m-%dT%H:%M:%S.%eZ %l " + EscapePattern(name.empty() ? "-" : name) + " %v";
}

std::shared_ptr<spdlog::logger> MakeLogger(Format format, std::string_view name) {
  auto logger = std::make_shared<spdlog::logger>("load_balancer_proxy",
                                                 std::make_shared<spdlog::sinks::stderr_sink_mt>());
  logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(Pattern(format, name),
                                                                    spdlog::pattern_time_type::utc, "\n"));
  return logger;
}

// The first call installs the default logger.
spdlog::logger& Logger() {
  [[maybe_unused]] static const bool is_installed = [] {
    spdlog::set_default_logger(MakeLogger(Format::kText, ""));
    return true;
  }();
  return *spdlog::default_logger_raw();
}

std::string FormatJson(std::string_view component, std::string_view event,
                       std::optional<std::uint64_t> request) {
  std::string line = R"("component":)" + QuoteJson(component) + R"(,"event":)" + QuoteJson(event);
  if (request) line += R"(,"request":)" + std::to_string(*request);
  return line;
}

std::string FormatText(std::string_view component, std::string_view event,
                       std::optional<std::uint64_t> request) {
  std::string line(component);
  line += ": ";
  for (const char c : event) {
    // A line break in an event would split the line.
    const bool is_line_break = c == '\n' || c == '\r';
    line += is_line_break ? ' ' : c;
  }
  if (request) line += " request=" + std::to_string(*request);
  return line;
}

void Write(spdlog::level::level_enum level, std::string_view component, std::string_view event,
           std::optional<std::uint64_t> request) {
  const std::string line = FormatEvent(format_, component, event, request);
  Logger().log(level, spdlog::string_view_t(line.data(), line.size()));
}

}  // namespace

void Start(Format format, std::string_view name) {
  Logger();
  format_ = format;
  spdlog::set_default_logger(MakeLogger(format, name));
}

std::string FormatEvent(Format format, std::string_view component, std::string_view event,
                        std::optional<std::uint64_t> request) {
  return format == Format::kJson ? FormatJson(component, event, request)
                                 : FormatText(component, event, request);
}

void Info(std::string_view component, std::string_view event, std::optional<std::uint64_t> request) {
  Write(spdlog::level::info, component, event, request);
}

void Warn(std::string_view component, const Failure& failure, std::optional<std::uint64_t> request) {
  Write(spdlog::level::warn, component, failure.Text(), request);
}

void Error(std::string_view component, const Failure& failure, std::optional<std::uint64_t> request) {
  Write(spdlog::level::err, component, failure.Text(), request);
}

}  // namespace load_balancer::log
