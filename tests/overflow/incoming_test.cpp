// SPDX-License-Identifier: Apache-2.0
#include "overflow/incoming.h"

#include <gtest/gtest.h>

#include "fixture.h"

namespace load_balancer::overflow {
namespace {

TEST(Incoming, AMarkIsValidOnlyFromTheGatewayThatItNames) {
  const Directory sites = MakeSites(3, 2);  // the tested gateway belongs to site a
  const std::tuple<const char*, const char*, const FailureKind*> kTable[] = {
      {"b/1", "127.0.1.1", nullptr},          {"b/2", "127.0.1.2", nullptr},
      {"b/1", "127.0.1.2", &kUnverifiedMark}, {"b/1", "10.0.0.1", &kUnverifiedMark},
      {"a/1", "127.0.0.1", &kUnverifiedMark}, {"z/1", "127.0.1.1", &kUnverifiedMark},
      {"b/9", "127.0.1.1", &kUnverifiedMark}, {"b", "127.0.1.1", &kBadMark},
      {"", "127.0.1.1", &kBadMark},           {"/1", "127.0.1.1", &kBadMark},
      {"b/", "127.0.1.1", &kBadMark},         {"b/1/2", "127.0.1.1", &kBadMark},
      {"b/1, b/1", "127.0.1.1", &kBadMark}};
  for (const auto& [mark, peer, kind] : kTable) {
    const auto sender = VerifyMark(sites, "a", mark, boost::asio::ip::make_address(peer));
    EXPECT_EQ(sender ? nullptr : &sender.error().kind(), kind) << mark << " from " << peer;
    if (!sender) continue;
    EXPECT_EQ(FormatMark(*sender), mark);
  }
}

}  // namespace
}  // namespace load_balancer::overflow
