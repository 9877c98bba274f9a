// SPDX-License-Identifier: Apache-2.0
//
// A run as text that can be read back and played again: the seed and the faults, one a line.
#ifndef LOAD_BALANCER_MODEL_TRACE_H_
#define LOAD_BALANCER_MODEL_TRACE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "model/fault.h"

namespace load_balancer::model {

struct Trace {
  std::uint64_t seed = 0;
  std::vector<Fault> faults;
  bool operator==(const Trace&) const = default;
};

std::string Write(const Trace& trace);
// What Write made, exactly; else which line is wrong, and why.
tl::expected<Trace, std::string> ReadTrace(std::string_view text);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_TRACE_H_
