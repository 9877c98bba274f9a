// SPDX-License-Identifier: Apache-2.0
#include "quota/messages.h"

#include <gtest/gtest.h>

#include "quota/failures.h"

namespace load_balancer::quota {
namespace {

using nlohmann::json;

Request SampleRequest() {
  return {7, 3, 12, {{{"isar", {5, 9}, 1500}, 40'000, 1000}}, {{"isar", {5, 9}, 1500}}};
}

Answer SampleAnswer() {
  return {7, 3, 5, true, {{"isar", 12, 10, {20'000, 40'000}, 2000}}, {"lech"}, {{"lech", {100, 200}}}};
}

TEST(QuotaMessages, ComeBackAsTheyWere) {
  const json request = ToJson(SampleRequest()), answer = ToJson(SampleAnswer());
  const auto got = RequestFromJson(request, "a");
  ASSERT_TRUE(got) << got.error().Text();
  EXPECT_EQ(ToJson(*got), request);
  const auto answered = AnswerFromJson(json::from_msgpack(json::to_msgpack(answer)), "a");
  ASSERT_TRUE(answered) << answered.error().Text();
  EXPECT_EQ(ToJson(*answered), answer);
}

// Each of these, put at its place in a message that is right, makes it one that is refused.
TEST(QuotaMessages, RefuseWhateverIsOutOfForm) {
  const std::vector<std::pair<const char*, json>> requests{{"/l", -1},
                                                           {"/r", 1.5},
                                                           {"/i", "1"},
                                                           {"/a", 3},
                                                           {"/a/0/0", ""},
                                                           {"/a/0/0", 5},
                                                           {"/a/0/4", -1},
                                                           {"/a/0/4", kMostRate + 1},
                                                           {"/a/0/6", 1},
                                                           {"/k/0/3", 1e12},
                                                           {"/x", 1},
                                                           {"/a/0/0", std::string(65, 'a')},
                                                           {"/a/0/5", kMostBurst + 1}};
  for (const auto& [place, value] : requests) {
    json root = ToJson(SampleRequest());
    root[json::json_pointer(place)] = value;
    const auto got = RequestFromJson(root, "10.0.0.1:1");
    ASSERT_FALSE(got) << place;
    EXPECT_EQ(&got.error().kind(), &kBadMessage);
    EXPECT_EQ(got.error().where(), "10.0.0.1:1");
  }
  const std::vector<std::pair<const char*, json>> answers{
      {"/t", nullptr},     {"/g", 1},    {"/d/0", json::object()}, {"/d/0/3", -5},
      {"/d/0/5", 600'001}, {"/c/0", ""}, {"/f/0/1", 0.5},          {"/f/0", json::array({"lech"})}};
  for (const auto& [place, value] : answers) {
    json root = ToJson(SampleAnswer());
    root[json::json_pointer(place)] = value;
    EXPECT_FALSE(AnswerFromJson(root, "a")) << place;
  }
  for (const char* key : {"l", "r", "i", "a", "k"}) {
    json root = ToJson(SampleRequest());
    root.erase(key);
    EXPECT_FALSE(RequestFromJson(root, "a")) << key;
  }
  EXPECT_FALSE(RequestFromJson(json::array(), "a"));
}

TEST(QuotaMessages, AreSplitToFitADatagramAndLoseNothing) {
  Request request = SampleRequest();
  Answer answer = SampleAnswer();
  for (int i = 0; i < 100; ++i) {
    const std::string partner = std::string(static_cast<std::size_t>(i % 60), '"') + std::to_string(i);
    const std::uint64_t most = UINT64_MAX;
    request.asks.push_back({{partner, {most, most}, 600'000}, kMostRate, kMostBurst});
    request.acks.push_back({partner, {most, most}, 600'000});
    answer.grants.push_back({partner, most, most, {kMostRate, kMostBurst}, 600'000});
    answer.calls.push_back(partner);
  }
  request.life = request.revision = request.ask = answer.life = answer.revision = answer.token = UINT64_MAX;
  std::size_t asks = 0, acks = 0, grants = 0, calls = 0;
  for (const Request& part : Split(request)) {
    EXPECT_LE(ToJson(part).dump().size(), kMostMessage);
    EXPECT_TRUE(RequestFromJson(ToJson(part), "a"));
    asks += part.asks.size();
    acks += part.acks.size();
  }
  for (const Answer& part : Split(answer)) {
    EXPECT_LE(ToJson(part).dump().size(), kMostMessage);
    grants += part.grants.size();
    calls += part.calls.size();
  }
  EXPECT_EQ(asks, 101u);
  EXPECT_EQ(acks, 101u);
  EXPECT_EQ(grants, 101u);
  EXPECT_EQ(calls, 101u);
  EXPECT_TRUE(Split(Request{}).empty());
}

TEST(QuotaMessages, CarryManyPartnersOfUsualFigures) {
  Request request{1'234'567, 3, 1200, {}, {}};
  for (int i = 0; i < 100; ++i)
    request.asks.push_back({{"partner-" + std::to_string(i), {3, 123'456}, 1875}, 20'000, 1000});
  EXPECT_LE(Split(request).size(), 6u);
}

}  // namespace
}  // namespace load_balancer::quota
