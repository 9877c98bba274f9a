// SPDX-License-Identifier: Apache-2.0
#include "overflow/incoming.h"

#include <gtest/gtest.h>

#include "fixture.h"

namespace load_balancer::overflow {
namespace {

TEST(Incoming, AMarkCountsOnlyFromTheGatewayThatItNames) {
  const Directory sites = Sites(3, 2);  // this site is a
  const std::tuple<const char*, const char*, const FailureKind*> kTable[] = {
      {"b/1", "127.0.1.1", nullptr},       {"b/2", "127.0.1.2", nullptr},
      {"b/1", "127.0.1.2", &kForeignMark}, {"b/1", "10.0.0.1", &kForeignMark},
      {"a/1", "127.0.0.1", &kForeignMark}, {"z/1", "127.0.1.1", &kForeignMark},
      {"b/9", "127.0.1.1", &kForeignMark}, {"b", "127.0.1.1", &kBadMark},
      {"", "127.0.1.1", &kBadMark},        {"/1", "127.0.1.1", &kBadMark},
      {"b/", "127.0.1.1", &kBadMark},      {"b/1/2", "127.0.1.1", &kBadMark},
      {"b/1, b/1", "127.0.1.1", &kBadMark}};
  for (const auto& [mark, peer, kind] : kTable) {
    const auto judged = JudgeMark(sites, "a", mark, boost::asio::ip::make_address(peer));
    EXPECT_EQ(judged ? nullptr : &judged.error().kind(), kind) << mark << " from " << peer;
    if (!judged) continue;
    EXPECT_EQ(MarkOf(*judged), mark);
  }
}

}  // namespace
}  // namespace load_balancer::overflow
