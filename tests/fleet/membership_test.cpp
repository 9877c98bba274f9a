// SPDX-License-Identifier: Apache-2.0
//
// Membership among real processes, with faults between them; and of the protocol alone what processes cannot
// be brought to show.
#include "fleet/membership/membership.h"

#include <gtest/gtest.h>

#include <random>

#include "cluster.h"
#include "fleet/wire/codec.h"
#include "program_paths.h"

namespace load_balancer::testing::fleet {
namespace {

namespace fl = load_balancer::fleet;
using fl::Message;

const nlohmann::json kQuick{{"probe_interval_ms", 200}, {"sync_interval_ms", 1000}};

// The bound that docs/fleet.md states, in a fleet of `members` with kQuick.
milliseconds Bound(std::size_t members) {
  fl::MembershipOptions options;
  options.probe_interval = milliseconds(200);
  return std::chrono::duration_cast<milliseconds>(fl::DetectionBound(options, members));
}

TEST(Membership, KilledMemberIsDeadEverywhereWithinTheBound) {
  Cluster cluster(5, kQuick);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  const auto killed = std::chrono::steady_clock::now();
  cluster.process(4).Kill();
  for (std::size_t i = 0; i < 4; ++i) {
    const auto line = cluster.WaitForState(i, 4, "dead", 0, Bound(5));
    ASSERT_TRUE(line) << "n" << i + 1 << " within " << Bound(5).count() << " ms";
    const auto took = cluster.process(i).LineReadAt(*line) - killed;
    std::printf("n%zu: dead after %lld ms, bound %lld ms\n", i + 1,
                static_cast<long long>(std::chrono::duration_cast<milliseconds>(took).count()),
                static_cast<long long>(Bound(5).count()));
  }
  EXPECT_TRUE(cluster.WaitUntilViewsAgree({0, 1, 2, 3}, kMaxWait));
}

TEST(Membership, OneThatStoodStillRefutesItsDeathAndIsAlive) {
  Cluster cluster(5, kQuick);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  cluster.process(4).Signal(SIGSTOP);
  std::vector<std::size_t> dead;
  for (std::size_t i = 0; i < 4; ++i) {
    const auto line = cluster.WaitForState(i, 4, "dead");
    ASSERT_TRUE(line);
    dead.push_back(*line);
  }
  cluster.process(4).Signal(SIGCONT);
  EXPECT_TRUE(cluster.process(4).WaitFor("stalled for "));
  EXPECT_TRUE(cluster.process(4).WaitFor("by=refuting"));
  for (std::size_t i = 0; i < 4; ++i) EXPECT_TRUE(cluster.WaitForState(i, 4, "alive", dead[i])) << i;
  EXPECT_TRUE(cluster.WaitUntilViewsAgree({0, 1, 2, 3, 4}, kMaxWait));
  EXPECT_EQ(cluster.Count("member=n1 state=dead") + cluster.Count("member=n2 state=dead"), 0u)
      << "the one that stood still blamed others";
}

TEST(Membership, NoLiveMemberIsDeadIn60SecondsOf30PercentLoss) {
  Cluster cluster(5, kQuick);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  ASSERT_EQ(cluster.SendRelayCommand("FAULT * drop=0.3"), "ACK faults set");
  // The one wait of a set time: what is asserted is that nothing happens in it.
  EXPECT_FALSE(cluster.WaitForState(0, 1, "dead", 0, milliseconds(60000)));
  const auto suspicions = cluster.Count("state=suspect"), deaths = cluster.Count("state=dead");
  std::printf("suspicions %zu, false deaths %zu\n", suspicions, deaths);
  EXPECT_GT(suspicions, 0u) << "the loss is felt";
  EXPECT_EQ(deaths, 0u);
}

TEST(Membership, BothSidesOfAPartitionConvergeOnceItHeals) {
  Cluster cluster(5, kQuick);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  cluster.Cut({3, 4});
  const auto healing = std::chrono::steady_clock::now() + milliseconds(10000);
  for (const std::size_t i : {0, 1, 2}) EXPECT_TRUE(cluster.WaitForState(i, 3, "dead"));
  for (const std::size_t i : {3, 4}) EXPECT_TRUE(cluster.WaitForState(i, 0, "dead"));
  EXPECT_EQ(cluster.View(0).size(), 5u) << "forgot a member it has not seen leave";
  EXPECT_TRUE(cluster.View(3).at("n5").starts_with("alive"));
  std::this_thread::sleep_until(healing);
  cluster.Heal();
  // A sync, the refutations' way round, and the longest suspicion of what a table called dead.
  ASSERT_TRUE(cluster.WaitUntilViewsAgree({0, 1, 2, 3, 4}, milliseconds(1000) + Bound(5)));
  for (const auto& [name, state] : cluster.View(0)) EXPECT_TRUE(state.starts_with("alive")) << name;
}

TEST(Membership, RestartUnderTheSameNameReplacesTheOldIncarnation) {
  Cluster cluster(3, kQuick);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  const std::string before = cluster.View(0).at("n3");
  const auto marks = cluster.LineCounts();
  cluster.Restart(2);
  for (std::size_t i : {0, 1}) EXPECT_TRUE(cluster.WaitForState(i, 2, "alive", marks[i]));
  EXPECT_EQ(cluster.View(0).size(), 3u);
  EXPECT_LT(std::stoull(before.substr(6)), std::stoull(cluster.View(0).at("n3").substr(6)));
}

TEST(Membership, LeavesOnSigtermAndOnLameduckAndRejoins) {
  Cluster cluster(3, kQuick);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  ASSERT_EQ(Call(cluster[2].operators, "LAMEDUCK"), "ACK draining");
  const auto left = cluster.WaitForState(0, 2, "left");
  ASSERT_TRUE(left);
  ASSERT_EQ(Call(cluster[2].operators, "REJOIN"), "ACK taking clients");
  EXPECT_TRUE(cluster.WaitForState(0, 2, "alive", *left));
  cluster.process(1).Signal(SIGTERM);
  EXPECT_EQ(cluster.process(1).Reap(), 0);
  for (std::size_t i : {0, 2}) EXPECT_TRUE(cluster.WaitForState(i, 1, "left"));
  EXPECT_EQ(cluster.Count("member=n2 state=dead"), 0u);
}

TEST(Membership, AProcessThatReplacesAnotherTakesItsAddressOver) {
  Cluster cluster(2, kQuick);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  const auto mark = cluster.process(0).LineCount();
  const std::string file = cluster[1].folder->path / "config.json";
  Process next(load_balancer::testing::kProxyPath, {"--config", file}, {{"TMPDIR", cluster[1].folder->path}});
  ASSERT_TRUE(next.WaitFor("cannot have 127.0.0.1:"));
  cluster.process(1).Signal(SIGTERM);
  const auto left = cluster.WaitForState(0, 1, "left", mark);
  ASSERT_TRUE(left);
  EXPECT_TRUE(next.WaitFor("joining fleet="));
  EXPECT_TRUE(cluster.WaitForState(0, 1, "alive", *left));
}

// Datagrams that are none of this fleet's, one of each in turn.
std::vector<std::vector<std::uint8_t>> Rubbish() {
  Message ping;
  ping.sender.name = ping.target = "stranger";
  ping.sender.address = ping.target_address = Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 9);
  auto truncated = fl::Encode("flintspar", ping);
  truncated.resize(truncated.size() / 2);
  nlohmann::json later = nlohmann::json::from_msgpack(fl::Encode("flintspar", ping));
  later["v"] = fl::kProtocolVersion + 1;
  return {std::vector<std::uint8_t>(200, 0xc1),   truncated,
          std::vector<std::uint8_t>(60000, 0x91), fl::Encode("another", ping),
          nlohmann::json::to_msgpack(later),      std::vector<std::uint8_t>(fl::kMaxDatagramBytes, 0x91)};
}

TEST(Membership, RubbishAtFullRateIsCountedAndClientsAreServed) {
  Backend backend;
  Cluster cluster(
      2, kQuick,
      ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), Members(MemberJson("s-1", backend.address()))));
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  Watched<bool> over;
  std::thread flood([&] {
    boost::asio::io_context io;
    Udp::socket socket(io, Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    const Udp::endpoint to(boost::asio::ip::make_address("127.0.0.1"), cluster.bind(0));
    const auto rubbish = Rubbish();
    for (int i = 0; i < 300000 && !over.Get(); ++i) {
      error_code ignored;
      socket.send_to(boost::asio::buffer(rubbish[static_cast<std::size_t>(i) % rubbish.size()]), to, 0,
                     ignored);
    }
  });
  ASSERT_TRUE(cluster.process(0).WaitFor("dropped malformed="));
  for (int i = 0; i < 200; ++i) EXPECT_EQ(Client(cluster[0].clients).Ask(Look()).body(), "served") << i;
  over.Do([](bool& done) { done = true; });
  flood.join();
  for (const char* kind : {"malformed", "oversized", "foreign", "version"})
    EXPECT_GT(cluster.Counter(0, kind), 0u) << kind;
  EXPECT_FALSE(cluster.View(0).contains("stranger"));
  EXPECT_LT(cluster.Count("dropped malformed="), 10u) << "a flood fills the log";
}

