// SPDX-License-Identifier: Apache-2.0
//
// Runs the search for an overspent budget with the seeds FROM to FROM + COUNT - 1. If a seed overspends,
// prints the first such seed with the smallest set of faults found that still causes the overspend, and exits
// with 1. Otherwise prints that no seed overspends, and exits with 0.
#include "model/quota/search.h"

#include <cstdio>
#include <cstdlib>

#include "model/shrink.h"
#include "model/trace.h"

using namespace load_balancer::model;

int main(int argc, char** argv) {
  if (argc != 3) return std::fprintf(stderr, "usage: quota_search FROM COUNT\n"), 2;
  const std::uint64_t from = std::strtoull(argv[1], nullptr, 10), count = std::strtoull(argv[2], nullptr, 10);
  for (std::uint64_t seed = from; seed < from + count; ++seed) {
    const auto faults = DrawQuotaFaults(seed);
    if (!RunQuotaScenario(seed, faults)) continue;
    const auto needed = Shrink(
        faults, [&](const std::vector<Fault>& subset) { return RunQuotaScenario(seed, subset).has_value(); });
    std::printf("%s\n%s", RunQuotaScenario(seed, needed)->text.c_str(), WriteTrace({seed, needed}).c_str());
    return 1;
  }
  std::printf("none of %llu seeds overspends\n", static_cast<unsigned long long>(count));
  return 0;
}
