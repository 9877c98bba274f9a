// SPDX-License-Identifier: Apache-2.0
//
// Seven real processes that act for one duty, behind the relay, under a minute of faults: no two acts of two
// holders overlap, and the resource takes nothing that is stale. LEASE_CHAOS_SEEDS names the seeds (default
// "1").
#include <gtest/gtest.h>

#include <random>
#include <sstream>

#include "cluster.h"
#include "program_paths.h"

namespace load_balancer::testing::fleet {
namespace {

using Steady = std::chrono::steady_clock;
using Token = std::uint64_t;

constexpr std::size_t kActors = 7, kMostHit = 3;
constexpr milliseconds kFaults(60000), kTerm(2000);

struct Written {
  std::string who;
  Token token = 0;
  long long begin = 0, taken = 0;  // of the machine's monotonic clock, ns
};

// Takes writes of "WHO TOKEN BEGIN DEADLINE", one at a time, unless the deadline has passed or a larger token
// has written before.
class Resource {
 public:
  Resource() : listener_([this](Tcp::socket& socket) { Serve(socket); }) {}
  unsigned short port() const { return listener_.address.port(); }
  std::vector<Written> All() {
    const std::lock_guard lock(mutex_);
    return written_;
  }
  // Writes before their deadline, but after one with a larger token: two have held at once.
  std::size_t Rivals() {
    const std::lock_guard lock(mutex_);
    return rivals_;
  }

 private:
  void Serve(Tcp::socket& socket) {
    asio::streambuf in;
    error_code failed;
    while (asio::read_until(socket, in, '\n', failed), !failed) {
      Written write;
      long long deadline = 0;
      std::istream(&in) >> write.who >> write.token >> write.begin >> deadline;
      in.consume(in.size());
      asio::write(socket, asio::buffer(Take(std::move(write), deadline)), failed);
    }
  }
  std::string Take(Written write, long long deadline) {
    const std::lock_guard lock(mutex_);
    write.taken = Steady::now().time_since_epoch().count();
    if (write.taken >= deadline) return "past\n";
    if (write.token < largest_) {
      ++rivals_;
      return "older\n";
    }
    largest_ = write.token;
    written_.push_back(std::move(write));
    return "taken\n";
  }

  std::mutex mutex_;
  std::vector<Written> written_;
  Token largest_ = 0;
  std::size_t rivals_ = 0;
  Listener listener_;
};

class Chaos {
 public:
  explicit Chaos(unsigned seed)
      : random_(seed), binds_(kActors), relay_(load_balancer::testing::kRelayPath, Routes()) {
    std::printf("seed %u\n", seed);
    for (std::size_t i = 0; i < kActors; ++i) Start(i);
  }

