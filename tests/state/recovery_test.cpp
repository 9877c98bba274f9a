// SPDX-License-Identifier: Apache-2.0
//
// Tests of recovery: snapshot files after crashes and corruption, and real processes that are killed and
// restarted.
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

// Returns a snapshot of the process n1.
st::Snapshot Sample(std::uint64_t sequence, st::UnixMs written_at = kNow) {
  return {"n1",
          sequence,
          written_at,
          {{"verdicts", {{{"server", "s-1"}, {"until", kNow + 5}}}}, {"n", sequence}}};
}

// Returns the reason for which the bytes of a file are rejected, or nullopt if they are accepted.
std::optional<st::SnapshotRejection> RejectionOf(std::span<const std::uint8_t> file,
                                                 const st::AcceptanceCriteria& criteria = kCriteria) {
  const auto read = st::Decode(file, criteria);
  const auto* rejection = std::get_if<st::SnapshotRejection>(&read);
  return rejection ? std::optional(*rejection) : std::nullopt;
}

// Writes `bytes` to the file at `path`.
void WriteFile(const std::string& path, std::span<const std::uint8_t> bytes) {
  std::ofstream(path, std::ios::binary)
      .write(reinterpret_cast<const char*>(bytes.data()), static_cast<std::streamsize>(bytes.size()));
}

TEST(SnapshotFile, IsRejectedIfTruncatedAtAnyByteOrWithAnyBitFlipped) {
  const auto encoded = st::Encode(Sample(7));
  ASSERT_EQ(RejectionOf(encoded), std::nullopt);
  for (std::size_t size = 0; size < encoded.size(); ++size)
    EXPECT_TRUE(RejectionOf(std::span(encoded).first(size))) << size;
  for (std::size_t bit = 0; bit < encoded.size() * 8; ++bit) {
    auto flipped = encoded;
    flipped[bit / 8] ^= static_cast<std::uint8_t>(1u << bit % 8);
    EXPECT_TRUE(RejectionOf(flipped)) << bit;
  }
}

TEST(SnapshotFile, RandomBytesAreRejectedWithoutACrash) {
  std::mt19937 random(5);
  const auto encoded = st::Encode(Sample(7));
  for (int i = 0; i < 20000; ++i) {
    std::vector<std::uint8_t> bytes(random() % 300);
    for (auto& byte : bytes) byte = static_cast<std::uint8_t>(random());
    if (i % 2 == 0) std::copy_n(encoded.begin(), std::min<std::size_t>(bytes.size(), 16), bytes.begin());
    EXPECT_TRUE(RejectionOf(bytes));
  }
}

TEST(SnapshotFile, IsRejectedWithTheReasonIfTheNameTimeOrFormatIsWrong) {
  auto other = kCriteria;
  other.name = "n2";
  EXPECT_EQ(RejectionOf(st::Encode(Sample(1)), other), st::SnapshotRejection::kOtherName);
  EXPECT_EQ(RejectionOf(st::Encode(Sample(1, kNow + 501))), st::SnapshotRejection::kFromFuture);
  EXPECT_EQ(RejectionOf(st::Encode(Sample(1, kNow - 60001))), st::SnapshotRejection::kTooOld);
  EXPECT_EQ(RejectionOf(st::Encode({"n1", 1, kNow, "text"})), st::SnapshotRejection::kMalformed);
  EXPECT_EQ(RejectionOf(std::vector<std::uint8_t>(100, 'x')), st::SnapshotRejection::kNotASnapshot);
}

struct Crash {};

TEST(SnapshotFile, ACrashAfterAnyStepLeavesACompleteOldOrNewFile) {
  for (const auto crash_at : {st::WriteStep::kOpened, st::WriteStep::kWritten, st::WriteStep::kSynced,
                              st::WriteStep::kPreviousSaved, st::WriteStep::kRenamed, st::WriteStep::kDone}) {
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
    EXPECT_EQ(snapshot.body, Sample(snapshot.sequence).body) << "the snapshot mixes two writes";
  }
}

