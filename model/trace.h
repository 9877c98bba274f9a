// SPDX-License-Identifier: Apache-2.0
//
// Formats and parses traces. A trace is a text from which a run can be replayed. It has a header line, a line
// with the seed and one line per fault.
#ifndef LOAD_BALANCER_MODEL_TRACE_H_
#define LOAD_BALANCER_MODEL_TRACE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "model/fault.h"

namespace load_balancer::model {

// The seed and the faults of a run.
struct Trace {
  std::uint64_t seed = 0;
  std::vector<Fault> faults;
  bool operator==(const Trace&) const = default;
};

// Formats a trace as text.
std::string WriteTrace(const Trace& trace);
// Parses text that WriteTrace has produced. The error names the first invalid line.
tl::expected<Trace, std::string> ReadTrace(std::string_view text);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_TRACE_H_
