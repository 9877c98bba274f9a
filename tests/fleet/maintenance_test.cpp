// SPDX-License-Identifier: Apache-2.0
//
// Maintenance of backends in a fleet with leases: a command that was acknowledged is not undone by the next
// holder of the lease, and the later of two commands wins.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "cluster.h"

namespace load_balancer::testing::fleet {
namespace {

constexpr std::size_t kMembers = 3;
constexpr milliseconds kTerm(1500);
constexpr milliseconds kSyncInterval(1000);
// From the end of a cut until there is one holder, whose set all members have.
constexpr milliseconds kSettled(3 * kTerm + 2 * kSyncInterval);
const std::set<std::string> kDetached{"s-1"};

class FleetMaintenance : public ::testing::Test {
 protected:
  FleetMaintenance() {
    nlohmann::json section{{"probe_interval_ms", 100},
                           {"sync_interval_ms", kSyncInterval.count()},
                           {"lease_term_ms", kTerm.count()},
                           {"lease_drift_ms", 50}};
    cluster = std::make_unique<Cluster>(
        kMembers, section,
        ConfigJson(Tcp::endpoint(kAnyPort.address(), 9),
                   Members(MemberJson("s-1", server.address()), MemberJson("s-2", server.address()))),
        Cluster::NoEdit, kMembers);
  }

  // Waits until one of the members in `among` holds the lease of maintenance. Returns its index, or kMembers.
  std::size_t WaitForHolder(const std::set<std::size_t>& among = {0, 1, 2}) {
    const auto until = std::chrono::steady_clock::now() + kMaxWait;
    for (; std::chrono::steady_clock::now() < until; std::this_thread::sleep_for(milliseconds(20)))
      for (const std::size_t member : among)
        if (Operate(member, "LEASES").find("maintenance holder") != std::string::npos) return member;
    return kMembers;
  }
  static std::set<std::size_t> AllBut(std::size_t member) {
    std::set<std::size_t> others{0, 1, 2};
    others.erase(member);
    return others;
  }
  std::string Operate(std::size_t member, const std::string& line) {
    return Call((*cluster)[member].operators, line);
  }
  // Returns the ids in the member's maintenance file.
  std::set<std::string> DetachedAt(std::size_t member) {
    std::set<std::string> ids;
    for (const auto& entry : std::filesystem::directory_iterator((*cluster)[member].folder->path)) {
      if (entry.path().extension() != ".maintenance") continue;
      std::ifstream file(entry.path());
      for (std::string id; std::getline(file, id);) ids.insert(id);
    }
    return ids;
  }
  void ExpectEverywhere(const std::set<std::string>& detached) {
    for (std::size_t i = 0; i < kMembers; ++i) EXPECT_EQ(DetachedAt(i), detached) << Cluster::Name(i);
    if (HasFailure()) std::cerr << LogOfAll();
  }
  std::string LogOfAll() {
    std::string log;
    for (std::size_t i = 0; i < kMembers; ++i)
      for (const std::string& line : cluster->process(i).Lines()) log += line + '\n';
    return log;
  }
  // Cuts the holder off, has it detach s-1 and waits for another holder. Returns both.
  struct Handover {
    std::size_t before = kMembers, after = kMembers;
  };
  Handover DetachDuringACut() {
    Handover handover;
    EXPECT_TRUE(cluster->WaitUntilAllAlive());
    handover.before = WaitForHolder();
    cluster->Cut({handover.before});
    EXPECT_EQ(Operate(handover.before, "DETACH s-1"), "ACK detached");
    handover.after = WaitForHolder(AllBut(handover.before));
    return handover;
  }

