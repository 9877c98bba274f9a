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

// A literal for spdlog's pattern, in which % begins a flag.
std::string Literal(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '%') escaped += '%';
    escaped += c;
  }
  return escaped;
}

std::string Quoted(std::string_view text) {
  return nlohmann::json(std::string(text)).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string Pattern(Format format, std::string_view name) {
  if (format == Format::kJson)
    return R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","name":)" + Literal(Quoted(name)) + ",%v}";
  return "%Y-%m-%dT%H:%M:%S.%eZ %l " + Literal(name.empty() ? "-" : name) + " %v";
}

std::shared_ptr<spdlog::logger> Make(Format format, std::string_view name) {
  auto logger = std::make_shared<spdlog::logger>("load_balancer_proxy",
                                                 std::make_shared<spdlog::sinks::stderr_sink_mt>());
  logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(Pattern(format, name),
                                                                    spdlog::pattern_time_type::utc, "\n"));
  return logger;
}

spdlog::logger& Logger() {
  static const bool made = [] {
    spdlog::set_default_logger(Make(Format::kText, ""));
    return true;
  }();
  (void)made;
  return *spdlog::default_logger_raw();
}

void Write(spdlog::level::level_enum level, std::string_view component, std::string_view event,
           std::optional<std::uint64_t> request) {
  const std::string body = Body(format_, component, event, request);
  Logger().log(level, spdlog::string_view_t(body.data(), body.size()));
}

}  // namespace

void Start(Format format, std::string_view name) {
  Logger();
  format_ = format;
  spdlog::set_default_logger(Make(format, name));
}

std::string Body(Format format, std::string_view component, std::string_view event,
                 std::optional<std::uint64_t> request) {
  if (format == Format::kJson) {
    std::string body = R"("component":)" + Quoted(component) + R"(,"event":)" + Quoted(event);
    if (request) body += R"(,"request":)" + std::to_string(*request);
    return body;
  }
  std::string body(component);
  body += ": ";
  // A line end inside an event would make two lines of one.
  for (const char c : event) body += (c == '\n' || c == '\r') ? ' ' : c;
  if (request) body += " request=" + std::to_string(*request);
  return body;
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
