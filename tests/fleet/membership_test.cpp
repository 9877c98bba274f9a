// SPDX-License-Identifier: Apache-2.0
//
// Tests membership among real processes with network faults, and tests the protocol alone for cases that
// cannot be produced with processes.
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

const nlohmann::json kFastSettings{{"probe_interval_ms", 200}, {"sync_interval_ms", 1000}};

// Returns the detection bound of docs/fleet.md for a fleet of `members` members with kFastSettings.
milliseconds DetectionBoundFor(std::size_t members) {
  fl::MembershipOptions options;
  options.probe_interval = milliseconds(200);
  return std::chrono::duration_cast<milliseconds>(fl::DetectionBound(options, members));
}

TEST(Membership, AllMembersDeclareAKilledMemberDeadWithinTheBound) {
  Cluster cluster(5, kFastSettings);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  const auto killed = std::chrono::steady_clock::now();
  cluster.process(4).Kill();
  for (std::size_t i = 0; i < 4; ++i) {
    const auto line = cluster.WaitForState(i, 4, "dead", 0, DetectionBoundFor(5));
    ASSERT_TRUE(line) << "n" << i + 1 << " within " << DetectionBoundFor(5).count() << " ms";
    const auto elapsed = cluster.process(i).LineReadAt(*line) - killed;
    std::printf("n%zu: dead after %lld ms, bound %lld ms\n", i + 1,
                static_cast<long long>(std::chrono::duration_cast<milliseconds>(elapsed).count()),
                static_cast<long long>(DetectionBoundFor(5).count()));
  }
  EXPECT_TRUE(cluster.WaitUntilViewsAgree({0, 1, 2, 3}, kMaxWait));
}

TEST(Membership, AStalledMemberRefutesItsDeathAfterItResumes) {
  Cluster cluster(5, kFastSettings);
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
      << "the stalled member declared others dead";
}

TEST(Membership, NoRunningMemberIsDeclaredDeadIn60SecondsOf30PercentLoss) {
  Cluster cluster(5, kFastSettings);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  ASSERT_EQ(cluster.SendRelayCommand("FAULT * drop=0.3"), "ACK faults set");
  // Waits for the full time, since the test asserts that no member is declared dead within it.
  EXPECT_FALSE(cluster.WaitForState(0, 1, "dead", 0, milliseconds(60000)));
  const auto suspicions = cluster.Count("state=suspect"), deaths = cluster.Count("state=dead");
  std::printf("suspicions %zu, false deaths %zu\n", suspicions, deaths);
  EXPECT_GT(suspicions, 0u) << "the loss has caused no suspicion";
  EXPECT_EQ(deaths, 0u);
}

TEST(Membership, BothSidesOfAPartitionConvergeAfterItHeals) {
  Cluster cluster(5, kFastSettings);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  cluster.Cut({3, 4});
  const auto healing = std::chrono::steady_clock::now() + milliseconds(10000);
  for (const std::size_t i : {0, 1, 2}) EXPECT_TRUE(cluster.WaitForState(i, 3, "dead"));
  for (const std::size_t i : {3, 4}) EXPECT_TRUE(cluster.WaitForState(i, 0, "dead"));
  EXPECT_EQ(cluster.View(0).size(), 5u) << "a dead member was forgotten too early";
  EXPECT_TRUE(cluster.View(3).at("n5").starts_with("alive"));
  std::this_thread::sleep_until(healing);
  cluster.Heal();
  // Convergence takes one sync interval, the propagation of the refutations, and the longest suspicion
  // timeout, as a death in a table counts as a suspicion.
  ASSERT_TRUE(cluster.WaitUntilViewsAgree({0, 1, 2, 3, 4}, milliseconds(1000) + DetectionBoundFor(5)));
  for (const auto& [name, state] : cluster.View(0)) EXPECT_TRUE(state.starts_with("alive")) << name;
}

TEST(Membership, RestartUnderTheSameNameReplacesTheOldIncarnation) {
  Cluster cluster(3, kFastSettings);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  const std::string before = cluster.View(0).at("n3");
  const auto marks = cluster.LineCounts();
  cluster.Restart(2);
  for (std::size_t i : {0, 1}) EXPECT_TRUE(cluster.WaitForState(i, 2, "alive", marks[i]));
  EXPECT_EQ(cluster.View(0).size(), 3u);
  EXPECT_LT(std::stoull(before.substr(6)), std::stoull(cluster.View(0).at("n3").substr(6)));
}

