// SPDX-License-Identifier: Apache-2.0
//
// The operators' listener, and what its calls do.
#include "operators.h"

#include <gtest/gtest.h>

#include "loopback.h"

namespace load_balancer::testing {
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
  const auto call = [](const char* line) { return proxy::ParseCall(line).value(); };
  EXPECT_EQ(call("PING").verb, Verb::kPing);
  EXPECT_EQ(call("LAMEDUCK").verb, Verb::kLameduck);
  EXPECT_EQ(call("REJOIN").verb, Verb::kRejoin);
  EXPECT_EQ(call("DETACH s-1").id, "s-1");
  EXPECT_EQ(call(" ATTACH\t s-1 ").id, "s-1");
  EXPECT_EQ(call("ATTACH s-1").verb, Verb::kAttach);
  const auto why = [](const std::string& line) { return proxy::ParseCall(line).error().where(); };
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

TEST(Operators, UsageTellsMemoryConnectionsAndWhyRequestsWereRefused) {
  Site site;
  Client client(site.proxy->address);
  EXPECT_EQ(client.Ask("garbage\r\n\r\n").result_int(), 400u);
  const std::string usage = site.Call("USAGE\n");
  EXPECT_TRUE(IsYes(usage)) << usage;
  for (const char* part : {"ACK memory=", " most_memory=", " clients=1 ", " requests=0", "; malformed=1"})
    EXPECT_NE(usage.find(part), std::string::npos) << part << " in " << usage;
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

// ---- maintenance --------------------------------------------------------------------------------------
struct TwoServers {
  TwoServers() {
    config = ConfigJson(discovery.address(), List());
    config["ops"] = "127.0.0.1:0";
    proxy = std::make_unique<RunningProxy>(config);
  }
  std::vector<nlohmann::json> List() {
    return Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address()));
  }
  std::string Call(const std::string& line) { return CallOperators(proxy->operators, line); }
  // Whether a server gets one of the next requests.
  bool Gets(Backend& backend, int most = 100) {
    const std::size_t before = backend.seen.Get().requests.size();
    Client client(proxy->address);
    for (int i = 0; i < most && backend.seen.Get().requests.size() == before; ++i) client.Ask(Look());
    return backend.seen.Get().requests.size() > before;
  }
  bool GetsInTime(Backend& backend) {
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (!Gets(backend, 10) && std::chrono::steady_clock::now() < until) {
    }
    return std::chrono::steady_clock::now() < until;
  }

  Backend one{"one"}, two{"two"};
  FakeDiscovery discovery;
  nlohmann::json config;
  std::unique_ptr<RunningProxy> proxy;
};

TEST(Maintenance, NothingNewGoesToAServerUntilItIsPutBack) {
  TwoServers site;
  ASSERT_TRUE(site.GetsInTime(site.one));
  EXPECT_EQ(site.Call("DETACH s-1\n"), "ACK detached\n");
  EXPECT_TRUE(site.one.WaitForClosed(1)) << "what stood idle goes";
  EXPECT_FALSE(site.Gets(site.one));
  EXPECT_EQ(site.Call("DETACH s-1\n"), "ACK detached\n");
  EXPECT_EQ(site.Call("ATTACH s-1\n"), "ACK attached\n") << "a set, not a count";
  EXPECT_TRUE(site.GetsInTime(site.one));
  EXPECT_EQ(site.Call("ATTACH s-1\n"), "ACK attached\n");
}

TEST(Maintenance, HoldsWhateverDiscoverySays) {
  TwoServers site;
  EXPECT_TRUE(IsYes(site.Call("DETACH s-1\n")));
  ASSERT_TRUE(site.discovery.WaitForWatches(1));
  site.discovery.Push(ListJson(42, true, Members(MemberJson("s-2", site.two.address()))));
  site.discovery.Push(ListJson(43, true, site.List()));
  Backend third("three");
  site.discovery.Push(ListJson(44, false, Members(MemberJson("s-3", third.address()))));
  ASSERT_TRUE(site.GetsInTime(third)) << "the lists have come";
  EXPECT_FALSE(site.Gets(site.one));
  EXPECT_TRUE(IsYes(site.Call("ATTACH s-1\n")));
  EXPECT_TRUE(site.GetsInTime(site.one));
}

TEST(Maintenance, FinishesWhatTheServerHolds) {
  Watched<bool> go;
  Backend slow([&](Tcp::socket& s, const HttpRequest&) {
    go.WaitFor([](bool g) { return g; });
    SendRaw(s, OkAnswer("late"));
    return true;
  });
  FakeDiscovery discovery;
  auto config = ConfigJson(discovery.address(), Members(MemberJson("s-1", slow.address())));
  config["ops"] = "127.0.0.1:0";
  RunningProxy proxy(config);
  Client client(proxy.address);
  client.Send(Book());
  ASSERT_TRUE(slow.WaitForRequests(1));
  EXPECT_TRUE(IsYes(CallOperators(proxy.operators, "DETACH s-1\n")));
  go.Do([](bool& g) { g = true; });
  EXPECT_EQ(client.Read().body(), "late");
}

TEST(Maintenance, ServersThatNobodyHasAreOwedANo) {
  TwoServers site;
  EXPECT_TRUE(site.Call("DETACH s-9\n").starts_with("NAK OPS-2 "));
  EXPECT_TRUE(site.Call("ATTACH s-9\n").starts_with("NAK OPS-2 "));
}

}  // namespace
}  // namespace load_balancer::testing
