// SPDX-License-Identifier: Apache-2.0
//
// Runs seven real processes that request one lease through the relay, and injects faults for a minute. Checks
// that writes of different holders never overlap and that the resource admits no stale token.
// LEASE_CHAOS_SEEDS lists the seeds (default "1").
#include <gtest/gtest.h>

#include <random>
#include <sstream>

#include "cluster.h"
#include "program_paths.h"

namespace load_balancer::testing::fleet {
namespace {

using Steady = std::chrono::steady_clock;
using Token = std::uint64_t;

constexpr std::size_t kActors = 7, kMaxStoppedActors = 3;
constexpr milliseconds kFaultDuration(60000), kTerm(2000);

// A write that the resource admitted.
struct AdmittedWrite {
  std::string actor;
  Token token = 0;
  long long begin = 0, admitted_at = 0;  // ns on the machine's monotonic clock
};

// The protected resource. Receives writes in the form "ACTOR TOKEN BEGIN DEADLINE" one at a time. Rejects a
// write if its deadline has passed or a larger token was admitted before.
class Resource {
 public:
  Resource() : listener_([this](Tcp::socket& socket) { Serve(socket); }) {}
  unsigned short port() const { return listener_.address.port(); }
  std::vector<AdmittedWrite> Writes() {
    const std::lock_guard lock(mutex_);
    return writes_;
  }
  // Returns the number of writes that arrived before their deadline but after a write with a larger token.
  // Such a write shows that two processes held the lease at once.
  std::size_t CountStaleWrites() {
    const std::lock_guard lock(mutex_);
    return stale_writes_;
  }

 private:
  void Serve(Tcp::socket& socket) {
    asio::streambuf in;
    error_code error;
    while (asio::read_until(socket, in, '\n', error), !error) {
      AdmittedWrite write;
      long long deadline = 0;
      std::istream(&in) >> write.actor >> write.token >> write.begin >> deadline;
      in.consume(in.size());
      asio::write(socket, asio::buffer(Admit(std::move(write), deadline)), error);
    }
  }
  std::string Admit(AdmittedWrite write, long long deadline) {
    const std::lock_guard lock(mutex_);
    write.admitted_at = Steady::now().time_since_epoch().count();
    if (write.admitted_at >= deadline) return "expired\n";
    if (write.token < largest_) {
      ++stale_writes_;
      return "stale\n";
    }
    largest_ = write.token;
    writes_.push_back(std::move(write));
    return "admitted\n";
  }

  std::mutex mutex_;
  std::vector<AdmittedWrite> writes_;
  Token largest_ = 0;
  std::size_t stale_writes_ = 0;
  Listener listener_;
};

// The processes, the relay between them and the faults.
class FaultRun {
 public:
  explicit FaultRun(unsigned seed)
      : random_(seed), binds_(kActors), relay_(load_balancer::testing::kRelayPath, Routes()) {
    std::printf("seed %u\n", seed);
    for (std::size_t i = 0; i < kActors; ++i) Start(i);
  }