TEST(Wire, NoDatagramThatIsBentOrCutShortIsACrash) {
  Message message;
  message.sender = {"n1", Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 7),
                    fl::MemberState::kAlive, 5, ""};
  message.updates.assign(9, {"n2", message.sender.address, fl::MemberState::kSuspect, 1ull << 60, "n3"});
  message.kind = Message::Kind::kSync;
  message.member_buckets = message.state_buckets = fl::BucketDigests(16);
  message.range = fl::DigestRange{{16, 0x5}, 7, 99, true};
  const auto whole = fl::Encode("f", message);
  ASSERT_TRUE(std::holds_alternative<Message>(fl::Decode("f", whole)));
  for (std::size_t size = 0; size < whole.size(); ++size)
    EXPECT_EQ(std::get<fl::DropReason>(fl::Decode("f", std::span(whole).first(size))),
              fl::DropReason::kMalformed)
        << size;
  std::mt19937 random(3);
  std::size_t dropped = 0;
  for (int i = 0; i < 20000; ++i) {
    auto bent = whole;
    for (int j = 0; j < 3; ++j) bent[random() % bent.size()] = static_cast<std::uint8_t>(random());
    dropped += std::holds_alternative<fl::DropReason>(fl::Decode("f", bent));
  }
  EXPECT_GT(dropped, 5000u);
}

