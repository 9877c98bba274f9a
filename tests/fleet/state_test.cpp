// SPDX-License-Identifier: Apache-2.0
//
// Tests of the replicated state between real processes, with faults in the network between them.
#include "fleet/state/state.h"

#include <gtest/gtest.h>

#include <atomic>
#include <deque>

#include "cluster.h"
#include "fleet/wire/codec.h"

namespace load_balancer::testing::fleet {
namespace {

namespace fl = load_balancer::fleet;

const nlohmann::json kShortIntervals{{"probe_interval_ms", 200}, {"sync_interval_ms", 500}};
const Tcp::endpoint kUnusedAddress(kAnyPort.address(), 9);

Backend::Answer AnswerWith500() {
  return [](Tcp::socket& socket, const HttpRequest&) {
    SendRaw(socket, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
    return true;
  };
}

// Three servers. The first one answers 500 to the first process; the other processes reach a healthy server
// under the same id.
struct ServersWithOneSidedFailure {
  ServersWithOneSidedFailure() : failing(AnswerWith500()), one("s-1"), two("s-2"), three("s-3") {}
  void operator()(std::size_t member, nlohmann::json& config) const {
    config["known"] = ListJson(41, true,
                               Members(MemberJson("s-1", member == 0 ? failing.address() : one.address()),
                                       MemberJson("s-2", two.address()), MemberJson("s-3", three.address())));
  }
  Backend failing, one, two, three;
};

// Sends requests to each added address, over one connection per address, until the object is destroyed.
// Ignores the responses.
class Load {
 public:
  ~Load() {
    stopped_ = true;
    for (std::thread& thread : threads_) thread.join();
  }
  void Add(const Tcp::endpoint& address) {
    threads_.emplace_back([this, address] {
      while (!stopped_) {
        Client client(address);
        while (!stopped_ && client.Ask(Look()).result_int() != 0)
          std::this_thread::sleep_for(milliseconds(4));
      }
    });
  }

 private:
  std::atomic<bool> stopped_ = false;
  std::vector<std::thread> threads_;
};

// Sends requests until the member's process has ejected a server. Returns false if that takes longer than
// kMaxWait.
bool ProvokeEjection(Cluster& cluster, std::size_t member) {
  const auto log_position = cluster.process(member).LineCount();
  const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
  while (std::chrono::steady_clock::now() < deadline) {
    Client(cluster[member].clients).Ask(Look());
    if (cluster.process(member).WaitFor(" ejected: ", log_position, milliseconds(1))) return true;
  }
  return false;
}

// Repeats a request until a server has served it and returns the body of the response. Repeating is safe,
// since a rejected request was sent to no server. A proxy that has seen few responses occasionally rejects
// requests.
std::string AskUntilServed(const Tcp::endpoint& address, const std::string& request) {
  const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
  do {
    const HttpResponse response = Client(address).Ask(request);
    if (response.result_int() == 200) return response.body();
    std::this_thread::sleep_for(milliseconds(5));
  } while (std::chrono::steady_clock::now() < deadline);
  return "not served";
}

// Returns the value of `key` in a log line.
double NumberOf(const std::string& line, const std::string& key) {
  return std::stod(line.substr(line.find(" " + key + "=") + key.size() + 2));
}

// Expects that every ejection that a process accepted from a peer was still in force and no older than the
// longest possible ejection.
void ExpectAcceptedEjectionsWithinBounds(Cluster& cluster) {
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    for (const std::string& line : cluster.process(i).Lines()) {
      if (!line.ends_with(" taken")) continue;
      EXPECT_GT(NumberOf(line, "left_ms"), 0) << line;
      EXPECT_LE(NumberOf(line, "age_ms"), kMaxEjectionDuration.count() + 2 * 200) << line;
    }
  }
}

TEST(SharedState, AllMembersEjectAServerThatFailsForOneOfThemAndReturnItTogether) {
  const ServersWithOneSidedFailure servers;
  Cluster cluster(5, kShortIntervals, ConfigJson(kUnusedAddress, {}), std::cref(servers));
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  {
    Load load;
    for (std::size_t i = 0; i < 5; ++i) load.Add(cluster[i].clients);
    const auto first = cluster.process(0).WaitFor(" ejected: ");
    ASSERT_TRUE(first);
    const auto ejected_at = cluster.process(0).LineReadAt(first->first);
    std::vector<std::chrono::steady_clock::time_point> return_times;
    for (std::size_t i = 0; i < 5; ++i) {
      const auto ejection = i == 0 ? first : cluster.process(i).WaitFor(" ejected on a peer's word");
      ASSERT_TRUE(ejection) << i;
      EXPECT_LE(cluster.process(i).LineReadAt(ejection->first) - ejected_at, milliseconds(2 * 200)) << i;
    }
    for (std::size_t i = 1; i < 5; ++i)
      for (int k = 0; k < 5; ++k) EXPECT_NE(Client(cluster[i].clients).Ask(Look()).body(), "s-1") << i;
    for (std::size_t i = 0; i < 5; ++i) {
      const auto return_line = cluster.process(i).WaitFor(" returns to service");
      ASSERT_TRUE(return_line) << i;
      return_times.push_back(cluster.process(i).LineReadAt(return_line->first));
    }
    const auto [earliest, latest] = std::minmax_element(return_times.begin(), return_times.end());
    EXPECT_LE(*latest - *earliest, milliseconds(500));
  }
  ExpectAcceptedEjectionsWithinBounds(cluster);
}

TEST(SharedState, AllMembersReceiveAnEjectionAfterAPartitionHeals) {
  const ServersWithOneSidedFailure servers;
  Cluster cluster(5, kShortIntervals, ConfigJson(kUnusedAddress, {}), std::cref(servers));
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  cluster.Cut({3, 4});
  ASSERT_TRUE(ProvokeEjection(cluster, 0));
  for (const std::size_t i : {1, 2})
    EXPECT_TRUE(cluster.process(i).WaitFor("verdict server=s-1 from=n1")) << i;
  EXPECT_EQ(cluster.Count("verdict server=s-1"), 2u) << "an ejection passed the partition";
  cluster.Heal();
  for (const std::size_t i : {3, 4})
    EXPECT_TRUE(cluster.process(i).WaitFor("verdict server=s-1 from=n1")) << i;
  ExpectAcceptedEjectionsWithinBounds(cluster);
}

TEST(SharedState, AnEjectionReachesAllMembersAt30PercentPacketLoss) {
  const ServersWithOneSidedFailure servers;
  Cluster cluster(5, kShortIntervals, ConfigJson(kUnusedAddress, {}), std::cref(servers));
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  cluster.SendRelayCommand("FAULT * drop=0.3");
  ASSERT_TRUE(ProvokeEjection(cluster, 0));
  for (std::size_t i = 1; i < 5; ++i)
    EXPECT_TRUE(cluster.process(i).WaitFor("verdict server=s-1 from=n1")) << i;
  ExpectAcceptedEjectionsWithinBounds(cluster);
}

// Sends an ejection of a faulty member to `member`. Its timestamp is `ahead_ms` ahead of the wall clock, and
// it claims nine failures of `attempts`.
void SendForgedEjection(Cluster& cluster, std::size_t member, const std::string& server,
                        std::int64_t ahead_ms, int attempts) {
  const auto wall_ms =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count() +
      ahead_ms;
  fl::Message message;
  message.kind = fl::Message::Kind::kState;
  message.sender = {"faulty", Udp::endpoint(kUnusedAddress.address(), 9), fl::MemberState::kAlive, 1, ""};
  const auto stamp = static_cast<fl::HybridTimestamp>(wall_ms) << fl::kCounterBits;
  message.state = {{"v", server, stamp, "faulty", static_cast<fl::UnixMs>(wall_ms + 5000), 9, attempts}};
  boost::asio::io_context io;
  Udp::socket socket(io, Udp::endpoint(kUnusedAddress.address(), 0));
  socket.send_to(boost::asio::buffer(fl::Encode("flintspar", message)),
                 Udp::endpoint(kUnusedAddress.address(), cluster.bind(member)));
}

TEST(SharedState, AFaultyMemberEjectsAtMostOneOfFourServers) {
  Backend server;
  std::vector<nlohmann::json> list;
  for (const char* id : {"s-1", "s-2", "s-3", "s-4"}) list.push_back(MemberJson(id, server.address()));
  Cluster cluster(1, kShortIntervals, ConfigJson(kUnusedAddress, list));
  Process& process = cluster.process(0);
  SendForgedEjection(cluster, 0, "s-9", 0, 9);
  EXPECT_TRUE(process.WaitFor("state server=s-9 from=faulty refused=unlisted"));
  SendForgedEjection(cluster, 0, "s-1", 60000, 9);
  EXPECT_TRUE(process.WaitFor("state server=s-1 from=faulty refused=future"));
  SendForgedEjection(cluster, 0, "s-1", -60000, 9);
  EXPECT_TRUE(process.WaitFor("state server=s-1 from=faulty refused=stale"));
  SendForgedEjection(cluster, 0, "s-1", 0, 8);
  EXPECT_TRUE(process.WaitFor("state server=s-1 from=faulty refused=implausible"));
  for (const char* id : {"s-1", "s-2", "s-3", "s-4"}) {
    const auto log_position = process.LineCount();
    SendForgedEjection(cluster, 0, id, 0, 9);
    ASSERT_TRUE(process.WaitFor("ejected on a peer's word", log_position)) << id;
  }
  EXPECT_EQ(cluster.Count("not ejected on a peer's word"), 3u);
  EXPECT_EQ(AskUntilServed(cluster[0].clients, Look()), "served");
}

TEST(SharedState, TheFleetRespectsTheLimitOfAServerWhileMembersCrashAndRestart) {
  constexpr int kLimit = 10, kJoiners = 2;
  std::atomic<int> in_flight = 0, peak = 0;
  Backend server([&](Tcp::socket& socket, const HttpRequest&) {
    const int current = ++in_flight;
    for (int previous = peak; current > previous && !peak.compare_exchange_weak(previous, current);) continue;
    std::this_thread::sleep_for(milliseconds(20));
    --in_flight;
    SendRaw(socket, OkAnswer("served"));
    return true;
  });
  nlohmann::json section = kShortIntervals;
  section["server_limit"] = kLimit;
  Cluster cluster(5, section, ConfigJson(kUnusedAddress, Members(MemberJson("s-1", server.address()))));
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  for (std::size_t i = 0; i < 5; ++i) ASSERT_TRUE(cluster.process(i).WaitFor("limit=10 share=2")) << i;
  auto load = std::make_unique<Load>();
  for (std::size_t i = 0; i < 3; ++i)
    for (int k = 0; k < 8; ++k) load->Add(cluster[i].clients);
  std::vector<std::size_t> log_positions = cluster.LineCounts();
  cluster.process(3).Kill();
  cluster.process(4).Kill();
  for (const std::size_t i : {0, 1, 2})
    EXPECT_TRUE(cluster.process(i).WaitFor("limit=10 share=3", log_positions[i]))
        << "the share of the crashed members was not redistributed";
  log_positions = cluster.LineCounts();
  cluster.Restart(3);
  cluster.Restart(4);
  for (std::size_t i = 3; i < 5; ++i)
    for (int k = 0; k < 8; ++k) load->Add(cluster[i].clients);
  for (std::size_t i = 0; i < 5; ++i)
    EXPECT_TRUE(cluster.process(i).WaitFor("limit=10 share=2", i < 3 ? log_positions[i] : 0)) << i;
  load.reset();
  std::printf("peak of requests in flight at the server %d, limit %d\n", peak.load(), kLimit);
  EXPECT_GE(peak, 3) << "the server had no load";
  EXPECT_LE(peak, kLimit + kJoiners) << "a joining member may send one request before the others know of it";
}

// Repeats the call STATE until its answer contains `part`. Returns false if that takes longer than kMaxWait.
bool WaitForState(Cluster& cluster, std::size_t member, const std::string& part) {
  const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
  while (std::chrono::steady_clock::now() < deadline) {
    if (Call(cluster[member].operators, "STATE").find(part) != std::string::npos) return true;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return false;
}

TEST(SharedState, AllMembersSendAKeyToTheServerThatServedItFirst) {
  std::deque<Backend> servers;
  std::vector<nlohmann::json> list;
  for (const char* id : {"s-1", "s-2", "s-3", "s-4", "s-5", "s-6"}) {
    servers.emplace_back(std::string(id));
    list.push_back(MemberJson(id, servers.back().address()));
  }
  nlohmann::json config = ConfigJson(kUnusedAddress, list), section = kShortIntervals;
  config["settings"]["specifics"]["warmKeys"] = true;
  section["affinity_entries"] = 100;
  section["affinity_ttl_ms"] = 60000;
  Cluster cluster(3, section, config);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  for (int key = 0; key < 5; ++key) {
    const std::string request = Look("Cookie: obj=player" + std::to_string(key) + "\r\n");
    const std::string server = AskUntilServed(cluster[0].clients, request);
    const std::string replicated = "affinity=" + std::to_string(key + 1) + " ";
    ASSERT_TRUE(WaitForState(cluster, 1, replicated)) << key << ": " << Call(cluster[1].operators, "STATE");
    EXPECT_EQ(AskUntilServed(cluster[1].clients, request), server) << key;
  }
}

}  // namespace
}  // namespace load_balancer::testing::fleet
