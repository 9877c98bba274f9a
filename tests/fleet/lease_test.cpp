// SPDX-License-Identifier: Apache-2.0
//
// Leases among real processes, with faults between them; and of the protocol alone what processes cannot be
// brought to show.
#include <gtest/gtest.h>

#include "cluster.h"
#include "fleet/lease/leases.h"
#include "fleet/state/state.h"
#include "fleet/wire/codec.h"

namespace load_balancer::testing::fleet {
namespace {

namespace fl = load_balancer::fleet;

constexpr milliseconds kTerm(1200), kDrift(100);

// A discovery that counts its watches and keeps their tokens; every watch is told of one server.
class CountingDiscovery {
 public:
  struct Seen {
    std::map<std::string, int> open;    // watches by token; "" for none
    std::vector<std::string> began;     // tokens in the order of their watches
    std::size_t most_held_at_once = 0;  // tokens with a watch
  };
  explicit CountingDiscovery(nlohmann::json list)
      : list_(list.dump() + "\n"), listener_([this](Tcp::socket& s) { Serve(s); }) {}
  Tcp::endpoint address() const { return listener_.address; }
  Watched<Seen> seen;

 private:
  // Holders, not connections: one that opens its watch anew may be heard before its last one's end.
  static std::size_t Held(const Seen& s) {
    std::size_t held = 0;
    for (const auto& [token, count] : s.open) held += !token.empty() && count > 0;
    return held;
  }
  void Serve(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    HttpRequest request;
    error_code failed;
    http::read(socket, buffer, request, failed);
    if (failed) return;
    const std::string token(request["Fencing-Token"]);
    seen.Do([&](Seen& s) {
      s.began.push_back(token);
      ++s.open[token];
      s.most_held_at_once = std::max(s.most_held_at_once, Held(s));
    });
    char size[24];
    std::snprintf(size, sizeof size, "%zx", list_.size());
    SendRaw(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(size) + "\r\n" +
                        list_ + "\r\n");
    char byte;
    asio::read(socket, asio::buffer(&byte, 1), failed);  // until the proxy goes
    seen.Do([&](Seen& s) { --s.open[token]; });
  }

  const std::string list_;
  Listener listener_;
};

class Leased : public ::testing::Test {
 protected:
  explicit Leased(int servers = 1) : discovery(ListJson(50, true, Servers(servers))) {}

  // All five are seeds, so that all vote.
  std::unique_ptr<Cluster> Start() {
    nlohmann::json section{{"probe_interval_ms", 100},
                           {"sync_interval_ms", 300},
                           {"lease_term_ms", kTerm.count()},
                           {"lease_drift_ms", kDrift.count()}};
    auto cluster =
        std::make_unique<Cluster>(5, section, ConfigJson(discovery.address(), {}), Cluster::NoEdit, 5);
    EXPECT_TRUE(cluster->WaitUntilAllAlive());
    return cluster;
  }
  // The member that logs that it holds discovery, from the marks on; 5 if none does in time.
  static std::size_t WaitForHolder(Cluster& cluster, const std::vector<std::size_t>& marks,
                                   const std::vector<std::size_t>& among) {
    const auto until = std::chrono::steady_clock::now() + kMaxWait;
    while (std::chrono::steady_clock::now() < until) {
      for (const std::size_t i : among)
        if (cluster.process(i).WaitFor(kHolds, marks[i], milliseconds(5))) return i;
    }
    return 5;
  }
  static fl::FencingToken TokenIn(const std::string& line) {
    return std::stoull(line.substr(line.find(" token=") + 7));
  }
  static fl::FencingToken TokenOf(Cluster& cluster, std::size_t member, std::size_t mark) {
    return TokenIn(cluster.process(member).WaitFor(kHolds, mark)->second);
  }
  static std::vector<std::size_t> Others(std::size_t but) {
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < 5; ++i)
      if (i != but) others.push_back(i);
    return others;
  }
  // Exactly one watch is open, and it carries this token.
  bool WaitForOneWatch(fl::FencingToken token) {
    return discovery.seen.WaitFor([&](const CountingDiscovery::Seen& s) {
      for (const auto& [each, count] : s.open)
        if (count != (each == std::to_string(token) ? 1 : 0)) return false;
      return s.open.contains(std::to_string(token));
    });
  }
  // No watches of two tokens were open at once, and tokens only grew.
  void ExpectOneHolderAtATime() {
    const auto s = discovery.seen.Get();
    EXPECT_LE(s.most_held_at_once, 1u);
    fl::FencingToken last = 0;
    for (const std::string& token : s.began) {
      if (token.empty()) continue;
      EXPECT_GE(std::stoull(token), last);
      last = std::stoull(token);
    }
  }

