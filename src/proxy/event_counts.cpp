// SPDX-License-Identifier: Apache-2.0
#include "event_counts.h"

#include <chrono>

#include "base/log.h"

namespace load_balancer::proxy {
namespace {

constexpr std::chrono::seconds kLogInterval{10};  // between two lines about events of one kind
constexpr std::size_t kMaxRequestIdChars = 64;    // of a client's Req-Id in a line

struct Description {
  std::string_view name, text;
};

constexpr std::array<Description, static_cast<std::size_t>(EventKind::kCount)> kDescriptions = {{
    {"client_left", "client closed its connection within a request"},
    {"client_timeout", "connection closed: the client did not send in time"},
    {"write_stalled", "connection closed: the client reads nothing of its response"},
    {"malformed", "request refused: it cannot be read"},
    {"evicted", "idle connection ended for another one or for the stop"},
    {"request_evicted", "incomplete request refused for another connection or for the stop"},
    {"refused_for_memory", "request refused: no memory"},
    {"repeated", "request not forwarded: its id came before and may have run"},
    {"rejected", "request refused: load or no server"},
    {"failed", "request failed: it may have run"},
    {"retried", "attempt repeated"},
    {"attempt_not_sent", "attempt not sent: a limit of this process, or its request is over"},
    {"attempt_unreached", "attempt ended: the server cannot be reached"},
    {"attempt_timeout", "attempt ended: no response in time"},
    {"attempt_reset", "attempt ended: the connection broke"},
    {"attempt_declined", "attempt ended: the server is overloaded"},
    {"attempt_error", "attempt ended: the server answered with an error"},
}};

}  // namespace

void EventCounts::Note(EventKind kind, std::string_view request) {
  Entry& entry = entries_[Index(kind)];
  ++entry.count;
  const auto now = Steady::now();
  if (now < entry.next_log_at) return;
  entry.next_log_at = now + kLogInterval;
  std::string line(kDescriptions[Index(kind)].text);
  if (!request.empty()) line.append("; request ").append(request.substr(0, kMaxRequestIdChars));
  line += "; " + std::to_string(entry.count - entry.logged) + " since the last such line";
  entry.logged = entry.count;
  log::Info("proxy", line);
}

std::string EventCounts::Describe() const {
  std::string text;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i].count == 0) continue;
    if (!text.empty()) text += ' ';
    text.append(kDescriptions[i].name).append("=").append(std::to_string(entries_[i].count));
  }
  return text;
}

}  // namespace load_balancer::proxy