  void Run() {
    const auto end = Steady::now() + kFaults;
    while (Steady::now() < end) {
      Undo(false);
      Hit();
      std::this_thread::sleep_for(milliseconds(100 + random_() % 500));
    }
    Undo(true);
    relay_.SendCommand("CLEAR *");
  }
  // Somebody's write is taken after the faults.
  bool ActsAgain() {
    const auto now = Steady::now().time_since_epoch().count();
    const auto until = Steady::now() + kMaxWait;
    while (Steady::now() < until) {
      const auto all = resource_.All();
      if (!all.empty() && all.back().begin > now) return true;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }
  std::vector<Written> Writes() { return resource_.All(); }
  std::size_t Rivals() { return resource_.Rivals(); }
  std::size_t Refused() {
    std::size_t refused = 0;
    for (auto& process : processes_)
      for (const std::string& line : process->Lines())
        refused += line.starts_with("act ") && !line.ends_with("taken");
    return refused;
  }
  const std::map<std::string, int>& done() const { return done_; }

 private:
  std::vector<std::string> Routes() const {
    std::vector<std::string> routes;
    for (std::size_t i = 0; i < kActors; ++i)
      routes.push_back(Cluster::Name(i) + "=udp:127.0.0.1:0=" + LoopbackAddress(binds_[i].port()));
    return routes;
  }
  std::string VotesOf(std::size_t i) const { return folder_.path / (Cluster::Name(i) + ".votes"); }
  void Start(std::size_t i) {
    std::vector<std::string> args{"--name",      Cluster::Name(i),
                                  "--bind",      LoopbackAddress(binds_[i].port()),
                                  "--advertise", LoopbackAddress(relay_.Port(Cluster::Name(i))),
                                  "--votes",     VotesOf(i),
                                  "--resource",  std::to_string(resource_.port()),
                                  "--term",      std::to_string(kTerm.count()),
                                  "--seeds"};
    for (std::size_t s = 0; s < kActors; ++s) args.push_back(LoopbackAddress(relay_.Port(Cluster::Name(s))));
    processes_.at(i) = std::make_unique<Process>(load_balancer::testing::kLeaseActorPath, args,
                                                 std::map<std::string, std::string>{});
  }

  // What is to be undone, and when.
  struct Later {
    Steady::time_point at;
    std::size_t who;
    std::function<void()> undo;
  };
  void Undo(bool all) {
    for (std::size_t i = 0; i < later_.size();) {
      if (!all && Steady::now() < later_[i].at) {
        ++i;
        continue;
      }
      const Later due = std::move(later_[i]);
      later_.erase(later_.begin() + static_cast<std::ptrdiff_t>(i));
      due.undo();
    }
  }
  bool Down(std::size_t i) const {
    return std::any_of(later_.begin(), later_.end(), [i](const Later& each) { return each.who == i; });
  }

  std::size_t CountDown() const {
    return static_cast<std::size_t>(
        std::count_if(later_.begin(), later_.end(), [](const Later& each) { return each.who < kActors; }));
  }

  void Hit() {
    // Whoever wrote last, half of the time.
    const auto all = resource_.All();
    const std::size_t last = all.empty() ? 0 : static_cast<std::size_t>(all.back().who.at(1) - '1');
    const std::size_t i = random_() % 2 == 0 ? last : random_() % kActors;
    const std::size_t other = (i + 1 + random_() % (kActors - 1)) % kActors;
    const auto lasts = Steady::now() + milliseconds(300 + random_() % 4000);
    const std::string name = Cluster::Name(i), from = " from=" + LoopbackAddress(binds_[other].port());
    switch (random_() % 6) {
      case 0:
      case 1: {
        if (Down(i) || CountDown() >= kMostHit) return;
        if (random_() % 2 == 0) {
          ++done_["SIGSTOP"];
          processes_[i]->Signal(SIGSTOP);
          return later_.push_back({lasts, i, [this, i] { processes_[i]->Signal(SIGCONT); }});
        }
        ++done_["SIGKILL"];
        processes_[i]->Kill();
        if (random_() % 4 == 0) std::filesystem::remove(VotesOf(i));
        return later_.push_back({lasts, i, [this, i] { Start(i); }});
      }
      case 2:
        return Disturb("cut", name, from + " cut=1");
      case 3:
        return Disturb("loss", name, " drop=0.3");
      case 4:
        return Disturb("delay", name, " delay=700");
      default:
        return Disturb("doubled", name, " duplicate=0.3 reorder=0.3");
    }
  }
  // For a while; one that ends takes the route's others along.
  void Disturb(const std::string& what, const std::string& route, const std::string& fault) {
    ++done_[what];
    relay_.SendCommand("FAULT " + route + fault);
    later_.push_back({Steady::now() + milliseconds(300 + random_() % 2000), kActors,
                      [this, route] { relay_.SendCommand("CLEAR " + route); }});
  }

  std::mt19937 random_;
  const std::vector<LeasedPort> binds_;
  class Relay relay_;
  Folder folder_;
  Resource resource_;
  std::array<std::unique_ptr<Process>, kActors> processes_;
  std::vector<Later> later_;
  std::map<std::string, int> done_;
};

class LeaseChaos : public ::testing::TestWithParam<unsigned> {};

TEST_P(LeaseChaos, NoTwoActAtOnceAndNothingStaleIsTaken) {
  Chaos chaos(GetParam());
  chaos.Run();
  EXPECT_TRUE(chaos.ActsAgain());
  const std::vector<Written> all = chaos.Writes();
  std::size_t overlaps = 0, stale = 0, hand_offs = 0;
  for (std::size_t i = 1; i < all.size(); ++i) {
    stale += all[i].token < all[i - 1].token;
    hand_offs += all[i].token != all[i - 1].token;
  }
  // In the order in which they were taken: each act began after the last of another holder had ended.
  std::map<Token, long long> ended;
  for (const Written& write : all) {
    for (const auto& [token, end] : ended) overlaps += token != write.token && write.begin < end;
    ended[write.token] = std::max(ended[write.token], write.taken);
  }
  std::printf("acts=%zu hand-offs=%zu refused=%zu overlaps=%zu stale=%zu;", all.size(), hand_offs,
              chaos.Refused(), overlaps, stale);
  for (const auto& [what, times] : chaos.done()) std::printf(" %s=%d", what.c_str(), times);
  std::printf("\n");
  EXPECT_EQ(overlaps, 0u);
  EXPECT_EQ(stale, 0u);
  EXPECT_EQ(chaos.Rivals(), 0u);
  EXPECT_GT(hand_offs, 0u) << "the faults must have reached the holders";
}

std::vector<unsigned> Seeds() {
  const char* named = std::getenv("LEASE_CHAOS_SEEDS");
  std::istringstream text(named ? named : "1");
  return {std::istream_iterator<unsigned>(text), {}};
}
INSTANTIATE_TEST_SUITE_P(Seeds, LeaseChaos, ::testing::ValuesIn(Seeds()));

}  // namespace
}  // namespace load_balancer::testing::fleet