TEST(SnapshotFile, ThePreviousFileIsUsedIfTheLastOneIsCorrupt) {
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

const nlohmann::json kShortInterval{{"snapshot_interval_ms", 100}};

// Configures a process with a state section and three servers, of which the first one always answers 500.
struct Recovery : ::testing::Test {
  Recovery()
      : failing([](Tcp::socket& socket, const HttpRequest&) {
          SendRaw(socket, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
          return true;
        }) {
    config = ConfigJson(Tcp::endpoint(kAnyPort.address(), 9),
                        Members(MemberJson("s-1", failing.address()), MemberJson("s-2", healthy.address()),
                                MemberJson("s-3", healthy.address())));
    config["state"] = kShortInterval;
  }
  // Sends requests until the process has ejected the failing server and its snapshot contains the ejection.
  // Returns false if that takes longer than kMaxWait.
  bool EjectAndWaitForSnapshot(Member& member) {
    const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
    while (std::chrono::steady_clock::now() < deadline) {
      Client(member.clients).Ask(Look());
      if (member.process->WaitFor(" ejected: ", 0, milliseconds(1))) break;
    }
    while (std::chrono::steady_clock::now() < deadline) {
      std::ifstream in(SnapshotPath(member), std::ios::binary);
      const std::string bytes(std::istreambuf_iterator<char>(in), {});
      if (bytes.find("s-1") != std::string::npos) return true;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
  }
  // Returns the path of the snapshot of a member.
  static std::string SnapshotPath(const Member& member) {
    return member.folder->path /
           ("kestrelline-127.0.0.1-" + std::to_string(member.clients.port()) + ".snapshot");
  }

  Backend failing, healthy;
  nlohmann::json config;
};

TEST_F(Recovery, NoRequestReachesAnEjectedServerAfterAKillUntilTheEjectionEnds) {
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(config)];
  ASSERT_TRUE(EjectAndWaitForSnapshot(member));
  fleet.Restart(0);
  const auto restored = member.process->WaitFor("verdict server=s-1 left_ms=");
  ASSERT_TRUE(restored);
  const auto remaining =
      milliseconds(std::stoll(restored->second.substr(restored->second.find("left_ms=") + 8)));
  const auto ends_at = member.process->LineReadAt(restored->first) + remaining;
  const std::size_t before = failing.seen.Get().requests.size();
  int requests = 0;
  // Stops well before the end of the ejection, because a request takes some time.
  while (std::chrono::steady_clock::now() < ends_at - remaining / 4) {
    Client(member.clients).Ask(Look());
    ++requests;
  }
  EXPECT_GT(requests, 0);
  EXPECT_EQ(failing.seen.Get().requests.size(), before);
  EXPECT_TRUE(member.process->WaitFor("recovered sequence="));
}

TEST_F(Recovery, ASnapshotOlderThanMaxAgeIsNotApplied) {
  config["state"]["max_age_ms"] = 1000;
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(config)];
  ASSERT_TRUE(EjectAndWaitForSnapshot(member));
  member.process->Kill();
  std::this_thread::sleep_for(milliseconds(1200));  // longer than max_age_ms
  fleet.Restart(0);
  EXPECT_TRUE(member.process->WaitFor("refused=too old"));
  EXPECT_TRUE(member.process->WaitFor("starting without a snapshot"));
}

TEST_F(Recovery, RepeatedKillsDuringWritesLeaveNoCorruptFile) {
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(config)];
  ASSERT_TRUE(EjectAndWaitForSnapshot(member));
  std::mt19937 random(11);
  for (int i = 0; i < 30; ++i) {
    std::this_thread::sleep_for(milliseconds(95 + random() % 12));  // close to the time of the next write
    fleet.Restart(0);
    EXPECT_TRUE(member.process->WaitFor("recovered sequence=")) << i;
    for (const std::string& line : member.process->Lines())
      EXPECT_EQ(line.find(" refused="), std::string::npos) << line;
  }
}

// Guards against a process that is replaced within its first interval and leaves no snapshot. Its successor
// would then start without learned rates and reject requests that it could serve.
TEST_F(Recovery, AProcessWritesASnapshotSoonAfterItsStart) {
  config["state"] = {{"snapshot_interval_ms", 3600000}};
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(config)];
  const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
  while (!std::filesystem::exists(SnapshotPath(member)) && std::chrono::steady_clock::now() < deadline)
    std::this_thread::sleep_for(milliseconds(5));
  fleet.Restart(0);
  EXPECT_TRUE(member.process->WaitFor("recovered sequence="));
}

TEST_F(Recovery, ACorruptFileIsLoggedAndTheProcessStartsWithoutIt) {
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(config)];
  member.process->Kill();
  for (const std::size_t size : {0u, 5u, 20u, 4000u}) {
    WriteFile(SnapshotPath(member), std::vector<std::uint8_t>(size, 'K'));
    std::filesystem::remove(st::PreviousPath(SnapshotPath(member)));
    fleet.Restart(0);
    EXPECT_TRUE(member.process->WaitFor(".snapshot refused=")) << size;
    EXPECT_NE(Client(member.clients).Ask(Look()).result_int(), 0u) << "the process does not serve requests";
    member.process->Kill();
  }
}

TEST_F(Recovery, AnAcknowledgedDetachLastsAcrossAKill) {
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(config)];
  ASSERT_EQ(Call(member.operators, "DETACH s-1"), "ACK detached");
  fleet.Restart(0);
  const std::size_t before = failing.seen.Get().requests.size();
  for (int i = 0; i < 30; ++i) Client(member.clients).Ask(Look());
  EXPECT_EQ(failing.seen.Get().requests.size(), before);
}

TEST_F(Recovery, AMemberWithoutASnapshotRecoversFromAPeer) {
  Cluster cluster(3, {{"probe_interval_ms", 100}, {"sync_interval_ms", 300}}, config);
  ASSERT_TRUE(cluster.WaitUntilAllAlive());
  ASSERT_TRUE(EjectAndWaitForSnapshot(cluster[0]));
  // A process that still runs would write another snapshot.
  cluster.process(2).Kill();
  for (const auto& entry : std::filesystem::directory_iterator(cluster[2].folder->path))
    if (entry.path().extension() != ".json") std::filesystem::remove(entry.path());
  cluster.Restart(2);
  const auto accepted = cluster.process(2).WaitFor("verdict server=s-1 from=n1");
  ASSERT_TRUE(accepted);
  const auto recovered = cluster.process(2).WaitFor("recovered from a peer");
  ASSERT_TRUE(recovered) << ::testing::PrintToString(cluster.process(2).Lines());
  EXPECT_LT(accepted->first, recovered->first) << "recovery ended before the peer's state was received";
}

TEST_F(Recovery, AMemberWithoutAPeerIsReadyAfterPeerWait) {
  config["state"]["peer_wait_ms"] = 300;
  Cluster cluster(1, {{"probe_interval_ms", 100}}, config);
  const std::string ready_request = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
  EXPECT_TRUE(cluster.process(0).WaitFor("no peer's state in time"));
  EXPECT_EQ(Client(cluster[0].clients).Ask(ready_request).result_int(), 200u);
}

}  // namespace
}  // namespace load_balancer::testing::fleet
