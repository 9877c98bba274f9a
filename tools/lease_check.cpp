// SPDX-License-Identifier: Apache-2.0
//
// Checks leases (docs/leases.md) by model checking and random schedules. Prints how much was checked. If a
// safety property is violated, prints a line that begins with "broken:" and the shortest known path to the
// violation.
//
//   lease_check search [--only N] [--depth N] [--states N]
//   lease_check schedules [--members N] [--from SEED] [--count N] [--voters HOW [--files]]
//   lease_check both      runs enough of both to find each mutant within a minute
//   lease_check changes   does the same while the voters are changed during the run
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

double SecondsSince(std::chrono::steady_clock::time_point started_at) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
}

bool RunSearches(int only, int depth, std::uint64_t states) {
  const std::vector<InitialState> initial_states = InitialStates();
  for (std::size_t i = 0; i < initial_states.size(); ++i) {
    if (only >= 0 && static_cast<std::size_t>(only) != i) continue;
    const auto started_at = std::chrono::steady_clock::now();
    const SearchResult result = Search(initial_states[i], depth, states);
    std::printf("%s: depth=%d states=%llu steps=%llu in %.1f s\n", initial_states[i].name.c_str(),
                result.depth, static_cast<unsigned long long>(result.states),
                static_cast<unsigned long long>(result.steps), SecondsSince(started_at));
    if (!result.counterexample) continue;
    std::printf("broken: %s\n", result.counterexample->violation.c_str());
    for (const std::string& line : result.counterexample->trace) std::printf("  %s\n", line.c_str());
    return false;
  }
  return true;
}

bool RunSchedules(const ScheduleOptions& options, std::uint64_t from, std::uint64_t count) {
  const auto started_at = std::chrono::steady_clock::now();
  std::uint64_t handovers = 0, admitted = 0, rejected = 0, without_holder = 0;
  Moment max_time_to_holder(0);
  for (std::uint64_t seed = from; seed < from + count; ++seed) {
    const auto faults = DrawScheduleFaults(seed, options);
    const ScheduleResult result = RunSchedule(seed, options, faults);
    if (result.violation) {
      const auto violates = [&](const std::vector<Fault>& subset) {
        return RunSchedule(seed, options, subset).violation.has_value();
      };
      std::printf("broken: %s (members=%zu)\n%s", result.violation->c_str(), options.member_count,
                  WriteTrace({seed, Shrink(faults, violates)}).c_str());
      return false;
    }
    handovers += result.handovers, admitted += result.admitted, rejected += result.rejected;
    without_holder += result.time_to_holder == options.duration;
    max_time_to_holder = std::max(max_time_to_holder, result.time_to_holder);
  }
  std::printf(
      "members=%zu seeds=%llu leases=%llu acts=%llu refused=%llu until held, most=%.1f s, never=%llu in %.1f "
      "s\n",
      options.member_count, static_cast<unsigned long long>(count),
      static_cast<unsigned long long>(handovers), static_cast<unsigned long long>(admitted),
      static_cast<unsigned long long>(rejected), std::chrono::duration<double>(max_time_to_holder).count(),
      static_cast<unsigned long long>(without_holder), SecondsSince(started_at));
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
  schedules->add_option("--members", options.member_count);
  const std::map<std::string, VoterChange> changes{{"none", VoterChange::kNone},
                                                   {"rule", VoterChange::kOneAtATime},
                                                   {"two-at-once", VoterChange::kTwoAtOnce},
                                                   {"no-wait", VoterChange::kWithoutWait},
                                                   {"term-alone", VoterChange::kAfterOneTerm}};
  schedules->add_option("--voters", options.change, "how the voters are changed during the run")
      ->transform(CLI::CheckedTransformer(changes));
  schedules->add_flag("--files", options.has_vote_files, "voters start with files of votes and lose no disk");
  schedules->add_option("--from", from);
  schedules->add_option("--count", count);
  const auto* both = app.add_subcommand("both");
  app.add_subcommand("changes");
  CLI11_PARSE(app, argc, argv);
  if (*search) return RunSearches(only, depth, states) ? 0 : 1;
  if (*schedules) return RunSchedules(options, from, count) ? 0 : 1;
  constexpr std::uint64_t kFewSeeds = 400, kFewChanges = 3000, kFewStates = 150000;
  if (*both) return RunSchedules({}, 0, kFewSeeds) && RunSearches(-1, 9, kFewStates) ? 0 : 1;
  ScheduleOptions two_at_once;
  options.change = VoterChange::kOneAtATime;
  two_at_once.change = VoterChange::kTwoAtOnce;
  two_at_once.has_vote_files = true;
  return RunSchedules(options, 0, kFewChanges) && RunSchedules(two_at_once, 0, kFewChanges) ? 0 : 1;
}
