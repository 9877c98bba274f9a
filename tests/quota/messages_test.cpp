// SPDX-License-Identifier: Apache-2.0
#include "quota/messages.h"

#include <gtest/gtest.h>

#include "quota/failures.h"
#include "quota/message_codec.h"
#include "quota/message_split.h"

namespace load_balancer::quota {
namespace {

using nlohmann::json;

AllocationRequest SampleRequest() {
  return {7, 3, 12, {{{"isar", {5, 9}, 1500}, 40'000, 1000}}, {{"isar", {5, 9}, 1500}}};
}

AllocationResponse SampleResponse() {
  return {7, 3, 5, true, {{"isar", 12, 10, {20'000, 40'000}, 2000}}, {"lech"}, {{"lech", {100, 200}}}};
}

TEST(QuotaMessages, AreUnchangedAfterEncodingAndDecoding) {
  const json request = ToJson(SampleRequest()), response = ToJson(SampleResponse());
  const auto decoded = AllocationRequestFromJson(request, "a");
  ASSERT_TRUE(decoded) << decoded.error().Text();
  EXPECT_EQ(ToJson(*decoded), request);
  const auto decoded_response =
      AllocationResponseFromJson(json::from_msgpack(json::to_msgpack(response)), "a");
  ASSERT_TRUE(decoded_response) << decoded_response.error().Text();
  EXPECT_EQ(ToJson(*decoded_response), response);
}

// A valid message becomes invalid if the given value is written to the given JSON pointer.
TEST(QuotaMessages, AreRejectedIfMalformed) {
  const std::vector<std::pair<const char*, json>> requests{{"/l", -1},
                                                           {"/r", 1.5},
                                                           {"/i", "1"},
                                                           {"/a", 3},
                                                           {"/a/0/0", ""},
                                                           {"/a/0/0", 5},
                                                           {"/a/0/4", -1},
                                                           {"/a/0/4", kMaxRate + 1},
                                                           {"/a/0/6", 1},
                                                           {"/k/0/3", 1e12},
                                                           {"/x", 1},
                                                           {"/a/0/0", std::string(65, 'a')},
                                                           {"/a/0/5", kMaxBurst + 1}};
  for (const auto& [place, value] : requests) {
    json root = ToJson(SampleRequest());
    root[json::json_pointer(place)] = value;
    const auto decoded = AllocationRequestFromJson(root, "10.0.0.1:1");
    ASSERT_FALSE(decoded) << place;
    EXPECT_EQ(&decoded.error().kind(), &kBadMessage);
    EXPECT_EQ(decoded.error().where(), "10.0.0.1:1");
  }
  const std::vector<std::pair<const char*, json>> responses{
      {"/t", nullptr},     {"/g", 1},    {"/d/0", json::object()}, {"/d/0/3", -5},
      {"/d/0/5", 600'001}, {"/c/0", ""}, {"/f/0/1", 0.5},          {"/f/0", json::array({"lech"})}};
  for (const auto& [place, value] : responses) {
    json root = ToJson(SampleResponse());
    root[json::json_pointer(place)] = value;
    EXPECT_FALSE(AllocationResponseFromJson(root, "a")) << place;
  }
  for (const char* key : {"l", "r", "i", "a", "k"}) {
    json root = ToJson(SampleRequest());
    root.erase(key);
    EXPECT_FALSE(AllocationRequestFromJson(root, "a")) << key;
  }
  EXPECT_FALSE(AllocationRequestFromJson(json::array(), "a"));
}

TEST(QuotaMessages, AreSplitIntoDatagramsWithoutLosingEntries) {
  AllocationRequest request = SampleRequest();
  AllocationResponse response = SampleResponse();
  for (int i = 0; i < 100; ++i) {
    const std::string partner = std::string(static_cast<std::size_t>(i % 60), '"') + std::to_string(i);
    const std::uint64_t largest = UINT64_MAX;
    request.grant_requests.push_back({{partner, {largest, largest}, 600'000}, kMaxRate, kMaxBurst});
    request.acks.push_back({partner, {largest, largest}, 600'000});
    response.grants.push_back({partner, largest, largest, {kMaxRate, kMaxBurst}, 600'000});
    response.recalls.push_back(partner);
  }
  request.incarnation = request.revision = request.number = response.incarnation = response.revision =
      response.token = UINT64_MAX;
  std::size_t grant_requests = 0, acks = 0, grants = 0, recalls = 0;
  for (const AllocationRequest& message : Split(request)) {
    EXPECT_LE(ToJson(message).dump().size(), kMaxMessageBytes);
    EXPECT_TRUE(AllocationRequestFromJson(ToJson(message), "a"));
    grant_requests += message.grant_requests.size();
    acks += message.acks.size();
  }
  for (const AllocationResponse& message : Split(response)) {
    EXPECT_LE(ToJson(message).dump().size(), kMaxMessageBytes);
    grants += message.grants.size();
    recalls += message.recalls.size();
  }
  EXPECT_EQ(grant_requests, 101u);
  EXPECT_EQ(acks, 101u);
  EXPECT_EQ(grants, 101u);
  EXPECT_EQ(recalls, 101u);
  EXPECT_TRUE(Split(AllocationRequest{}).empty());
}

TEST(QuotaMessages, HoldManyPartnersOfUsualValues) {
  AllocationRequest request{1'234'567, 3, 1200, {}, {}};
  for (int i = 0; i < 100; ++i)
    request.grant_requests.push_back({{"partner-" + std::to_string(i), {3, 123'456}, 1875}, 20'000, 1000});
  EXPECT_LE(Split(request).size(), 6u);
}

}  // namespace
}  // namespace load_balancer::quota