TEST(Membership, AMemberLeavesOnSigtermAndLameduckAndCanRejoin) {
  Cluster cluster(3, kFastSettings);
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

TEST(Membership, AReplacingProcessTakesOverTheAddressOfTheOldOne) {
  Cluster cluster(2, kFastSettings);
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

// Returns one invalid datagram of each kind: malformed, truncated, oversized, of another fleet and of a later
// version.
std::vector<std::vector<std::uint8_t>> InvalidDatagrams() {
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

TEST(Membership, InvalidDatagramsAtFullRateAreCountedWhileClientsAreServed) {
  Backend backend;
  Cluster cluster(
      2, kFastSettings,
      ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), Members(MemberJson("s-1", backend.address()))));
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  Watched<bool> is_over;
  std::thread flood([&] {
    boost::asio::io_context io;
    Udp::socket socket(io, Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    const Udp::endpoint to(boost::asio::ip::make_address("127.0.0.1"), cluster.bind(0));
    const auto datagrams = InvalidDatagrams();
    for (int i = 0; i < 300000 && !is_over.Get(); ++i) {
      error_code ignored;
      socket.send_to(boost::asio::buffer(datagrams[static_cast<std::size_t>(i) % datagrams.size()]), to, 0,
                     ignored);
    }
  });
  ASSERT_TRUE(cluster.process(0).WaitFor("dropped malformed="));
  for (int i = 0; i < 200; ++i) EXPECT_EQ(Client(cluster[0].clients).Ask(Look()).body(), "served") << i;
  is_over.Do([](bool& done) { done = true; });
  flood.join();
  for (const char* kind : {"malformed", "oversized", "foreign", "version"})
    EXPECT_GT(cluster.Counter(0, kind), 0u) << kind;
  EXPECT_FALSE(cluster.View(0).contains("stranger"));
  EXPECT_LT(cluster.Count("dropped malformed="), 10u) << "dropped datagrams are logged too often";
}

TEST(MembershipWire, CorruptedOrTruncatedDatagramsCauseNoCrash) {
  Message message;
  message.sender = {"n1", Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 7),
                    fl::MemberState::kAlive, 5, ""};
  message.updates.assign(9, {"n2", message.sender.address, fl::MemberState::kSuspect, 1ull << 60, "n3"});
  message.kind = Message::Kind::kSync;
  message.member_buckets = message.state_buckets = fl::BucketDigests(16);
  message.range = fl::DigestRange{{16, 0x5}, 7, 99, true};
  const auto complete = fl::Encode("f", message);
  ASSERT_TRUE(std::holds_alternative<Message>(fl::Decode("f", complete)));
  for (std::size_t size = 0; size < complete.size(); ++size)
    EXPECT_EQ(std::get<fl::DropReason>(fl::Decode("f", std::span(complete).first(size))),
              fl::DropReason::kMalformed)
        << size;
  std::mt19937 random(3);
  std::size_t dropped = 0;
  for (int i = 0; i < 20000; ++i) {
    auto corrupted = complete;
    for (int j = 0; j < 3; ++j) corrupted[random() % corrupted.size()] = static_cast<std::uint8_t>(random());
    dropped += std::holds_alternative<fl::DropReason>(fl::Decode("f", corrupted));
  }
  EXPECT_GT(dropped, 5000u);
}

// Runs one member without network and records the messages that it sends.
struct SingleMember : fl::Membership::Callbacks {
  SingleMember() : now(std::chrono::hours(1)), membership(Options(), now, *this) {}
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
  void ReceiveUpdate(fl::Update update, Message::Kind kind = Message::Kind::kAck) {
    Message message;
    message.kind = kind;
    message.sender = {"n2", At(2), fl::MemberState::kAlive, 1, ""};
    message.updates = {std::move(update)};
    membership.Receive(now, message);
  }

  load_balancer::Time now;
  std::vector<Message> sent;
  bool displaced = false;
  fl::Membership membership;
};

TEST(MembershipProtocol, UpdatesTakePrecedenceByIncarnationAndThenByState) {
  SingleMember single;
  const auto state = [&] { return single.membership.others().at("n3").update.state; };
  const auto make_update = [](fl::MemberState s, std::uint64_t incarnation) {
    return fl::Update{"n3", SingleMember::At(3), s, incarnation, s == fl::MemberState::kSuspect ? "n2" : ""};
  };
  single.ReceiveUpdate(make_update(fl::MemberState::kAlive, 5));
  single.ReceiveUpdate(make_update(fl::MemberState::kDead, 5), Message::Kind::kSync);
  EXPECT_EQ(state(), fl::MemberState::kSuspect) << "a death in a table must count as a suspicion";
  single.ReceiveUpdate(make_update(fl::MemberState::kDead, 5));
  EXPECT_EQ(state(), fl::MemberState::kDead);
  single.ReceiveUpdate(make_update(fl::MemberState::kAlive, 5));
  EXPECT_EQ(state(), fl::MemberState::kDead) << "a dead member came back with the same incarnation";
  single.ReceiveUpdate(make_update(fl::MemberState::kAlive, 6));
  EXPECT_EQ(state(), fl::MemberState::kAlive);
  single.ReceiveUpdate(make_update(fl::MemberState::kSuspect, 5));
  EXPECT_EQ(state(), fl::MemberState::kAlive) << "an update with an older incarnation was applied";
}

TEST(MembershipProtocol, EachAccuserShortensASuspicionThatEndsInDeath) {
  SingleMember single;
  for (const char* name : {"n3", "n4", "n5", "n6"})
    single.ReceiveUpdate({name, SingleMember::At(3), fl::MemberState::kAlive, 1, ""});
  const auto min_timeout = fl::MinSuspicionTimeout(SingleMember::Options(), 6);
  for (const char* accuser : {"n2", "n4", "n5", "n6"})
    single.ReceiveUpdate({"n3", SingleMember::At(3), fl::MemberState::kSuspect, 1, accuser});
  // Ticks often enough that the member does not detect a stall.
  const auto until = single.now + min_timeout;
  for (; single.now < until; single.now += milliseconds(100)) {
    single.membership.Tick(single.now);
    ASSERT_EQ(single.membership.others().at("n3").update.state, fl::MemberState::kSuspect);
  }
  single.now = until;
  single.membership.Tick(single.now);
  EXPECT_EQ(single.membership.others().at("n3").update.state, fl::MemberState::kDead);
}

TEST(MembershipProtocol, RefutesUpdatesAboutItselfAndYieldsToANewerProcessOfTheSameName) {
  SingleMember single;
  single.ReceiveUpdate({"n1", SingleMember::At(1), fl::MemberState::kDead, 12, ""});
  EXPECT_EQ(single.membership.self().update.incarnation, 13u);
  ASSERT_FALSE(single.sent.empty());
  EXPECT_EQ(single.sent.back().sender.incarnation, 13u) << "the refutation was not sent at once";
  EXPECT_EQ(single.membership.health(), 1);
  single.ReceiveUpdate({"n1", SingleMember::At(9), fl::MemberState::kAlive, 20, ""});
  EXPECT_TRUE(single.displaced);
  EXPECT_EQ(single.membership.Next(), load_balancer::Time::max()) << "a displaced member still has timers";
}

TEST(MembershipProtocol, UpdatesAreTransmittedALimitedNumberOfTimesWithinTheDatagramSize) {
  SingleMember single;
  for (int i = 0; i < 100; ++i)
    single.ReceiveUpdate(
        {"member-" + std::to_string(i), SingleMember::At(3), fl::MemberState::kAlive, 1, ""});
  single.sent.clear();
  std::map<std::string, int> transmissions;
  for (int i = 0; i < 400; ++i, single.now += milliseconds(500)) single.membership.Tick(single.now);
  for (const Message& message : single.sent)
    for (const auto& update : message.updates)
      if (update.state == fl::MemberState::kAlive && message.kind != Message::Kind::kSync)
        ++transmissions[update.name];
  EXPECT_FALSE(transmissions.empty());
  for (const auto& [name, times] : transmissions)
    EXPECT_LE(times, fl::MaxTransmissions(SingleMember::Options(), 101)) << name;
}

}  // namespace
}  // namespace load_balancer::testing::fleet
