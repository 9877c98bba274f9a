// SPDX-License-Identifier: Apache-2.0
//
// The checker of leases (docs/leases.md): model checking and random schedules. Prints what it has looked at,
// and of what is broken a line that begins with "broken:" and the shortest way to it that it knows.
//
//   lease_check search [--only N] [--depth N] [--states N]
//   lease_check schedules [--members N] [--from SEED] [--count N]
//   lease_check both      as much of each as finds a mutant within a minute
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>

#include "model/lease/schedule.h"
#include "model/lease/search.h"
#include "model/shrink.h"
#include "model/trace.h"

namespace {

using namespace brackenspoke::model;

double SecondsSince(std::chrono::steady_clock::time_point began) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
}

bool SearchAll(int only, int depth, std::uint64_t states) {
  const std::vector<Beginning> beginnings = Beginnings();
  for (std::size_t i = 0; i < beginnings.size(); ++i) {
    if (only >= 0 && static_cast<std::size_t>(only) != i) continue;
    const auto began = std::chrono::steady_clock::now();
    const SearchResult result = Search(beginnings[i], depth, states);
    std::printf("%s: depth=%d states=%llu steps=%llu in %.1f s\n", beginnings[i].name.c_str(), result.depth,
                static_cast<unsigned long long>(result.states), static_cast<unsigned long long>(result.steps),
                SecondsSince(began));
    if (!result.found) continue;
    std::printf("broken: %s\n", result.found->what.c_str());
    for (const std::string& line : result.found->trace) std::printf("  %s\n", line.c_str());
    return false;
  }
  return true;
}

bool ScheduleAll(std::size_t members, std::uint64_t from, std::uint64_t count) {
  const auto began = std::chrono::steady_clock::now();
  ScheduleOptions options;
  options.members = members;
  std::uint64_t leases = 0, acts = 0, refused = 0, never = 0;
  Moment quiet(0);
  for (std::uint64_t seed = from; seed < from + count; ++seed) {
    const auto faults = FaultsOf(seed, options);
    const ScheduleResult result = RunSchedule(seed, options, faults);
    if (result.broken) {
      const auto fails = [&](const std::vector<Fault>& some) {
        return RunSchedule(seed, options, some).broken.has_value();
      };
      std::printf("broken: %s (members=%zu)\n%s", result.broken->c_str(), members,
                  Write({seed, Shrink(faults, fails)}).c_str());
      return false;
    }
    leases += result.leases, acts += result.acts, refused += result.refused;
    never += result.quiet == options.length;
    quiet = std::max(quiet, result.quiet);
  }
  std::printf(
      "members=%zu seeds=%llu leases=%llu acts=%llu refused=%llu until held, most=%.1f s, never=%llu in %.1f "
      "s\n",
      members, static_cast<unsigned long long>(count), static_cast<unsigned long long>(leases),
      static_cast<unsigned long long>(acts), static_cast<unsigned long long>(refused),
      std::chrono::duration<double>(quiet).count(), static_cast<unsigned long long>(never),
      SecondsSince(began));
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("checks leases");
  app.require_subcommand(1);
  int only = -1, depth = 7;
  std::uint64_t states = 2000000, from = 0, count = 1000;
  std::size_t members = 5;
  auto* search = app.add_subcommand("search");
  search->add_option("--only", only);
  search->add_option("--depth", depth);
  search->add_option("--states", states);
  auto* schedules = app.add_subcommand("schedules");
  schedules->add_option("--members", members);
  schedules->add_option("--from", from);
  schedules->add_option("--count", count);
  app.add_subcommand("both");
  CLI11_PARSE(app, argc, argv);
  if (*search) return SearchAll(only, depth, states) ? 0 : 1;
  if (*schedules) return ScheduleAll(members, from, count) ? 0 : 1;
  constexpr std::uint64_t kFewSeeds = 400, kFewStates = 150000;
  return ScheduleAll(5, 0, kFewSeeds) && SearchAll(-1, 9, kFewStates) ? 0 : 1;
}
