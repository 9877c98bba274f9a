// SPDX-License-Identifier: Apache-2.0
#include "model/trace.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "model/shrink.h"

namespace load_balancer::model {
namespace {

FaultOptions Options() {
  FaultOptions options;
  options.machines = 7;
  options.count = 40;
  return options;
}

TEST(TraceTest, ReadsTheTraceThatWasWritten) {
  std::set<FaultKind> kinds;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    const Trace trace{seed * 0x9e3779b97f4a7c15u, DrawFaults(seed, Options())};
    for (const Fault& fault : trace.faults) kinds.insert(fault.kind);
    const auto read = ReadTrace(WriteTrace(trace));
    ASSERT_TRUE(read) << read.error();
    EXPECT_EQ(*read, trace);
  }
  EXPECT_EQ(kinds.size(), static_cast<std::size_t>(kFaultKinds));
}

TEST(TraceTest, ReportsTheInvalidLine) {
  const std::string good = WriteTrace({1, {{Moment(5), Moment(6), FaultKind::kLoss, {1, 2}, 0.25}}});
  const std::vector<std::pair<std::string, std::string>> changes{
      {"trace 1", "trace 2"},  {"seed 1", "seed x"},       {"kind=loss", "kind=los"}, {"who=1,2", "who=1,"},
      {"at_ns=5", "at_ns=5s"}, {"figure=0.25", "figure="}, {" figure=0.25", ""},      {"fault", "fold"}};
  for (const auto& [from, to] : changes) {
    std::string bad = good;
    bad.replace(bad.find(from), from.size(), to);
    const auto read = ReadTrace(bad);
    ASSERT_FALSE(read) << bad;
    EXPECT_TRUE(read.error().starts_with("line ")) << read.error();
  }
  EXPECT_FALSE(ReadTrace(""));
}

TEST(FaultsTest, DrawnFaultsAreWithinTheOptions) {
  const FaultOptions options = Options();
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    const auto faults = DrawFaults(seed, options);
    EXPECT_EQ(faults.size(), options.count);
    EXPECT_EQ(faults, DrawFaults(seed, options));
    for (const Fault& fault : faults) {
      EXPECT_GE(fault.at, options.from);
      EXPECT_LE(fault.at + fault.duration, options.to);
      EXPECT_FALSE(fault.machines.empty());
      EXPECT_LT(*std::max_element(fault.machines.begin(), fault.machines.end()), options.machines);
    }
  }
}

// A run fails exactly if it has all faults of a random subset. Shrink must return this subset.
TEST(ShrinkTest, KeepsExactlyTheFaultsThatAreNeeded) {
  std::mt19937_64 random(7);
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    const auto all = DrawFaults(seed, Options());
    std::vector<Fault> needed;
    std::sample(all.begin(), all.end(), std::back_inserter(needed), seed % 6, random);
    std::size_t calls = 0;
    const auto shrunk = Shrink(all, [&](const std::vector<Fault>& some) {
      ++calls;
      return std::all_of(needed.begin(), needed.end(), [&](const Fault& fault) {
        return std::find(some.begin(), some.end(), fault) != some.end();
      });
    });
    EXPECT_EQ(shrunk, needed);
    EXPECT_LT(calls, all.size() * all.size());
  }
}

TEST(ShrinkTest, KeepsAllFaultsIfTheRunDoesNotFail) {
  const auto all = DrawFaults(1, Options());
  EXPECT_EQ(Shrink(all, [](const auto&) { return false; }), all);
}

}  // namespace
}  // namespace load_balancer::model