  // The entries s-1 to s-N of a list, all of one server.
  std::vector<nlohmann::json> Servers(int count) {
    std::vector<nlohmann::json> servers;
    for (int i = 1; i <= count; ++i)
      servers.push_back(MemberJson("s-" + std::to_string(i), server.address()));
    return servers;
  }

  // The member's file of maintenance comes to name the server.
  static bool WaitUntilOut(Cluster& cluster, std::size_t member) {
    const auto until = std::chrono::steady_clock::now() + kMaxWait;
    while (std::chrono::steady_clock::now() < until) {
      for (const auto& entry : std::filesystem::directory_iterator(cluster[member].folder->path)) {
        if (entry.path().extension() != ".maintenance") continue;
        std::ifstream in(entry.path());
        if (std::string(std::istreambuf_iterator<char>(in), {}) == "s-1\n") return true;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

  static constexpr const char* kHolds = "lease duty=discovery role=holder";
  Backend server;
  CountingDiscovery discovery;
};

TEST_F(Leased, OneWatchesDiscoveryAndTheOthersServeByItsList) {
  const auto cluster = Start();
  const std::size_t holder = WaitForHolder(*cluster, {0, 0, 0, 0, 0}, {0, 1, 2, 3, 4});
  ASSERT_LT(holder, 5u);
  EXPECT_TRUE(WaitForOneWatch(TokenOf(*cluster, holder, 0)));
  for (std::size_t i = 0; i < 5; ++i)
    EXPECT_EQ(Client((*cluster)[i].clients).Ask(Look()).body(), "served") << i;
  EXPECT_TRUE(Call((*cluster)[holder].operators, "LEASES").starts_with("ACK discovery holder holder=n"));
  ExpectOneHolderAtATime();
}

class LeasedWithALongList : public Leased {
 protected:
  static constexpr int kServers = 200;
  LeasedWithALongList() : Leased(kServers) {}

  // All servers, the announcements of both leases, and the set of servers in maintenance.
  static bool WaitForAll(Cluster& cluster, std::size_t member) {
    const std::string all = "facts=" + std::to_string(kServers + 3) + ",";
    const auto until = std::chrono::steady_clock::now() + kMaxWait;
    while (std::chrono::steady_clock::now() < until) {
      if (Call(cluster[member].operators, "STATE").find(all) != std::string::npos) return true;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }
};

// Guards against the holder's list using up the bytes a second that probes and leases need, too.
TEST_F(LeasedWithALongList, ItReachesAllAndHoldsBackNeitherProbesNorLeases) {
  const auto cluster = Start();
  for (std::size_t i = 0; i < 5; ++i)
    EXPECT_TRUE(WaitForAll(*cluster, i)) << i << " " << Call((*cluster)[i].operators, "STATE");
  for (std::size_t i = 0; i < 5; ++i) EXPECT_EQ(cluster->Counter(i, "throttled"), 0u) << i;
  EXPECT_EQ(cluster->Count(" state=dead "), 0u);
}

TEST_F(Leased, AKilledHolderIsReplacedInTimeWithALargerToken) {
  const auto cluster = Start();
  const std::size_t holder = WaitForHolder(*cluster, {0, 0, 0, 0, 0}, {0, 1, 2, 3, 4});
  ASSERT_LT(holder, 5u);
  const fl::FencingToken token = TokenOf(*cluster, holder, 0);
  ASSERT_TRUE(WaitForOneWatch(token));
  const auto marks = cluster->LineCounts();
  const auto killed = std::chrono::steady_clock::now();
  cluster->process(holder).Kill();
  const std::size_t next = WaitForHolder(*cluster, marks, Others(holder));
  ASSERT_LT(next, 5u);
  const auto line = cluster->process(next).WaitFor(kHolds, marks[next]);
  const auto took = cluster->process(next).LineReadAt(line->first) - killed;
  // The voters' term and bound, what a follower still waits, and a round or two of asking.
  EXPECT_LE(took, 2 * kTerm + 3 * kDrift);
  std::printf("handed on after %lld ms\n",
              static_cast<long long>(std::chrono::duration_cast<milliseconds>(took).count()));
  EXPECT_GT(TokenIn(line->second), token);
  EXPECT_TRUE(WaitForOneWatch(TokenIn(line->second)));
  ExpectOneHolderAtATime();
}

TEST_F(Leased, AHolderThatStoodStillStepsDownAndItsOldTokenIsRefused) {
  const auto cluster = Start();
  const std::size_t holder = WaitForHolder(*cluster, {0, 0, 0, 0, 0}, {0, 1, 2, 3, 4});
  ASSERT_LT(holder, 5u);
  const fl::FencingToken token = TokenOf(*cluster, holder, 0);
  const auto marks = cluster->LineCounts();
  cluster->process(holder).Signal(SIGSTOP);
  const std::size_t next = WaitForHolder(*cluster, marks, Others(holder));
  ASSERT_LT(next, 5u);
  cluster->process(holder).Signal(SIGCONT);
  EXPECT_TRUE(cluster->process(holder).WaitFor("lease duty=discovery role=waiting", marks[holder]));
  EXPECT_TRUE(cluster->process(holder).WaitFor("lease duty=discovery role=follower", marks[holder]));
  // What it would have written under the old lease.
  const auto wall = static_cast<fl::UnixMs>(
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
  fl::Message message;
  message.kind = fl::Message::Kind::kState;
  message.sender = {Cluster::Name(holder), Udp::endpoint(kAnyPort.address(), 9), fl::MemberState::kAlive, 1,
                    ""};
  message.state = {{"d",
                    "server/s-1",
                    wall << 16,
                    Cluster::Name(holder),
                    "discovery",
                    token,
                    wall + 5000,
                    {{"revision", 99}, {"members", nlohmann::json::array()}}}};
  boost::asio::io_context io;
  Udp::socket socket(io, Udp::endpoint(kAnyPort.address(), 0));
  socket.send_to(asio::buffer(fl::Encode("flintspar", message)),
                 Udp::endpoint(kAnyPort.address(), cluster->bind(next)));
  EXPECT_TRUE(cluster->process(next).WaitFor("state server=server/s-1 from=" + Cluster::Name(holder) +
                                             " refused=fenced"));
}

TEST_F(Leased, TheMinoritySideOfAPartitionStopsAndTheMajorityGoesOn) {
  const auto cluster = Start();
  const std::size_t holder = WaitForHolder(*cluster, {0, 0, 0, 0, 0}, {0, 1, 2, 3, 4});
  ASSERT_LT(holder, 5u);
  const std::size_t mate = holder == 0 ? 1 : 0;
  std::vector<std::size_t> majority;
  for (const std::size_t i : Others(holder))
    if (i != mate) majority.push_back(i);
  const auto marks = cluster->LineCounts();
  cluster->Cut({holder, mate});
  const auto stopped = cluster->process(holder).WaitFor("lease duty=discovery role=waiting", marks[holder]);
  ASSERT_TRUE(stopped);
  const std::size_t next = WaitForHolder(*cluster, marks, majority);
  ASSERT_LT(next, 5u);
  const auto acts = cluster->process(next).WaitFor(kHolds, marks[next]);
  EXPECT_LT(cluster->process(holder).LineReadAt(stopped->first),
            cluster->process(next).LineReadAt(acts->first));
  // Without a quorum the other side does the duty without a lease, so that service goes on.
  EXPECT_TRUE(cluster->process(holder).WaitFor("lease duty=discovery role=alone", marks[holder]));
  cluster->Heal();
  EXPECT_TRUE(cluster->process(holder).WaitFor("lease duty=discovery role=follower", marks[holder]));
  EXPECT_TRUE(WaitForOneWatch(TokenIn(acts->second)));
  ExpectOneHolderAtATime();
}

TEST_F(Leased, MaintenanceIsTakenByItsHolderAndReachesAll) {
  const auto cluster = Start();
  std::size_t holder = 5;
  for (std::size_t i = 0; i < 5; ++i)
    ASSERT_TRUE(cluster->process(i).WaitFor("lease duty=maintenance role=")) << i;
  for (std::size_t i = 0; i < 5; ++i) {
    const std::string leases = Call((*cluster)[i].operators, "LEASES");
    if (leases.find("maintenance holder") != std::string::npos) holder = i;
  }
  ASSERT_LT(holder, 5u);
  const std::size_t other = holder == 0 ? 1 : 0;
  ASSERT_TRUE(cluster->process(other).WaitFor("lease duty=maintenance role=follower"));
  EXPECT_TRUE(Call((*cluster)[other].operators, "DETACH s-1").starts_with("NAK LEASE-6 "));
  EXPECT_EQ(Call((*cluster)[holder].operators, "DETACH s-1"), "ACK detached");
  EXPECT_TRUE(WaitUntilOut(*cluster, other));
}

TEST_F(Leased, WithoutAQuorumMaintenanceIsRefusedWithACodeAndNothingIsChanged) {
  const auto cluster = Start();
  cluster->Cut({0, 1});
  // Whether a call to one of these is answered so in the end.
  const auto answered = [&](const std::vector<std::size_t>& members, const std::string& answer) {
    const auto until = std::chrono::steady_clock::now() + kMaxWait;
    for (; std::chrono::steady_clock::now() < until; std::this_thread::sleep_for(milliseconds(20)))
      for (const std::size_t member : members)
        if (Call((*cluster)[member].operators, "DETACH s-1").starts_with(answer)) return true;
    return false;
  };
  ASSERT_TRUE(answered({0}, "NAK LEASE-7"));
  cluster->Heal();
  ASSERT_TRUE(answered({0, 1, 2, 3, 4}, "ACK detached"));
  for (std::size_t i = 0; i < 5; ++i) EXPECT_TRUE(WaitUntilOut(*cluster, i)) << i;
}

TEST_F(Leased, HandOffsUnder30PercentLossAreBounded) {
  const auto cluster = Start();
  ASSERT_LT(WaitForHolder(*cluster, {0, 0, 0, 0, 0}, {0, 1, 2, 3, 4}), 5u);
  const std::size_t before = cluster->Count("role=holder");
  cluster->SendRelayCommand("FAULT * drop=0.3");
  EXPECT_FALSE(cluster->process(0).WaitFor("no such line", 0, 10 * kTerm));
  std::size_t granted = 0;
  for (std::size_t i = 0; i < 5; ++i)
    for (const std::string& line : cluster->process(i).Lines())
      granted +=
          line.find("duty=discovery role=holder") != std::string::npos && line.ends_with("why=granted");
  std::printf("hand-offs in ten terms of 30%% loss: %zu\n", granted - 1);
  EXPECT_GT(cluster->Count("role=holder"), before) << "it is renewed, or handed on";
  EXPECT_LE(granted, 1 + 10u) << "no more than one a term";
  ExpectOneHolderAtATime();
}

// Three members whose messages wait here until they are delivered, on clocks that the test sets.
struct Table {
  struct Post {
    Udp::endpoint from, to;
    fl::LeaseMessage message;
  };
  struct Seat : fl::Leases::Callbacks {
    void Send(const Udp::endpoint& to, const fl::LeaseMessage& message) override {
      table->posts.push_back({address, to, message});
    }
    void OnLeaseStatus(const std::string&, fl::LeaseStatus status, fl::FencingToken token,
                       load_balancer::Span, std::string_view) override {
      if (status == fl::LeaseStatus::kHolder) tokens.push_back(token);
    }
    void OnFailure(const load_balancer::Failure& failure) override { ADD_FAILURE() << failure.Text(); }
    Table* table = nullptr;
    Udp::endpoint address;
    std::unique_ptr<fl::Leases> leases;
    std::vector<fl::FencingToken> tokens;
  };
  Table() {
    for (unsigned short i = 0; i < 3; ++i) Sit(i);
  }
  void Sit(unsigned short i) {
    seats[i].table = this;
    seats[i].address = Udp::endpoint(kAnyPort.address(), static_cast<unsigned short>(i + 1));
    fl::LeaseOptions options;
    options.holder = Cluster::Name(i) + "/" + std::to_string(now.time_since_epoch().count());
    options.address = seats[i].address;
    for (unsigned short v = 1; v <= 3; ++v) options.voters.emplace_back(kAnyPort.address(), v);
    options.leased_roles = {{"d", fl::LeasedRoleKind::kAvailable}};
    options.seed = i;
    seats[i].leases = std::make_unique<fl::Leases>(options, now, seats[i]);
  }
  void Run(milliseconds span, const std::set<std::size_t>& silent = {}) {
    for (const auto until = now + span; now < until; now += milliseconds(10)) {
      for (std::size_t i = 0; i < 3; ++i)
        if (!silent.contains(i)) seats[i].leases->Tick(now, 1000);
      while (!posts.empty()) {
        const Post post = posts.front();
        posts.pop_front();
        const std::size_t to = post.to.port() - 1u, from = post.from.port() - 1u;
        if (!silent.contains(to) && !silent.contains(from))
          seats[to].leases->Receive(now, post.from, post.message);
      }
      std::size_t holders = 0;
      for (const Seat& seat : seats) holders += seat.leases->status(now, "d") == fl::LeaseStatus::kHolder;
      EXPECT_LE(holders, 1u);
    }
  }
  std::size_t Holder() const {
    for (std::size_t i = 0; i < 3; ++i)
      if (seats[i].leases->status(now, "d") == fl::LeaseStatus::kHolder) return i;
    return 3;
  }

  load_balancer::Time now{std::chrono::hours(1)};
  std::deque<Post> posts;
  std::array<Seat, 3> seats;
};

TEST(Protocol, ALeaseNeedsAMajorityAndTokensGrowEvenIfTheWallClockStandsStill) {
  Table table;
  table.Run(milliseconds(3000));
  EXPECT_EQ(table.Holder(), 3u) << "a voter that has just started may have granted before";
  table.Run(milliseconds(3000));
  const std::size_t first = table.Holder();
  ASSERT_LT(first, 3u);
  const fl::FencingToken token = table.seats[first].tokens.back();
  table.Run(milliseconds(12000));
  EXPECT_EQ(table.Holder(), first) << "renewed";
  EXPECT_EQ(table.seats[first].leases->token("d"), token);
  table.Run(milliseconds(10000), {first});
  EXPECT_EQ(table.seats[first].leases->status(table.now, "d"), fl::LeaseStatus::kWaiting)
      << "by the clock alone";
  const std::size_t second = table.Holder();
  ASSERT_LT(second, 3u);
  EXPECT_GT(table.seats[second].leases->token("d"), token);
  table.Run(milliseconds(10000), {first, second});
  EXPECT_EQ(table.Holder(), 3u) << "one of three is no majority";
}

TEST(Protocol, ALeaseIsFollowedThoughLargerTokensWereAskedForInVain) {
  Table table;
  table.Run(milliseconds(6000));
  const std::size_t first = table.Holder();
  ASSERT_LT(first, 3u);
  fl::Leases& leases = *table.seats[(first + 1) % 3].leases;
  // Two are cut off, and this one asks in vain, each time for a larger token.
  table.Run(milliseconds(9000), {first, (first + 2) % 3});
  leases.RaiseLargestToken("d", 1u << 30);
  leases.ObserveHolder(table.now, "d", "n9/1", table.seats[first].leases->token("d") + 1, milliseconds(1000));
  EXPECT_EQ(leases.status(table.now, "d"), fl::LeaseStatus::kFollower);
}

TEST(Protocol, AHolderThatGivesUpIsFollowedAtOnceAndARestartedVoterKeepsStill) {
  Table table;
  table.Run(milliseconds(6000));
  const std::size_t first = table.Holder();
  ASSERT_LT(first, 3u);
  table.seats[first].leases->Release(table.now);
  table.Run(milliseconds(3000));
  const std::size_t second = table.Holder();
  ASSERT_LT(second, 3u);
  EXPECT_NE(second, first);
  // Both others forget all; what they granted must hold for its term all the same.
  for (unsigned short i = 0; i < 3; ++i)
    if (i != second) table.Sit(i);
  table.Run(milliseconds(2500));
  EXPECT_TRUE(table.Holder() == second || table.Holder() == 3);
}

}  // namespace
}  // namespace load_balancer::testing::fleet
