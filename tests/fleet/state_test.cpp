// SPDX-License-Identifier: Apache-2.0
//
// Shared state among real processes, with faults between them.
#include "fleet/state/state.h"

#include <gtest/gtest.h>

#include <atomic>
#include <deque>

#include "cluster.h"
#include "fleet/wire/codec.h"

namespace load_balancer::testing::fleet {
namespace {

namespace fl = load_balancer::fleet;

const nlohmann::json kQuick{{"probe_interval_ms", 200}, {"sync_interval_ms", 500}};
const Tcp::endpoint kNobody(kAnyPort.address(), 9);

Backend::Answer Failing() {
  return [](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
    return true;
  };
}

// Three servers, of which the first one fails, but in front of the first process only.
struct OneSidedFailure {
  OneSidedFailure() : bad(Failing()), one("s-1"), two("s-2"), three("s-3") {}
  void operator()(std::size_t member, nlohmann::json& config) const {
    config["known"] = ListJson(41, true,
                               Members(MemberJson("s-1", member == 0 ? bad.address() : one.address()),
                                       MemberJson("s-2", two.address()), MemberJson("s-3", three.address())));
  }
  Backend bad, one, two, three;
};

// Requests to each address added, one connection for each, until this goes; the answers don't matter.
class Load {
 public:
  ~Load() {
    over_ = true;
    for (std::thread& thread : threads_) thread.join();
  }
  void Add(const Tcp::endpoint& at) {
    threads_.emplace_back([this, at] {
      while (!over_) {
        Client client(at);
        while (!over_ && client.Ask(Look()).result_int() != 0) std::this_thread::sleep_for(milliseconds(4));
      }
    });
  }