  void Run() {
    const auto end = Steady::now() + kFaultDuration;
    while (Steady::now() < end) {
      EndFaults(false);
      InjectFault();
      std::this_thread::sleep_for(milliseconds(100 + random_() % 500));
    }
    EndFaults(true);
    relay_.SendCommand("CLEAR *");
  }
  // Waits for a write that began after this call. Returns whether there was one in time.
  bool WaitForNewWrite() {
    const auto now = Steady::now().time_since_epoch().count();
    const auto until = Steady::now() + kMaxWait;
    while (Steady::now() < until) {
      const auto all = resource_.Writes();
      if (!all.empty() && all.back().begin > now) return true;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }
  std::vector<AdmittedWrite> Writes() { return resource_.Writes(); }
  std::size_t CountStaleWrites() { return resource_.CountStaleWrites(); }
  std::size_t CountRejectedWrites() {
    std::size_t rejected = 0;
    for (auto& process : processes_)
      for (const std::string& line : process->Lines())
        rejected += line.starts_with("act ") && !line.ends_with("admitted");
    return rejected;
  }
  const std::map<std::string, int>& fault_counts() const { return fault_counts_; }

 private:
  std::vector<std::string> Routes() const {
    std::vector<std::string> routes;
    for (std::size_t i = 0; i < kActors; ++i)
      routes.push_back(Cluster::Name(i) + "=udp:127.0.0.1:0=" + LoopbackAddress(binds_[i].port()));
    return routes;
  }
  std::string VoteFileOf(std::size_t i) const { return folder_.path / (Cluster::Name(i) + ".votes"); }
  void Start(std::size_t i) {
    std::vector<std::string> args{"--name",      Cluster::Name(i),
                                  "--bind",      LoopbackAddress(binds_[i].port()),
                                  "--advertise", LoopbackAddress(relay_.Port(Cluster::Name(i))),
                                  "--votes",     VoteFileOf(i),
                                  "--resource",  std::to_string(resource_.port()),
                                  "--term",      std::to_string(kTerm.count()),
                                  "--seeds"};
    for (std::size_t s = 0; s < kActors; ++s) args.push_back(LoopbackAddress(relay_.Port(Cluster::Name(s))));
    processes_.at(i) = std::make_unique<Process>(load_balancer::testing::kLeaseActorPath, args,
                                                 std::map<std::string, std::string>{});
  }

  // An action that ends a fault, and the time at which it is due.
  struct Repair {
    Steady::time_point at;
    std::size_t actor;
    std::function<void()> run;
  };
  // Ends the faults that are due, or all faults.
  void EndFaults(bool all) {
    for (std::size_t i = 0; i < repairs_.size();) {
      if (!all && Steady::now() < repairs_[i].at) {
        ++i;
        continue;
      }
      const Repair due = std::move(repairs_[i]);
      repairs_.erase(repairs_.begin() + static_cast<std::ptrdiff_t>(i));
      due.run();
    }
  }
  bool IsStopped(std::size_t i) const {
    return std::any_of(repairs_.begin(), repairs_.end(), [i](const Repair& each) { return each.actor == i; });
  }

  std::size_t CountStopped() const {
    return static_cast<std::size_t>(std::count_if(repairs_.begin(), repairs_.end(),
                                                  [](const Repair& each) { return each.actor < kActors; }));
  }

  // Injects a random fault. Half of the faults concern the process that wrote last.
  void InjectFault() {
    const auto all = resource_.Writes();
    const std::size_t last = all.empty() ? 0 : static_cast<std::size_t>(all.back().actor.at(1) - '1');
    const std::size_t i = random_() % 2 == 0 ? last : random_() % kActors;
    const std::size_t other = (i + 1 + random_() % (kActors - 1)) % kActors;
    const auto ends_at = Steady::now() + milliseconds(300 + random_() % 4000);
    const std::string name = Cluster::Name(i), from = " from=" + LoopbackAddress(binds_[other].port());
    switch (random_() % 6) {
      case 0:
      case 1: {
        if (IsStopped(i) || CountStopped() >= kMaxStoppedActors) return;
        if (random_() % 2 == 0) {
          ++fault_counts_["SIGSTOP"];
          processes_[i]->Signal(SIGSTOP);
          return repairs_.push_back({ends_at, i, [this, i] { processes_[i]->Signal(SIGCONT); }});
        }
        ++fault_counts_["SIGKILL"];
        processes_[i]->Kill();
        if (random_() % 4 == 0) std::filesystem::remove(VoteFileOf(i));
        return repairs_.push_back({ends_at, i, [this, i] { Start(i); }});
      }
      case 2:
        return DisturbRoute("cut", name, from + " cut=1");
      case 3:
        return DisturbRoute("loss", name, " drop=0.3");
      case 4:
        return DisturbRoute("delay", name, " delay=700");
      default:
        return DisturbRoute("duplicate", name, " duplicate=0.3 reorder=0.3");
    }
  }
  // Disturbs a route for a random time. The end of one fault also clears the other faults of the route.
  void DisturbRoute(const std::string& name, const std::string& route, const std::string& fault) {
    ++fault_counts_[name];
    relay_.SendCommand("FAULT " + route + fault);
    repairs_.push_back({Steady::now() + milliseconds(300 + random_() % 2000), kActors,
                        [this, route] { relay_.SendCommand("CLEAR " + route); }});
  }

  std::mt19937 random_;
  const std::vector<LeasedPort> binds_;
  class Relay relay_;
  Folder folder_;
  Resource resource_;
  std::array<std::unique_ptr<Process>, kActors> processes_;
  std::vector<Repair> repairs_;
  std::map<std::string, int> fault_counts_;
};

class LeaseChaos : public ::testing::TestWithParam<unsigned> {};

TEST_P(LeaseChaos, WritesNeverOverlapAndStaleTokensAreRejected) {
  FaultRun run(GetParam());
  run.Run();
  EXPECT_TRUE(run.WaitForNewWrite());
  const std::vector<AdmittedWrite> all = run.Writes();
  std::size_t overlaps = 0, stale = 0, handovers = 0;
  for (std::size_t i = 1; i < all.size(); ++i) {
    stale += all[i].token < all[i - 1].token;
    handovers += all[i].token != all[i - 1].token;
  }
  // The writes are in the order of their admission. Each must have begun after all earlier writes under other
  // tokens had ended.
  std::map<Token, long long> ended;
  for (const AdmittedWrite& write : all) {
    for (const auto& [token, end] : ended) overlaps += token != write.token && write.begin < end;
    ended[write.token] = std::max(ended[write.token], write.admitted_at);
  }
  std::printf("acts=%zu hand-offs=%zu refused=%zu overlaps=%zu stale=%zu;", all.size(), handovers,
              run.CountRejectedWrites(), overlaps, stale);
  for (const auto& [fault, count] : run.fault_counts()) std::printf(" %s=%d", fault.c_str(), count);
  std::printf("\n");
  EXPECT_EQ(overlaps, 0u);
  EXPECT_EQ(stale, 0u);
  EXPECT_EQ(run.CountStaleWrites(), 0u);
  EXPECT_GT(handovers, 0u) << "no fault has affected a holder";
}

std::vector<unsigned> Seeds() {
  const char* named = std::getenv("LEASE_CHAOS_SEEDS");
  std::istringstream text(named ? named : "1");
  return {std::istream_iterator<unsigned>(text), {}};
}
INSTANTIATE_TEST_SUITE_P(Seeds, LeaseChaos, ::testing::ValuesIn(Seeds()));

}  // namespace
}  // namespace load_balancer::testing::fleet
