// SPDX-License-Identifier: Apache-2.0
//
// Recovery: the file under every crash that can be thought up, and real processes killed and started again.
#include <gtest/gtest.h>

#include <random>

#include "fleet/cluster.h"
#include "program_paths.h"
#include "state/snapshot_file.h"

namespace load_balancer::testing::fleet {
namespace {

namespace st = load_balancer::state;

constexpr st::UnixMs kNow = 1700000000000;
const st::AcceptanceCriteria kCriteria{"n1", kNow, 60000, 500};

st::Snapshot Sample(std::uint64_t sequence, st::UnixMs wall = kNow) {
  return {"n1", sequence, wall, {{"verdicts", {{{"server", "s-1"}, {"until", kNow + 5}}}}, {"n", sequence}}};
}

std::optional<st::SnapshotRejection> RejectionOf(std::span<const std::uint8_t> file,
                                                 const st::AcceptanceCriteria& criteria = kCriteria) {
  const auto read = st::Decode(file, criteria);
  const auto* rejection = std::get_if<st::SnapshotRejection>(&read);
  return rejection ? std::optional(*rejection) : std::nullopt;
}

void Put(const std::string& path, std::span<const std::uint8_t> bytes) {
  std::ofstream(path, std::ios::binary)
      .write(reinterpret_cast<const char*>(bytes.data()), static_cast<std::streamsize>(bytes.size()));
}

TEST(SnapshotFile, CutAtEveryByteAndWithEachBitFlippedItIsRefused) {
  const auto whole = st::Encode(Sample(7));
  ASSERT_EQ(RejectionOf(whole), std::nullopt);
  for (std::size_t size = 0; size < whole.size(); ++size)
    EXPECT_TRUE(RejectionOf(std::span(whole).first(size))) << size;
  for (std::size_t bit = 0; bit < whole.size() * 8; ++bit) {
    auto flipped = whole;
    flipped[bit / 8] ^= static_cast<std::uint8_t>(1u << bit % 8);
    EXPECT_TRUE(RejectionOf(flipped)) << bit;
  }
}

TEST(SnapshotFile, NoRandomBytesAreACrashOrASnapshot) {
  std::mt19937 random(5);
  const auto whole = st::Encode(Sample(7));
  for (int i = 0; i < 20000; ++i) {
    std::vector<std::uint8_t> bytes(random() % 300);
    for (auto& byte : bytes) byte = static_cast<std::uint8_t>(random());
    if (i % 2 == 0) std::copy_n(whole.begin(), std::min<std::size_t>(bytes.size(), 16), bytes.begin());
    EXPECT_TRUE(RejectionOf(bytes));
  }
}

TEST(SnapshotFile, OfAnotherNameFromTheFutureOrTooOldItIsRefusedWithItsReason) {
  auto other = kCriteria;
  other.name = "n2";
  EXPECT_EQ(RejectionOf(st::Encode(Sample(1)), other), st::SnapshotRejection::kOtherName);
  EXPECT_EQ(RejectionOf(st::Encode(Sample(1, kNow + 501))), st::SnapshotRejection::kFromFuture);
  EXPECT_EQ(RejectionOf(st::Encode(Sample(1, kNow - 60001))), st::SnapshotRejection::kTooOld);
  EXPECT_EQ(RejectionOf(st::Encode({"n1", 1, kNow, "text"})), st::SnapshotRejection::kMalformed);
  EXPECT_EQ(RejectionOf(std::vector<std::uint8_t>(100, 'x')), st::SnapshotRejection::kNotASnapshot);
}

struct Crash {};

TEST(SnapshotFile, ACrashAtAnyStepLeavesTheOldOneOrTheNewOneWhole) {
  for (const auto crash_at : {st::WriteStep::kOpened, st::WriteStep::kWritten, st::WriteStep::kSynced,
                              st::WriteStep::kPreviousKept, st::WriteStep::kRenamed, st::WriteStep::kDone}) {
    const Folder folder;
    const std::string path = folder.path / "p.snapshot";
    st::WriteAtomically(path, st::PreviousPath(path), st::Encode(Sample(1)));
    st::WriteAtomically(path, st::PreviousPath(path), st::Encode(Sample(2)));
    EXPECT_THROW(st::WriteAtomically(path, st::PreviousPath(path), st::Encode(Sample(3)),
                                     [&](st::WriteStep step) {
                                       if (step == crash_at) throw Crash();
                                     }),
                 Crash);
    const auto recovered =
        st::Recover(path, kCriteria, [](const std::string& file, st::SnapshotRejection rejection) {
          ADD_FAILURE() << file << " " << st::Name(rejection);
        });
    ASSERT_TRUE(std::holds_alternative<st::Snapshot>(recovered));
    const auto& snapshot = std::get<st::Snapshot>(recovered);
    EXPECT_EQ(snapshot.sequence, crash_at >= st::WriteStep::kRenamed ? 3u : 2u);
    EXPECT_EQ(snapshot.body, Sample(snapshot.sequence).body) << "a mix";
  }
}

TEST(SnapshotFile, ABadOneGivesWayToTheOneBefore) {
  const Folder folder;
  const std::string path = folder.path / "p.snapshot";
  std::vector<st::SnapshotRejection> rejected;
  const auto recover = [&] {
    return st::Recover(path, kCriteria, [&](const std::string&, st::SnapshotRejection rejection) {
      rejected.push_back(rejection);
    });
  };
  EXPECT_EQ(std::get<st::SnapshotRejection>(recover()), st::SnapshotRejection::kAbsent);
  st::WriteAtomically(path, st::PreviousPath(path), st::Encode(Sample(1)));
  auto bytes = st::Encode(Sample(2));
  bytes.back() ^= 1;
  st::WriteAtomically(path, st::PreviousPath(path), bytes);
  EXPECT_EQ(std::get<st::Snapshot>(recover()).sequence, 1u);
  EXPECT_EQ(rejected, std::vector{st::SnapshotRejection::kChecksum});
}

const nlohmann::json kOften{{"snapshot_interval_ms", 100}};

// Three servers, the first of which fails; a process with a state section.
struct Recovering : ::testing::Test {
  Recovering()
      : bad([](Tcp::socket& s, const HttpRequest&) {
          SendRaw(s, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
          return true;
        }) {
    config = ConfigJson(Tcp::endpoint(kAnyPort.address(), 9),
                        Members(MemberJson("s-1", bad.address()), MemberJson("s-2", good.address()),
                                MemberJson("s-3", good.address())));
    config["state"] = kOften;
  }
  // Asks until the failing server is out, and the file holds it.
  bool EjectAndKeep(Member& member) {
    const auto until = std::chrono::steady_clock::now() + kMaxWait;
    while (std::chrono::steady_clock::now() < until) {
      Client(member.clients).Ask(Look());
      if (member.process->WaitFor(" ejected: ", 0, milliseconds(1))) break;
    }
    while (std::chrono::steady_clock::now() < until) {
      std::ifstream in(SnapshotOf(member), std::ios::binary);
      const std::string bytes(std::istreambuf_iterator<char>(in), {});
      if (bytes.find("s-1") != std::string::npos) return true;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
  }
  static std::string SnapshotOf(const Member& member) {
    return member.folder->path /
           ("kestrelline-127.0.0.1-" + std::to_string(member.clients.port()) + ".snapshot");
  }

  Backend bad, good;
  nlohmann::json config;
};

TEST_F(Recovering, NoRequestGoesToAnEjectedServerAfterAKillUntilItsBackoffEnds) {
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(config)];
  ASSERT_TRUE(EjectAndKeep(member));
  fleet.Restart(0);
  const auto restored = member.process->WaitFor("verdict server=s-1 left_ms=");
  ASSERT_TRUE(restored);
  const auto left = milliseconds(std::stoll(restored->second.substr(restored->second.find("left_ms=") + 8)));
  const auto ends = member.process->LineReadAt(restored->first) + left;
  const std::size_t before = bad.seen.Get().requests.size();
  int asked = 0;
  // Well short of the end, as a request takes its time.
  while (std::chrono::steady_clock::now() < ends - left / 4) {
    Client(member.clients).Ask(Look());
    ++asked;
  }
  EXPECT_GT(asked, 0);
  EXPECT_EQ(bad.seen.Get().requests.size(), before);
  EXPECT_TRUE(member.process->WaitFor("recovered sequence="));
}

TEST_F(Recovering, AfterItsBoundASnapshotIsNotApplied) {
  config["state"]["max_age_ms"] = 1000;
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(config)];
  ASSERT_TRUE(EjectAndKeep(member));
  member.process->Kill();
  std::this_thread::sleep_for(milliseconds(1200));  // the bound itself
  fleet.Restart(0);
  EXPECT_TRUE(member.process->WaitFor("refused=too old"));
  EXPECT_TRUE(member.process->WaitFor("no snapshot to begin with"));
}

TEST_F(Recovering, KilledAgainAndAgainWhileItWritesItNeverFindsABadFile) {
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(config)];
  ASSERT_TRUE(EjectAndKeep(member));
  std::mt19937 random(11);
  for (int i = 0; i < 30; ++i) {
    std::this_thread::sleep_for(milliseconds(95 + random() % 12));  // about when a snapshot is under way
    fleet.Restart(0);
    EXPECT_TRUE(member.process->WaitFor("recovered sequence=")) << i;
    for (const std::string& line : member.process->Lines())
      EXPECT_EQ(line.find(" refused="), std::string::npos) << line;
  }
}

// Guards against a process that is replaced within its first interval leaving its successor nothing that it
// has learned, so that the successor sheds requests that it could serve.
TEST_F(Recovering, AYoungProcessLeavesASnapshotToTheNextOne) {
  config["state"] = {{"snapshot_interval_ms", 3600000}};
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(config)];
  const auto until = std::chrono::steady_clock::now() + kMaxWait;
  while (!std::filesystem::exists(SnapshotOf(member)) && std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(milliseconds(5));
  fleet.Restart(0);
  EXPECT_TRUE(member.process->WaitFor("recovered sequence="));
}

TEST_F(Recovering, ABadFileIsOneLineAndACleanStart) {
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(config)];
  member.process->Kill();
  for (const std::size_t size : {0u, 5u, 20u, 4000u}) {
    Put(SnapshotOf(member), std::vector<std::uint8_t>(size, 'K'));
    std::filesystem::remove(st::PreviousPath(SnapshotOf(member)));
    fleet.Restart(0);
    EXPECT_TRUE(member.process->WaitFor(".snapshot refused=")) << size;
    EXPECT_NE(Client(member.clients).Ask(Look()).result_int(), 0u) << "it serves";
    member.process->Kill();
  }
}

