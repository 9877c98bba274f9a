// SPDX-License-Identifier: Apache-2.0
/// @file
/// Reads the settings in the form of the simulator's protocol, lines `path=value`. The names of the protocol
/// are mapped to those of Settings here and nowhere else.
#ifndef LOAD_BALANCER_ADAPTER_SETTINGS_H_
#define LOAD_BALANCER_ADAPTER_SETTINGS_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "load_balancer/balancer.h"

namespace load_balancer::adapter {

/// Required keys are absent, or keys have values that they must not have; what() names them all.
class BadSettings : public std::runtime_error {
 public:
  explicit BadSettings(std::vector<std::string> faults);

  /// One line each, "setting <what is wrong>: <key>"; of a great many only the first.
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  std::vector<std::string> faults_;
};

/// Unknown keys are ignored; an absent optional key has its documented meaning. Throws BadSettings.
Settings ParseSettings(std::string_view text);

}  // namespace load_balancer::adapter

#endif  // LOAD_BALANCER_ADAPTER_SETTINGS_H_
