// SPDX-License-Identifier: Apache-2.0
//
// The checker of leases (docs/leases.md): model checking and random schedules. Prints what it has looked at,
// and of what is broken a line that begins with "broken:" and the shortest way to it that it knows.
//
//   lease_check search [--only N] [--depth N] [--states N]
//   lease_check schedules [--members N] [--from SEED] [--count N] [--voters HOW [--files]]
//   lease_check both      as much of each as finds a mutant within a minute
//   lease_check changes   the same of voters that are changed in service
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <map>
#include <string>

#include "model/lease/schedule.h"
#include "model/lease/search.h"
#include "model/shrink.h"
#include "model/trace.h"

namespace {

using namespace load_balancer::model;

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

bool ScheduleAll(const ScheduleOptions& options, std::uint64_t from, std::uint64_t count) {
  const auto began = std::chrono::steady_clock::now();
  std::uint64_t leases = 0, acts = 0, refused = 0, never = 0;
  Moment quiet(0);
  for (std::uint64_t seed = from; seed < from + count; ++seed) {
    const auto faults = FaultsOf(seed, options);
    const ScheduleResult result = RunSchedule(seed, options, faults);
    if (result.broken) {
      const auto fails = [&](const std::vector<Fault>& some) {
        return RunSchedule(seed, options, some).broken.has_value();
      };
      std::printf("broken: %s (members=%zu)\n%s", result.broken->c_str(), options.members,
                  WriteTrace({seed, Shrink(faults, fails)}).c_str());
      return false;
    }
    leases += result.leases, acts += result.acts, refused += result.refused;
    never += result.quiet == options.length;
    quiet = std::max(quiet, result.quiet);
  }
  std::printf(
      "members=%zu seeds=%llu leases=%llu acts=%llu refused=%llu until held, most=%.1f s, never=%llu in %.1f "
      "s\n",
      options.members, static_cast<unsigned long long>(count), static_cast<unsigned long long>(leases),
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
  ScheduleOptions options;
  auto* search = app.add_subcommand("search");
  search->add_option("--only", only);
  search->add_option("--depth", depth);
  search->add_option("--states", states);
  auto* schedules = app.add_subcommand("schedules");
  schedules->add_option("--members", options.members);
  const std::map<std::string, VoterChange> changes{{"none", VoterChange::kNone},
                                                   {"rule", VoterChange::kByRule},
                                                   {"two-at-once", VoterChange::kTwoAtOnce},
                                                   {"no-wait", VoterChange::kNoWait},
                                                   {"term-alone", VoterChange::kTermAlone}};
  schedules->add_option("--voters", options.change, "how they are changed in service")
      ->transform(CLI::CheckedTransformer(changes));
  schedules->add_flag("--files", options.files, "voters begin with files of votes, and lose no disk");
  schedules->add_option("--from", from);
  schedules->add_option("--count", count);
  const auto* both = app.add_subcommand("both");
  app.add_subcommand("changes");
  CLI11_PARSE(app, argc, argv);
  if (*search) return SearchAll(only, depth, states) ? 0 : 1;
  if (*schedules) return ScheduleAll(options, from, count) ? 0 : 1;
  constexpr std::uint64_t kFewSeeds = 400, kFewChanges = 3000, kFewStates = 150000;
  if (*both) return ScheduleAll({}, 0, kFewSeeds) && SearchAll(-1, 9, kFewStates) ? 0 : 1;
  ScheduleOptions leapt;
  options.change = VoterChange::kByRule;
  leapt.change = VoterChange::kTwoAtOnce;
  leapt.files = true;
  return ScheduleAll(options, 0, kFewChanges) && ScheduleAll(leapt, 0, kFewChanges) ? 0 : 1;
}
