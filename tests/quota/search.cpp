// SPDX-License-Identifier: Apache-2.0
//
// Plays the seeds FROM to FROM + COUNT - 1 of the search for an overspent budget. Prints the first one that
// is found, shrunk to the faults that it needs, and ends with 1; says that none was found and ends with 0.
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
    const auto faults = QuotaFaults(seed);
    if (!PlayQuota(seed, faults)) continue;
    const auto needed =
        Shrink(faults, [&](const std::vector<Fault>& some) { return PlayQuota(seed, some).has_value(); });
    std::printf("%s\n%s", PlayQuota(seed, needed)->text.c_str(), WriteTrace({seed, needed}).c_str());
    return 1;
  }
  std::printf("none of %llu seeds overspends\n", static_cast<unsigned long long>(count));
  return 0;
}
