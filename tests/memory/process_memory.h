// SPDX-License-Identifier: Apache-2.0
//
// The memory of a process, as the system tells it.
#ifndef LOAD_BALANCER_TESTS_MEMORY_PROCESS_MEMORY_H_
#define LOAD_BALANCER_TESTS_MEMORY_PROCESS_MEMORY_H_

#include <sys/types.h>

#include <fstream>
#include <string>

namespace load_balancer::testing {

// Returns a figure of /proc/PID/status in MB, or 0 if the process has ended.
inline double StatusMb(pid_t pid, const std::string& name) {
  if (pid <= 0) return 0;
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string word; status >> word;) {
    double kilobytes = 0;
    if (word == name + ":" && status >> kilobytes) return kilobytes / 1024;
  }
  return 0;
}

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_MEMORY_PROCESS_MEMORY_H_