// One member alone, whose messages go nowhere but here.
struct Lone : fl::Membership::Callbacks {
  Lone() : now(std::chrono::hours(1)), membership(Options(), now, *this) {}
  static fl::MembershipOptions Options() {
    fl::MembershipOptions options;
    options.fleet = "f";
    options.name = "n1";
    options.address = At(1);
    options.incarnation = 10;
    return options;
  }
  static Udp::endpoint At(unsigned short port) { return {boost::asio::ip::make_address("127.0.0.1"), port}; }
  void Send(const Udp::endpoint&, const Message& message) override {
    EXPECT_LE(fl::Encode("f", message).size(), fl::kMaxDatagramBytes);
    sent.push_back(message);
  }
  void OnMemberChanged(const fl::Member&, std::optional<fl::MemberState>, std::string_view) override {}
  void OnStalled(load_balancer::Span) override {}
  void OnDisplaced(const Udp::endpoint&) override { displaced = true; }
  void Hear(fl::Update claim, Message::Kind kind = Message::Kind::kAck) {
    Message message;
    message.kind = kind;
    message.sender = {"n2", At(2), fl::MemberState::kAlive, 1, ""};
    message.updates = {std::move(claim)};
    membership.Receive(now, message);
  }

  load_balancer::Time now;
  std::vector<Message> sent;
  bool displaced = false;
  fl::Membership membership;
};

