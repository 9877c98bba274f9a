// SPDX-License-Identifier: Apache-2.0
//
// Tests leases among real processes with network faults, and tests the protocol alone for cases that
// cannot be produced with processes.
#include <gtest/gtest.h>

#include "cluster.h"
#include "fleet/lease/leases.h"
#include "fleet/state/state.h"
#include "fleet/wire/codec.h"

namespace load_balancer::testing::fleet {
namespace {

namespace fl = load_balancer::fleet;

constexpr milliseconds kTerm(1200), kDrift(100);

// A stand-in discovery that counts its watches by token and answers each watch with the list that it was
// given.
class CountingDiscovery {
 public:
  struct Watches {
    std::map<std::string, int> open;   // number of open watches by token; "" if a watch has no token
    std::vector<std::string> started;  // tokens of all watches, in the order of their start
    std::size_t max_open_tokens = 0;   // maximum number of tokens with an open watch
  };
  explicit CountingDiscovery(nlohmann::json list)
      : list_(list.dump() + "\n"), listener_([this](Tcp::socket& s) { Serve(s); }) {}
  Tcp::endpoint address() const { return listener_.address; }
  Watched<Watches> watches;

 private:
  // Counts tokens instead of connections, since a holder may open a new watch before the end of its last one
  // is seen.
  static std::size_t CountOpenTokens(const Watches& s) {
    std::size_t count_open = 0;
    for (const auto& [token, count] : s.open) count_open += !token.empty() && count > 0;
    return count_open;
  }
  void Serve(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    HttpRequest request;
    error_code error;
    http::read(socket, buffer, request, error);
    if (error) return;
    const std::string token(request["Fencing-Token"]);
    watches.Do([&](Watches& s) {
      s.started.push_back(token);
      ++s.open[token];
      s.max_open_tokens = std::max(s.max_open_tokens, CountOpenTokens(s));
    });
    char size[24];
    std::snprintf(size, sizeof size, "%zx", list_.size());
    SendRaw(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(size) + "\r\n" +
                        list_ + "\r\n");
    char byte;
    asio::read(socket, asio::buffer(&byte, 1), error);  // returns when the proxy closes the watch
    watches.Do([&](Watches& s) { --s.open[token]; });
  }

  const std::string list_;
  Listener listener_;
};

class FleetLeases : public ::testing::Test {
 protected:
  explicit FleetLeases(int servers = 1) : discovery(ListJson(50, true, Servers(servers))) {}

  // Starts five processes. All are seeds, so all vote.
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
  // Waits until one of the members logs, after its mark in the log, that it holds the lease of discovery.
  // Returns the index of that member, or 5 if none logs it in time.
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
  static std::vector<std::size_t> Others(std::size_t excluded) {
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < 5; ++i)
      if (i != excluded) others.push_back(i);
    return others;
  }
  // Waits until exactly one watch is open and it has this token. Returns whether that happened in time.
  bool WaitForOneWatch(fl::FencingToken token) {
    return discovery.watches.WaitFor([&](const CountingDiscovery::Watches& s) {
      for (const auto& [each, count] : s.open)
        if (count != (each == std::to_string(token) ? 1 : 0)) return false;
      return s.open.contains(std::to_string(token));
    });
  }
  // Checks that watches with different tokens were never open at once and that tokens never decreased.
  void ExpectOneHolderAtATime() {
    const auto s = discovery.watches.Get();
    EXPECT_LE(s.max_open_tokens, 1u);
    fl::FencingToken last = 0;
    for (const std::string& token : s.started) {
      if (token.empty()) continue;
      EXPECT_GE(std::stoull(token), last);
      last = std::stoull(token);
    }
  }

  // Returns the list entries s-1 to s-`count`, which all have the address of the one server.
  std::vector<nlohmann::json> Servers(int count) {
    std::vector<nlohmann::json> servers;
    for (int i = 1; i <= count; ++i)
      servers.push_back(MemberJson("s-" + std::to_string(i), server.address()));
    return servers;
  }

