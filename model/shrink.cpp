// SPDX-License-Identifier: Apache-2.0
#include "model/shrink.h"

#include <algorithm>
#include <cstddef>

namespace load_balancer::model {
namespace {

using Faults = std::vector<Fault>;

// Returns the i-th of `parts` parts of the faults or, with `complement`, all other parts.
Faults Part(const Faults& faults, std::size_t parts, std::size_t i, bool complement) {
  const std::size_t begin = faults.size() * i / parts, end = faults.size() * (i + 1) / parts;
  Faults part;
  for (std::size_t n = 0; n < faults.size(); ++n)
    if ((begin <= n && n < end) != complement) part.push_back(faults[n]);
  return part;
}

}  // namespace

Faults Shrink(Faults faults, const std::function<bool(const Faults&)>& fails) {
  if (!fails(faults)) return faults;
  if (fails({})) return {};
  const auto reduce = [&](std::size_t parts, bool complement) {
    for (std::size_t i = 0; i < parts; ++i) {
      Faults fewer = Part(faults, parts, i, complement);
      if (fewer.size() == faults.size() || !fails(fewer)) continue;
      faults = std::move(fewer);
      return true;
    }
    return false;
  };
  for (std::size_t parts = 2; faults.size() >= 2;) {
    if (reduce(parts, false)) {
      parts = 2;
    } else if (parts > 2 && reduce(parts, true)) {
      parts = std::max<std::size_t>(2, parts - 1);
    } else if (parts < faults.size()) {
      parts = std::min(faults.size(), 2 * parts);
    } else {
      break;
    }
  }
  return faults;
}

}  // namespace load_balancer::model