TEST(Protocol, ClaimsGoByIncarnationThenByGravity) {
  Lone lone;
  const auto state = [&] { return lone.membership.others().at("n3").last.state; };
  const auto claim = [](fl::MemberState s, std::uint64_t incarnation) {
    return fl::Update{"n3", Lone::At(3), s, incarnation, s == fl::MemberState::kSuspect ? "n2" : ""};
  };
  lone.Hear(claim(fl::MemberState::kAlive, 5));
  lone.Hear(claim(fl::MemberState::kDead, 5), Message::Kind::kSync);
  EXPECT_EQ(state(), fl::MemberState::kSuspect) << "a table's dead is a suspicion";
  lone.Hear(claim(fl::MemberState::kDead, 5));
  EXPECT_EQ(state(), fl::MemberState::kDead);
  lone.Hear(claim(fl::MemberState::kAlive, 5));
  EXPECT_EQ(state(), fl::MemberState::kDead) << "only a newer incarnation takes it back";
  lone.Hear(claim(fl::MemberState::kAlive, 6));
  EXPECT_EQ(state(), fl::MemberState::kAlive);
  lone.Hear(claim(fl::MemberState::kSuspect, 5));
  EXPECT_EQ(state(), fl::MemberState::kAlive) << "an older incarnation says nothing";
}

TEST(Protocol, ASuspicionShrinksWithEachAccuserAndEndsInDeath) {
  Lone lone;
  for (const char* name : {"n3", "n4", "n5", "n6"})
    lone.Hear({name, Lone::At(3), fl::MemberState::kAlive, 1, ""});
  const auto shortest = fl::MinSuspicionTimeout(Lone::Options(), 6);
  for (const char* accuser : {"n2", "n4", "n5", "n6"})
    lone.Hear({"n3", Lone::At(3), fl::MemberState::kSuspect, 1, accuser});
  // Ticked as often as is due, as a process does that does not stand still.
  const auto until = lone.now + shortest;
  for (; lone.now < until; lone.now += milliseconds(100)) {
    lone.membership.Tick(lone.now);
    ASSERT_EQ(lone.membership.others().at("n3").last.state, fl::MemberState::kSuspect);
  }
  lone.now = until;
  lone.membership.Tick(lone.now);
  EXPECT_EQ(lone.membership.others().at("n3").last.state, fl::MemberState::kDead);
}

TEST(Protocol, RefutesWhatIsSaidOfItAndYieldsToANewerProcessOfItsName) {
  Lone lone;
  lone.Hear({"n1", Lone::At(1), fl::MemberState::kDead, 12, ""});
  EXPECT_EQ(lone.membership.self().last.incarnation, 13u);
  ASSERT_FALSE(lone.sent.empty());
  EXPECT_EQ(lone.sent.back().sender.incarnation, 13u) << "told at once";
  EXPECT_EQ(lone.membership.health(), 1);
  lone.Hear({"n1", Lone::At(9), fl::MemberState::kAlive, 20, ""});
  EXPECT_TRUE(lone.displaced);
  EXPECT_EQ(lone.membership.Next(), load_balancer::Time::max()) << "it is silent";
}

TEST(Protocol, NewsArePassedOnABoundedNumberOfTimesInWholeDatagrams) {
  Lone lone;
  for (int i = 0; i < 100; ++i)
    lone.Hear({"member-" + std::to_string(i), Lone::At(3), fl::MemberState::kAlive, 1, ""});
  lone.sent.clear();
  std::map<std::string, int> passed;
  for (int i = 0; i < 400; ++i, lone.now += milliseconds(500)) lone.membership.Tick(lone.now);
  for (const Message& message : lone.sent)
    for (const auto& update : message.updates)
      if (update.state == fl::MemberState::kAlive && message.kind != Message::Kind::kSync)
        ++passed[update.name];
  EXPECT_FALSE(passed.empty());
  for (const auto& [name, times] : passed)
    EXPECT_LE(times, fl::MaxTransmissions(Lone::Options(), 101)) << name;
}

}  // namespace
}  // namespace load_balancer::testing::fleet
