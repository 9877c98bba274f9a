// SPDX-License-Identifier: Apache-2.0
//
// The operators' listener, and what its calls do.
#include "operators.h"

#include <gtest/gtest.h>

#include "loopback.h"

namespace brackenspoke::testing {
namespace {

using Verb = proxy::OperatorCall::Verb;

const char kReadyRequest[] = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

struct Site {
  Site() : config(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address())))) {
    config["ops"] = "127.0.0.1:0";
    proxy = std::make_unique<RunningProxy>(config);
  }
  std::string Call(const std::string& line) { return CallOperators(proxy->operators, line); }
  unsigned Ready() { return Client(proxy->address).Ask(kReadyRequest).result_int(); }

  Backend backend;
  FakeDiscovery discovery;
  nlohmann::json config;
  std::unique_ptr<RunningProxy> proxy;
};

bool IsYes(const std::string& answer) { return answer.starts_with("ACK ") && answer.back() == '\n'; }
bool IsNo(const std::string& answer) { return answer.starts_with("NAK ") && answer.back() == '\n'; }

TEST(Operators, UnderstandCallsAndSayWhyNot) {
  const auto call = [](const char* line) { return std::get<proxy::OperatorCall>(proxy::ParseCall(line)); };
  EXPECT_EQ(call("PING").verb, Verb::kPing);
  EXPECT_EQ(call("LAMEDUCK").verb, Verb::kLameduck);
  EXPECT_EQ(call("REJOIN").verb, Verb::kRejoin);
  EXPECT_EQ(call("DETACH s-1").id, "s-1");
  EXPECT_EQ(call(" ATTACH\t s-1 ").id, "s-1");
  EXPECT_EQ(call("ATTACH s-1").verb, Verb::kAttach);
  const auto why = [](const std::string& line) { return std::get<std::string>(proxy::ParseCall(line)); };
  EXPECT_EQ(why(""), "empty call");
  EXPECT_EQ(why("  "), "empty call");
  EXPECT_EQ(why("HELLO"), "unknown call");
  EXPECT_EQ(why("ping"), "unknown call");
  EXPECT_EQ(why("DETACH"), "ID missing");
  EXPECT_EQ(why("DETACH a b"), "too many words");
  EXPECT_EQ(why("PING a"), "too many words");
  EXPECT_EQ(why(std::string("PI\0NG", 5)), "not text");
  EXPECT_EQ(why("PING\x7f"), "not text");
}

TEST(Operators, OneLineToAConnectionIsAnsweredWithOneLine) {
  Site site;
  EXPECT_EQ(site.Call("PING\n"), "ACK taking clients\n");
  EXPECT_EQ(site.Call("PING\r\n"), "ACK taking clients\n");
  EXPECT_EQ(site.Call("PING\nLAMEDUCK\n"), "ACK taking clients\n");
  EXPECT_EQ(site.Ready(), 200u) << "a second line is no call";
  EXPECT_TRUE(IsNo(site.Call("\n")));
  EXPECT_TRUE(IsNo(site.Call("GET / HTTP/1.1\r\n\r\n")));
  EXPECT_TRUE(IsNo(site.Call(std::string("\0\xff\n", 3))));
  EXPECT_TRUE(IsNo(site.Call(std::string(100000, 'P'))));
  EXPECT_TRUE(IsYes(site.Call("PING\n")));
}

TEST(Operators, AnswerBesideManyCallersThatSendHalfALine) {
  Site site;
  std::vector<std::unique_ptr<Client>> half;
  for (int i = 0; i < 200; ++i) {
    half.push_back(std::make_unique<Client>(site.proxy->operators));
    half.back()->Send("PI");
    if (i % 20 == 0) {
      EXPECT_TRUE(IsYes(site.Call("PING\n")));
    }
  }
  EXPECT_TRUE(half.front()->Ended()) << "the oldest gave way";
}

TEST(Operators, ACallerThatSendsNoWholeLineIsEnded) {
  Site site;
  Client silent(site.proxy->operators);
  EXPECT_TRUE(silent.Ended());
}

TEST(Drain, SaysNoServesWhatComesAndClosesEachAfterItsAnswer) {
  Site site;
  Client kept(site.proxy->address);
  EXPECT_EQ(kept.Ask(Look()).result_int(), 200u);
  EXPECT_TRUE(IsYes(site.Call("LAMEDUCK\n")));
  EXPECT_TRUE(IsYes(site.Call("LAMEDUCK\n")));
  EXPECT_TRUE(IsNo(site.Call("PING\n")));
  EXPECT_EQ(site.Ready(), 503u);
  EXPECT_EQ(kept.Ask(Look()).result_int(), 200u);
  EXPECT_TRUE(kept.Ended());
  Client fresh(site.proxy->address);
  EXPECT_EQ(fresh.Ask(Look()).result_int(), 200u);
  EXPECT_TRUE(fresh.Ended());
}

TEST(Drain, ClosesWhatStandsIdle) {
  Site site;
  Client kept(site.proxy->address), silent(site.proxy->address);
  EXPECT_EQ(kept.Ask(Look()).result_int(), 200u);
  EXPECT_TRUE(IsYes(site.Call("LAMEDUCK\n")));
  EXPECT_TRUE(kept.Ended());
  EXPECT_TRUE(silent.Ended());
}

TEST(Drain, IsTakenBack) {
  Site site;
  EXPECT_TRUE(IsYes(site.Call("REJOIN\n"))) << "harmless when there is no drain";
  EXPECT_TRUE(IsYes(site.Call("LAMEDUCK\n")));
  EXPECT_EQ(site.Ready(), 503u);
  EXPECT_TRUE(IsYes(site.Call("REJOIN\n")));
  EXPECT_EQ(site.Ready(), 200u);
  EXPECT_TRUE(IsYes(site.Call("PING\n")));
  Client client(site.proxy->address);
  EXPECT_EQ(client.Ask(Look()).result_int(), 200u);
  EXPECT_EQ(client.Ask(Look()).result_int(), 200u) << "kept again";
}

TEST(Drain, EndsWithTheProcessAtItsStop) {
  Site site;
  EXPECT_TRUE(IsYes(site.Call("LAMEDUCK\n")));
  const auto stopped = site.proxy->Stop();
  EXPECT_TRUE(IsNo(site.Call("REJOIN\n")));
  EXPECT_TRUE(IsNo(site.Call("PING\n")));
  EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);
}

}  // namespace
}  // namespace brackenspoke::testing
