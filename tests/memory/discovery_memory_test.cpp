// SPDX-License-Identifier: Apache-2.0
//
// The program keeps to its memory, whatever discovery sends.
#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "loopback.h"
#include "memory/memory_fixture.h"

namespace load_balancer::testing {
namespace {

constexpr int kKnownRevision = 41;

std::string ListText(int revision, const std::string& entries, const std::string& more = "") {
  return "{\"revision\":" + std::to_string(revision) + ",\"complete\":false" + more + ",\"members\":[" +
         entries + "]}";
}
std::string ReadyEntry(int number) {
  return R"({"id":"s-)" + std::to_string(number) +
         R"(","host_port":"127.0.0.1:9","locality":"a","flavor":"m",)" +
         R"("cell":0,"phase":"in_service","size":1.0,"up_since_ms":0})";
}
std::string GoneEntry(int number) {
  return R"({"id":"s-)" + std::to_string(number) + R"(","phase":"terminated"})";
}
// Returns the entries of servers `begin` to `end`.
std::string Entries(std::string (*entry)(int), int begin, int end) {
  std::string all;
  for (int i = begin; i < end; ++i) {
    if (i > begin) all += ',';
    all += entry(i);
  }
  return all;
}
std::string Times(int count, const std::string& text) {
  std::string all;
  for (int i = 0; i < count; ++i) all += text;
  return all;
}

class DiscoveryMemory : public Memory {
 protected:
  // Expects that a list which is pushed now takes effect, and that memory was kept.
  void ExpectNextListTaken() {
    Backend other("other");
    discovery.Push(ListJson(kNextRevision, true, Members(MemberJson("other", other.address()))));
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    std::string body;
    while (body != "other" && std::chrono::steady_clock::now() < until)
      body = Client(port.tcp()).Ask(Look()).body();
    EXPECT_EQ(body, "other");
    ExpectMemoryKept();
  }
  static constexpr int kNextRevision = 1'000'000;
};

// Guards against tables by server that keep each server that a list has ever named.
TEST_F(DiscoveryMemory, IsLimitedForEverNewServers) {
  constexpr int kServers = 500, kLists = 400;
  Start(AnswerWith(OkAnswer("served")));
  for (int i = 1; i <= kLists; ++i) {
    const int begin = i * kServers;
    discovery.Push(ListText(kKnownRevision + i, Entries(GoneEntry, begin - kServers, begin) + "," +
                                                    Entries(ReadyEntry, begin, begin + kServers)));
  }
  ExpectNextListTaken();
}

struct LargeList {
  const char* name;
  std::string text;
};
void PrintTo(const LargeList& list, std::ostream* out) { *out << list.name; }

class LargeListMemory : public DiscoveryMemory, public ::testing::WithParamInterface<LargeList> {};

TEST_P(LargeListMemory, IsLimited) {
  Start(AnswerWith(OkAnswer("served")));
  ASSERT_TRUE(discovery.WaitForWatches(1));
  discovery.Push(GetParam().text);
  ASSERT_TRUE(discovery.WaitForWatches(2)) << "the watch has ended";
  ExpectNextListTaken();
}

INSTANTIATE_TEST_SUITE_P(
    Lists, LargeListMemory,
    ::testing::Values(
        LargeList{"OfManyServers", ListText(kKnownRevision + 1, Entries(ReadyEntry, 0, 50'000))},
        LargeList{"OfManyGoneServers", ListText(kKnownRevision + 1, Entries(GoneEntry, 0, 180'000))},
        LargeList{"OfManyUnknownValues",
                  ListText(kKnownRevision + 1, "", ",\"x\":[0" + Times(3'500'000, ",0") + "]")},
        LargeList{"OfALongName", ListText(kKnownRevision + 1, R"({"id":")" + std::string(7'000'000, 's') +
                                                                  R"(","phase":"terminated"})")},
        LargeList{"WithoutEnd",
                  R"({"revision":42,"complete":false,"members":[)" + std::string(16'000'000, ' ')}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace load_balancer::testing