TEST_F(Recovering, ADetachThatWasAcknowledgedHoldsAfterAKill) {
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(config)];
  ASSERT_EQ(Call(member.operators, "DETACH s-1"), "ACK detached");
  fleet.Restart(0);
  const std::size_t before = bad.seen.Get().requests.size();
  for (int i = 0; i < 30; ++i) Client(member.clients).Ask(Look());
  EXPECT_EQ(bad.seen.Get().requests.size(), before);
}

TEST_F(Recovering, WithAnEmptyFolderItTakesThePeersState) {
  Cluster cluster(3, {{"probe_interval_ms", 100}, {"sync_interval_ms", 300}}, config);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  ASSERT_TRUE(EjectAndKeep(cluster[0]));
  for (const auto& entry : std::filesystem::directory_iterator(cluster[2].folder->path))
    if (entry.path().extension() != ".json") std::filesystem::remove(entry.path());
  cluster.Restart(2);
  const auto taken = cluster.process(2).WaitFor("verdict server=s-1 from=n1");
  ASSERT_TRUE(taken);
  const auto recovered = cluster.process(2).WaitFor("recovered from a peer");
  ASSERT_TRUE(recovered);
  EXPECT_LT(taken->first, recovered->first) << "ready before the peer's state was there";
}

TEST_F(Recovering, WithoutAnyPeerItIsReadyAfterTheBound) {
  config["state"]["peer_wait_ms"] = 300;
  Cluster cluster(1, {{"probe_interval_ms", 100}}, config);
  const std::string ready = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
  EXPECT_TRUE(cluster.process(0).WaitFor("no peer's state in time"));
  EXPECT_EQ(Client(cluster[0].clients).Ask(ready).result_int(), 200u);
}

}  // namespace
}  // namespace load_balancer::testing::fleet
