// SPDX-License-Identifier: Apache-2.0
//
// Counts why connections were closed, requests refused or retried, and attempts ended, and logs samples.
#ifndef LOAD_BALANCER_PROXY_EVENT_COUNTS_H_
#define LOAD_BALANCER_PROXY_EVENT_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "clock.h"

namespace load_balancer::proxy {

enum class EventKind {
  kClientLeft,        // a client closed or reset its connection within a request
  kClientTimeout,     // a client did not send in time
  kWriteStalled,      // a client read nothing of a response for too long
  kMalformed,         // the bytes of a client are no request that can be read
  kEvicted,           // an idle connection was ended for a new one, or for a stop
  kRequestEvicted,    // a begun request was refused for a new connection, or for a stop
  kRefusedForMemory,  // a request was refused, as there was no memory for it
  kRepeated,          // a request was not forwarded, as its id may be running or have run
  kRejected,          // a request was refused by the decision module
  kFailed,            // a request failed and may have run
  kRetried,           // an attempt after the first one of its request
  kAttemptNotSent,    // an attempt ended unsent, for a limit of this process or as its request was over
  kAttemptUnreached,  // a server could not be reached
  kAttemptTimeout,    // a server did not answer in time
  kAttemptReset,      // the connection to a server broke
  kAttemptDeclined,   // a server was overloaded or draining
  kAttemptError,      // a server answered with an error
  kCount
};

// EventCounts logs each kind of event when it first occurs, and then at most once per kLogInterval.
class EventCounts {
 public:
  // Counts an event. `request` is the Req-Id that it is about, if it is known.
  void Note(EventKind kind, std::string_view request = {});
  std::uint64_t count(EventKind kind) const { return entries_[Index(kind)].count; }
  // Returns all counts that are not 0, as in "rejected=3 retried=1".
  std::string Describe() const;

 private:
  struct Entry {
    std::uint64_t count = 0, logged = 0;
    Steady::time_point next_log_at{};
  };
  static std::size_t Index(EventKind kind) { return static_cast<std::size_t>(kind); }

  std::array<Entry, static_cast<std::size_t>(EventKind::kCount)> entries_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_EVENT_COUNTS_H_