  // Waits until the member's maintenance file contains the server s-1.
  static bool WaitUntilInMaintenance(Cluster& cluster, std::size_t member) {
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

TEST_F(FleetLeases, OnlyTheHolderWatchesDiscoveryAndAllMembersServe) {
  const auto cluster = Start();
  const std::size_t holder = WaitForHolder(*cluster, {0, 0, 0, 0, 0}, {0, 1, 2, 3, 4});
  ASSERT_LT(holder, 5u);
  EXPECT_TRUE(WaitForOneWatch(TokenOf(*cluster, holder, 0)));
  for (std::size_t i = 0; i < 5; ++i)
    EXPECT_EQ(Client((*cluster)[i].clients).Ask(Look()).body(), "served") << i;
  EXPECT_TRUE(Call((*cluster)[holder].operators, "LEASES").starts_with("ACK discovery holder holder=n"));
  ExpectOneHolderAtATime();
}

class FleetLeasesWithALongList : public FleetLeases {
 protected:
  static constexpr int kServers = 200;
  FleetLeasesWithALongList() : FleetLeases(kServers) {}

  // Waits until the member has the entries of all servers, two lease announcements and the set of servers in
  // maintenance.
  static bool WaitForAllEntries(Cluster& cluster, std::size_t member) {
    const std::string all = "facts=" + std::to_string(kServers + 3) + ",";
    const auto until = std::chrono::steady_clock::now() + kMaxWait;
    while (std::chrono::steady_clock::now() < until) {
      if (Call(cluster[member].operators, "STATE").find(all) != std::string::npos) return true;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }
};

// Guards against a list that uses up the bandwidth limit, which probes and leases share.
TEST_F(FleetLeasesWithALongList, TheListReachesAllMembersWithoutThrottlingProbesOrLeases) {
  const auto cluster = Start();
  for (std::size_t i = 0; i < 5; ++i)
    EXPECT_TRUE(WaitForAllEntries(*cluster, i)) << i << " " << Call((*cluster)[i].operators, "STATE");
  for (std::size_t i = 0; i < 5; ++i) EXPECT_EQ(cluster->Counter(i, "throttled"), 0u) << i;
  EXPECT_EQ(cluster->Count(" state=dead "), 0u);
}

TEST_F(FleetLeases, AKilledHolderIsReplacedInTimeUnderALargerToken) {
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
  // The votes last for a term and the drift bound. Followers wait up to two drift bounds longer, and the
  // acquisition takes one or two rounds of requests.
  EXPECT_LE(took, 2 * kTerm + 3 * kDrift);
  std::printf("handover after %lld ms\n",
              static_cast<long long>(std::chrono::duration_cast<milliseconds>(took).count()));
  EXPECT_GT(TokenIn(line->second), token);
  EXPECT_TRUE(WaitForOneWatch(TokenIn(line->second)));
  ExpectOneHolderAtATime();
}

TEST_F(FleetLeases, AStalledHolderStepsDownAndItsOldTokenIsRejected) {
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
  // Sends an entry that the stalled holder could have written under its old lease.
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

TEST_F(FleetLeases, TheMinoritySideOfAPartitionLosesTheLeaseBeforeTheMajorityAcquiresIt) {
  const auto cluster = Start();
  const std::size_t holder = WaitForHolder(*cluster, {0, 0, 0, 0, 0}, {0, 1, 2, 3, 4});
  ASSERT_LT(holder, 5u);
  const std::size_t companion = holder == 0 ? 1 : 0;
  std::vector<std::size_t> majority;
  for (const std::size_t i : Others(holder))
    if (i != companion) majority.push_back(i);
  const auto marks = cluster->LineCounts();
  cluster->Cut({holder, companion});
  const auto lost_lease =
      cluster->process(holder).WaitFor("lease duty=discovery role=waiting", marks[holder]);
  ASSERT_TRUE(lost_lease);
  const std::size_t next = WaitForHolder(*cluster, marks, majority);
  ASSERT_LT(next, 5u);
  const auto acquired = cluster->process(next).WaitFor(kHolds, marks[next]);
  EXPECT_LT(cluster->process(holder).LineReadAt(lost_lease->first),
            cluster->process(next).LineReadAt(acquired->first));
  // Without a quorum, the minority side performs the role without a lease, so that it continues to serve.
  EXPECT_TRUE(cluster->process(holder).WaitFor("lease duty=discovery role=alone", marks[holder]));
  cluster->Heal();
  EXPECT_TRUE(cluster->process(holder).WaitFor("lease duty=discovery role=follower", marks[holder]));
  EXPECT_TRUE(WaitForOneWatch(TokenIn(acquired->second)));
  ExpectOneHolderAtATime();
}

TEST_F(FleetLeases, OnlyTheHolderAcceptsMaintenanceCommandsAndOthersApplyThem) {
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
  EXPECT_TRUE(WaitUntilInMaintenance(*cluster, other));
}

TEST_F(FleetLeases, MaintenanceCommandsFailWithACodeUntilThereIsAQuorum) {
  const auto cluster = Start();
  cluster->Cut({0, 1});
  // Sends the DETACH command to the members until one of them returns `answer`. Returns false if none returns
  // it in time.
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
  for (std::size_t i = 0; i < 5; ++i) EXPECT_TRUE(WaitUntilInMaintenance(*cluster, i)) << i;
}

TEST_F(FleetLeases, HandoversUnder30PercentLossAreBounded) {
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
  std::printf("handovers in ten terms of 30%% loss: %zu\n", granted - 1);
  EXPECT_GT(cluster->Count("role=holder"), before) << "the lease was neither renewed nor acquired";
  EXPECT_LE(granted, 1 + 10u) << "there was more than one handover per term";
  ExpectOneHolderAtATime();
}

// Simulates three members in virtual time. Messages wait in a queue until Run delivers them.
struct Simulation {
  struct PendingMessage {
    Udp::endpoint from, to;
    fl::LeaseMessage message;
  };
  struct Member : fl::Leases::Callbacks {
    void Send(const Udp::endpoint& to, const fl::LeaseMessage& message) override {
      simulation->pending_messages.push_back({address, to, message});
    }
    void OnLeaseStatus(const std::string&, fl::LeaseStatus status, fl::FencingToken token,
                       load_balancer::Span, std::string_view) override {
      if (status == fl::LeaseStatus::kHolder) tokens.push_back(token);
    }
    void OnFailure(const load_balancer::Failure& failure) override { ADD_FAILURE() << failure.Text(); }
    Simulation* simulation = nullptr;
    Udp::endpoint address;
    std::unique_ptr<fl::Leases> leases;
    std::vector<fl::FencingToken> tokens;
  };
  Simulation() {
    for (unsigned short i = 0; i < 3; ++i) StartMember(i);
  }
  void StartMember(unsigned short i) {
    members[i].simulation = this;
    members[i].address = Udp::endpoint(kAnyPort.address(), static_cast<unsigned short>(i + 1));
    fl::LeaseOptions options;
    options.holder = Cluster::Name(i) + "/" + std::to_string(now.time_since_epoch().count());
    options.address = members[i].address;
    for (unsigned short v = 1; v <= 3; ++v) options.voters.emplace_back(kAnyPort.address(), v);
    options.leased_roles = {{"d", fl::LeasedRoleKind::kAvailable}};
    options.seed = i;
    members[i].leases = std::make_unique<fl::Leases>(options, now, members[i]);
  }
  // Advances time by `span` and delivers messages, except to and from the members in `silent`. Checks that
  // there is at most one holder at a time.
  void Run(milliseconds span, const std::set<std::size_t>& silent = {}) {
    for (const auto until = now + span; now < until; now += milliseconds(10)) {
      for (std::size_t i = 0; i < 3; ++i)
        if (!silent.contains(i)) members[i].leases->Tick(now, 1000);
      while (!pending_messages.empty()) {
        const PendingMessage pending = pending_messages.front();
        pending_messages.pop_front();
        const std::size_t to = pending.to.port() - 1u, from = pending.from.port() - 1u;
        if (!silent.contains(to) && !silent.contains(from))
          members[to].leases->Receive(now, pending.from, pending.message);
      }
      std::size_t holders = 0;
      for (const Member& member : members)
        holders += member.leases->status(now, "d") == fl::LeaseStatus::kHolder;
      EXPECT_LE(holders, 1u);
    }
  }
  std::size_t Holder() const {
    for (std::size_t i = 0; i < 3; ++i)
      if (members[i].leases->status(now, "d") == fl::LeaseStatus::kHolder) return i;
    return 3;
  }

  load_balancer::Time now{std::chrono::hours(1)};
  std::deque<PendingMessage> pending_messages;
  std::array<Member, 3> members;
};

TEST(LeaseProtocol, ALeaseNeedsAMajorityAndTokensIncreaseWithAConstantWallClock) {
  Simulation simulation;
  simulation.Run(milliseconds(3000));
  EXPECT_EQ(simulation.Holder(), 3u) << "a voter grants during its grace period";
  simulation.Run(milliseconds(3000));
  const std::size_t first = simulation.Holder();
  ASSERT_LT(first, 3u);
  const fl::FencingToken token = simulation.members[first].tokens.back();
  simulation.Run(milliseconds(12000));
  EXPECT_EQ(simulation.Holder(), first) << "the lease was not renewed";
  EXPECT_EQ(simulation.members[first].leases->token("d"), token);
  simulation.Run(milliseconds(10000), {first});
  EXPECT_EQ(simulation.members[first].leases->status(simulation.now, "d"), fl::LeaseStatus::kWaiting)
      << "the status does not follow the clock without a tick";
  const std::size_t second = simulation.Holder();
  ASSERT_LT(second, 3u);
  EXPECT_GT(simulation.members[second].leases->token("d"), token);
  simulation.Run(milliseconds(10000), {first, second});
  EXPECT_EQ(simulation.Holder(), 3u) << "one of three voters counts as a majority";
}

TEST(LeaseProtocol, AMemberFollowsALeaseEvenIfItRequestedLargerTokensInVain) {
  Simulation simulation;
  simulation.Run(milliseconds(6000));
  const std::size_t first = simulation.Holder();
  ASSERT_LT(first, 3u);
  fl::Leases& leases = *simulation.members[(first + 1) % 3].leases;
  // The other two members are cut off, so the requests of this member fail. Each uses a larger token.
  simulation.Run(milliseconds(9000), {first, (first + 2) % 3});
  leases.RaiseLargestToken("d", 1u << 30);
  leases.ObserveHolder(simulation.now, "d", "n9/1", simulation.members[first].leases->token("d") + 1,
                       milliseconds(1000));
  EXPECT_EQ(leases.status(simulation.now, "d"), fl::LeaseStatus::kFollower);
}

TEST(LeaseProtocol, AReleasedLeaseIsAcquiredSoonAndRestartedVotersObserveAGracePeriod) {
  Simulation simulation;
  simulation.Run(milliseconds(6000));
  const std::size_t first = simulation.Holder();
  ASSERT_LT(first, 3u);
  simulation.members[first].leases->Release(simulation.now);
  simulation.Run(milliseconds(3000));
  const std::size_t second = simulation.Holder();
  ASSERT_LT(second, 3u);
  EXPECT_NE(second, first);
  // Both other members restart without their votes. They must not grant the lease to another member within
  // the term of the votes that they lost.
  for (unsigned short i = 0; i < 3; ++i)
    if (i != second) simulation.StartMember(i);
  simulation.Run(milliseconds(2500));
  EXPECT_TRUE(simulation.Holder() == second || simulation.Holder() == 3);
}

}  // namespace
}  // namespace load_balancer::testing::fleet