  Backend server;
  std::unique_ptr<Cluster> cluster;
};

// Guards against a command that the next holder undoes, as its set lacks it.
TEST_F(FleetMaintenance, ACommandAcknowledgedDuringACutIsKeptByAllMembers) {
  const Handover handover = DetachDuringACut();
  ASSERT_LT(handover.after, kMembers);
  EXPECT_EQ(DetachedAt(handover.after), std::set<std::string>()) << "the next holder has not heard of it";
  cluster->Heal();
  std::this_thread::sleep_for(kSettled);
  ExpectEverywhere(kDetached);
}

// Guards against the same where the member that has acknowledged the command crashes before the cut ends.
TEST_F(FleetMaintenance, ACommandAcknowledgedDuringACutOutlivesARestart) {
  const Handover handover = DetachDuringACut();
  ASSERT_LT(handover.after, kMembers);
  cluster->Restart(handover.before);
  cluster->Heal();
  std::this_thread::sleep_for(2 * kSettled);
  ExpectEverywhere(kDetached);
}

// Guards against a command of the former holder that undoes a later one of the next holder.
TEST_F(FleetMaintenance, OfTwoHoldersCommandsTheLaterWins) {
  const Handover handover = DetachDuringACut();
  ASSERT_LT(handover.after, kMembers);
  EXPECT_EQ(Operate(handover.after, "DETACH s-1"), "ACK detached");
  EXPECT_EQ(Operate(handover.after, "ATTACH s-1"), "ACK attached");
  cluster->Heal();
  std::this_thread::sleep_for(kSettled);
  ExpectEverywhere({});
}

// A command of the next holder after the cut counts as well.
TEST_F(FleetMaintenance, ACommandThatWasKeptCanBeTakenBack) {
  const Handover handover = DetachDuringACut();
  ASSERT_LT(handover.after, kMembers);
  cluster->Heal();
  std::this_thread::sleep_for(kSettled);
  const std::size_t holder = WaitForHolder();
  ASSERT_LT(holder, kMembers);
  EXPECT_EQ(Operate(holder, "ATTACH s-1"), "ACK attached");
  std::this_thread::sleep_for(kSettled);
  ExpectEverywhere({});
}

// Draws cuts, restarts and commands, and keeps what the last acknowledged command of each backend has asked
// for.
class FleetMaintenanceSoak : public FleetMaintenance {
 protected:
  static constexpr int kRounds = 6;

  // Returns the seeds in MAINTENANCE_SOAK_SEEDS, by default 4.
  static std::vector<unsigned> Seeds() {
    const char* const text = std::getenv("MAINTENANCE_SOAK_SEEDS");
    std::istringstream words(text ? text : "4");
    return {std::istream_iterator<unsigned>(words), {}};
  }
  bool Draw(int one_of) { return random_() % static_cast<unsigned>(one_of) == 0; }

  void CommandAt(std::size_t holder) {
    const std::string id = Draw(2) ? "s-1" : "s-2";
    const bool detach = Draw(2);
    const std::string reply = Operate(holder, (detach ? "DETACH " : "ATTACH ") + id);
    if (!reply.starts_with("ACK")) return;
    if (detach)
      expected_.insert(id);
    else
      expected_.erase(id);
  }
  void RunRound() {
    const std::size_t holder = WaitForHolder();
    ASSERT_LT(holder, kMembers);
    const bool is_cut = !Draw(3);
    if (is_cut) cluster->Cut({holder});
    CommandAt(holder);
    if (Draw(2)) CommandAt(holder);
    const bool is_restarted = Draw(2);
    if (is_restarted) cluster->Restart(holder);
    if (is_cut || is_restarted) {
      const std::size_t next = WaitForHolder(AllBut(holder));
      ASSERT_TRUE(next < kMembers || !is_cut);
      if (next < kMembers && Draw(2)) CommandAt(next);
    }
    cluster->Heal();
    WaitUntilEverywhere(expected_);
  }
  void WaitUntilEverywhere(const std::set<std::string>& detached) {
    const auto until = std::chrono::steady_clock::now() + 2 * kSettled;
    const auto has_all = [&] {
      for (std::size_t i = 0; i < kMembers; ++i)
        if (DetachedAt(i) != detached) return false;
      return true;
    };
    while (!has_all() && std::chrono::steady_clock::now() < until)
      std::this_thread::sleep_for(milliseconds(50));
    ExpectEverywhere(detached);
  }
  void Run(unsigned seed) {
    random_.seed(seed);
    for (int round = 0; round < kRounds && !HasFailure(); ++round) {
      SCOPED_TRACE("seed " + std::to_string(seed) + " round " + std::to_string(round));
      RunRound();
    }
    std::this_thread::sleep_for(kSettled);
    ExpectEverywhere(expected_);
  }

  std::mt19937 random_;
  std::set<std::string> expected_;
};

// Guards against any way in which cuts and restarts of the holder undo an acknowledged command.
TEST_F(FleetMaintenanceSoak, KeepsTheLastAcknowledgedCommandOfEachBackend) {
  ASSERT_TRUE(cluster->WaitUntilAllAlive());
  for (const unsigned seed : Seeds()) Run(seed);
}

}  // namespace
}  // namespace load_balancer::testing::fleet