 private:
  std::atomic<bool> over_ = false;
  std::vector<std::thread> threads_;
};

// Asks until the process has ejected a server.
bool ProvokeEjection(Cluster& cluster, std::size_t member) {
  const auto mark = cluster.process(member).LineCount();
  const auto until = std::chrono::steady_clock::now() + kMaxWait;
  while (std::chrono::steady_clock::now() < until) {
    Client(cluster[member].clients).Ask(Look());
    if (cluster.process(member).WaitFor(" ejected: ", mark, milliseconds(1))) return true;
  }
  return false;
}

// Where it was served in the end. What is refused was sent nowhere, and a proxy that has seen few answers
// refuses now and then.
std::string Served(const Tcp::endpoint& at, const std::string& request) {
  const auto until = std::chrono::steady_clock::now() + kMaxWait;
  do {
    const HttpResponse answer = Client(at).Ask(request);
    if (answer.result_int() == 200) return answer.body();
    std::this_thread::sleep_for(milliseconds(5));
  } while (std::chrono::steady_clock::now() < until);
  return "nowhere";
}

double Figure(const std::string& line, const std::string& key) {
  return std::stod(line.substr(line.find(" " + key + "=") + key.size() + 2));
}

// Of each verdict that a process took from a peer: none may be older than its bound.
void ExpectFresh(Cluster& cluster) {
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    for (const std::string& line : cluster.process(i).Lines()) {
      if (!line.ends_with(" taken")) continue;
      EXPECT_GT(Figure(line, "left_ms"), 0) << line;
      EXPECT_LE(Figure(line, "age_ms"), kMaxEjectionDuration.count() + 2 * 200) << line;
    }
  }
}

TEST(SharedState, AllStopSendingToAServerThatFailsOneAndReturnItTogether) {
  const OneSidedFailure servers;
  Cluster cluster(5, kQuick, ConfigJson(kNobody, {}), std::cref(servers));
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  {
    Load load;
    for (std::size_t i = 0; i < 5; ++i) load.Add(cluster[i].clients);
    const auto first = cluster.process(0).WaitFor(" ejected: ");
    ASSERT_TRUE(first);
    const auto ejected = cluster.process(0).LineReadAt(first->first);
    std::vector<std::chrono::steady_clock::time_point> returns;
    for (std::size_t i = 0; i < 5; ++i) {
      const auto out = i == 0 ? first : cluster.process(i).WaitFor(" ejected on a peer's word");
      ASSERT_TRUE(out) << i;
      EXPECT_LE(cluster.process(i).LineReadAt(out->first) - ejected, milliseconds(2 * 200)) << i;
    }
    for (std::size_t i = 1; i < 5; ++i)
      for (int k = 0; k < 5; ++k) EXPECT_NE(Client(cluster[i].clients).Ask(Look()).body(), "s-1") << i;
    for (std::size_t i = 0; i < 5; ++i) {
      const auto back = cluster.process(i).WaitFor(" returns to service");
      ASSERT_TRUE(back) << i;
      returns.push_back(cluster.process(i).LineReadAt(back->first));
    }
    const auto [soonest, latest] = std::minmax_element(returns.begin(), returns.end());
    EXPECT_LE(*latest - *soonest, milliseconds(500));
  }
  ExpectFresh(cluster);
}

TEST(SharedState, AfterAPartitionAllHoldTheNewerVerdict) {
  const OneSidedFailure servers;
  Cluster cluster(5, kQuick, ConfigJson(kNobody, {}), std::cref(servers));
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  cluster.Cut({3, 4});
  ASSERT_TRUE(ProvokeEjection(cluster, 0));
  for (const std::size_t i : {1, 2})
    EXPECT_TRUE(cluster.process(i).WaitFor("verdict server=s-1 from=n1")) << i;
  EXPECT_EQ(cluster.Count("verdict server=s-1"), 2u) << "through the cut";
  cluster.Heal();
  for (const std::size_t i : {3, 4})
    EXPECT_TRUE(cluster.process(i).WaitFor("verdict server=s-1 from=n1")) << i;
  ExpectFresh(cluster);
}

TEST(SharedState, AVerdictReachesAllUnder30PercentLoss) {
  const OneSidedFailure servers;
  Cluster cluster(5, kQuick, ConfigJson(kNobody, {}), std::cref(servers));
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  cluster.SendRelayCommand("FAULT * drop=0.3");
  ASSERT_TRUE(ProvokeEjection(cluster, 0));
  for (std::size_t i = 1; i < 5; ++i)
    EXPECT_TRUE(cluster.process(i).WaitFor("verdict server=s-1 from=n1")) << i;
  ExpectFresh(cluster);
}

// What a member that lies sends to `member`: one verdict.
void Lie(Cluster& cluster, std::size_t member, const std::string& server, std::int64_t ahead_ms,
         int attempts) {
  const auto wall =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count() +
      ahead_ms;
  fl::Message message;
  message.kind = fl::Message::Kind::kState;
  message.sender = {"liar", Udp::endpoint(kNobody.address(), 9), fl::MemberState::kAlive, 1, ""};
  const auto stamp = static_cast<fl::HybridTimestamp>(wall) << fl::kCounterBits;
  message.state = {{"v", server, stamp, "liar", static_cast<fl::UnixMs>(wall + 5000), 9, attempts}};
  boost::asio::io_context io;
  Udp::socket socket(io, Udp::endpoint(kNobody.address(), 0));
  socket.send_to(boost::asio::buffer(fl::Encode("flintspar", message)),
                 Udp::endpoint(kNobody.address(), cluster.bind(member)));
}

TEST(SharedState, AMemberThatLiesTakesOutAQuarterAtMost) {
  Backend server;
  std::vector<nlohmann::json> list;
  for (const char* id : {"s-1", "s-2", "s-3", "s-4"}) list.push_back(MemberJson(id, server.address()));
  Cluster cluster(1, kQuick, ConfigJson(kNobody, list));
  Process& process = cluster.process(0);
  Lie(cluster, 0, "s-9", 0, 9);
  EXPECT_TRUE(process.WaitFor("state server=s-9 from=liar refused=unlisted"));
  Lie(cluster, 0, "s-1", 60000, 9);
  EXPECT_TRUE(process.WaitFor("state server=s-1 from=liar refused=future"));
  Lie(cluster, 0, "s-1", -60000, 9);
  EXPECT_TRUE(process.WaitFor("state server=s-1 from=liar refused=stale"));
  Lie(cluster, 0, "s-1", 0, 8);
  EXPECT_TRUE(process.WaitFor("state server=s-1 from=liar refused=implausible"));
  for (const char* id : {"s-1", "s-2", "s-3", "s-4"}) {
    const auto mark = process.LineCount();
    Lie(cluster, 0, id, 0, 9);
    ASSERT_TRUE(process.WaitFor("ejected on a peer's word", mark)) << id;
  }
  EXPECT_EQ(cluster.Count("not ejected on a peer's word"), 3u);
  EXPECT_EQ(Served(cluster[0].clients, Look()), "served");
}

TEST(SharedState, TheFleetKeepsTheLimitOfOneServerWhileMembersDieAndComeBack) {
  constexpr int kLimit = 10, kJoiners = 2;
  std::atomic<int> now = 0, most = 0;
  Backend server([&](Tcp::socket& s, const HttpRequest&) {
    const int seen = ++now;
    for (int before = most; seen > before && !most.compare_exchange_weak(before, seen);) continue;
    std::this_thread::sleep_for(milliseconds(20));
    --now;
    SendRaw(s, OkAnswer("served"));
    return true;
  });
  nlohmann::json section = kQuick;
  section["server_limit"] = kLimit;
  Cluster cluster(5, section, ConfigJson(kNobody, Members(MemberJson("s-1", server.address()))));
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  for (std::size_t i = 0; i < 5; ++i) ASSERT_TRUE(cluster.process(i).WaitFor("limit=10 share=2")) << i;
  auto load = std::make_unique<Load>();
  for (std::size_t i = 0; i < 3; ++i)
    for (int k = 0; k < 8; ++k) load->Add(cluster[i].clients);
  std::vector<std::size_t> marks = cluster.LineCounts();
  cluster.process(3).Kill();
  cluster.process(4).Kill();
  for (const std::size_t i : {0, 1, 2})
    EXPECT_TRUE(cluster.process(i).WaitFor("limit=10 share=3", marks[i])) << "the dead ones' share returns";
  marks = cluster.LineCounts();
  cluster.Restart(3);
  cluster.Restart(4);
  for (std::size_t i = 3; i < 5; ++i)
    for (int k = 0; k < 8; ++k) load->Add(cluster[i].clients);
  for (std::size_t i = 0; i < 5; ++i)
    EXPECT_TRUE(cluster.process(i).WaitFor("limit=10 share=2", i < 3 ? marks[i] : 0)) << i;
  load.reset();
  std::printf("most at the server at once %d, limit %d\n", most.load(), kLimit);
  EXPECT_GE(most, 3) << "nothing was asked of it";
  EXPECT_LE(most, kLimit + kJoiners) << "a joiner may have one before the others know of it";
}

// Asks STATE until the answer holds `part`.
bool WaitForState(Cluster& cluster, std::size_t member, const std::string& part) {
  const auto until = std::chrono::steady_clock::now() + kMaxWait;
  while (std::chrono::steady_clock::now() < until) {
    if (Call(cluster[member].operators, "STATE").find(part) != std::string::npos) return true;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return false;
}

TEST(SharedState, AKeyIsWarmForAllWhereOneHasSentIt) {
  std::deque<Backend> servers;
  std::vector<nlohmann::json> list;
  for (const char* id : {"s-1", "s-2", "s-3", "s-4", "s-5", "s-6"}) {
    servers.emplace_back(std::string(id));
    list.push_back(MemberJson(id, servers.back().address()));
  }
  nlohmann::json config = ConfigJson(kNobody, list), section = kQuick;
  config["settings"]["specifics"]["warmKeys"] = true;
  section["affinity_entries"] = 100;
  section["affinity_ttl_ms"] = 60000;
  Cluster cluster(3, section, config);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  for (int key = 0; key < 5; ++key) {
    const std::string request = Look("Cookie: obj=player" + std::to_string(key) + "\r\n");
    const std::string met = Served(cluster[0].clients, request);
    const std::string held = "affinity=" + std::to_string(key + 1) + " ";
    ASSERT_TRUE(WaitForState(cluster, 1, held)) << key << ": " << Call(cluster[1].operators, "STATE");
    EXPECT_EQ(Served(cluster[1].clients, request), met) << key;
  }
}

}  // namespace
}  // namespace load_balancer::testing::fleet
