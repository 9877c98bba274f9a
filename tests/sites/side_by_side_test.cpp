// SPDX-License-Identifier: Apache-2.0
//
// Nothing of one deployment is in force in another: not its names, not beside it in one program, and not
// after a change from one to the other.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <sstream>

#include "codec.h"
#include "config/settings_text.h"
#include "host.h"
#include "played_day.h"
#include "settings.h"
#include "site_config.h"

namespace load_balancer::testing {
namespace {

using nlohmann::json;

constexpr int kSteps = 6000;
constexpr std::uint64_t kSeed = 7;

Settings ParsedOf(const json& settings) { return adapter::ParseSettings(proxy::SettingsText(settings)); }

std::string ActionsOf(const Settings& settings) {
  PlayedDay day(settings, kSeed);
  day.Begin();
  day.Steps(kSteps);
  return day.actions();
}

// Where two long texts differ first: enough to read.
void ExpectSameActions(const std::string& one, const std::string& other) {
  ASSERT_GT(one.size(), 100000u) << "a day with little in it shows nothing";
  if (one == other) return;
  const std::size_t at =
      std::mismatch(one.begin(), one.end(), other.begin(), other.end()).first - one.begin();
  const std::size_t from = at > 200 ? at - 200 : 0;
  ADD_FAILURE() << "one: " << one.substr(from, 300) << "\nother: " << other.substr(from, 300);
}

TEST(Names, DecideNothingInTheModule) {
  for (const std::string& site : SiteNames()) {
    SCOPED_TRACE(site);
    const json settings = SettingsOf(SiteNamed(site));
    const json renamed = Renamed(settings);
    ASSERT_NE(proxy::SettingsText(settings), proxy::SettingsText(renamed));
    ExpectSameActions(ActionsOf(ParsedOf(settings)), ActionsOf(ParsedOf(renamed)));
  }
}

// What the adapter answers to the events of a day under these settings.
std::string RepliesTo(const std::vector<std::pair<TimePoint, Event>>& events, const json& settings) {
  std::ostringstream complaints;
  adapter::Host host(complaints);
  std::string replies =
      host.Answer({events.front().first, {{3, adapter::Create{kSeed, proxy::SettingsText(settings)}}}});
  for (const auto& [at, event] : events) replies += host.Answer({at, {{3, event}}});
  EXPECT_EQ(complaints.str(), "");
  return replies;
}

TEST(Names, DecideNothingInTheAdapter) {
  for (const std::string& site : SiteNames()) {
    SCOPED_TRACE(site);
    const json settings = SettingsOf(SiteNamed(site));
    PlayedDay day(ParsedOf(settings), kSeed);
    day.Begin();
    day.Steps(kSteps);
    const std::string replies = RepliesTo(day.events(), settings);
    ASSERT_GT(replies.size(), 50000u);
    EXPECT_TRUE(replies == RepliesTo(day.events(), Renamed(settings)));
  }
}

TEST(SideBySide, TwoModulesInOneProgramDecideAsEachAlone) {
  const Settings small = ParsedOf(SettingsOf(SiteNamed("small")));
  const Settings repeats = ParsedOf(SettingsOf(SiteNamed("repeats")));
  PlayedDay one(small, kSeed), other(repeats, kSeed);
  one.Begin(), other.Begin();
  for (int step = 0; step < kSteps; ++step) one.Steps(1), other.Steps(1);
  ExpectSameActions(one.actions(), ActionsOf(small));
  ExpectSameActions(other.actions(), ActionsOf(repeats));
  EXPECT_NE(one.actions(), other.actions());
}

// With nothing learnt yet a change of settings leaves nothing behind.
TEST(Change, AModuleThatHasTakenOtherSettingsDecidesAsOneThatBeganWithThem) {
  const Settings small = ParsedOf(SettingsOf(SiteNamed("small")));
  const Settings repeats = ParsedOf(SettingsOf(SiteNamed("repeats")));
  for (const auto& [before, after] : {std::pair(small, repeats), std::pair(repeats, small)}) {
    PlayedDay changed(before, kSeed);
    changed.Change(after);
    changed.Begin();
    changed.Steps(kSteps);
    ExpectSameActions(changed.actions(), ActionsOf(after));
  }
}

// What is learnt of the servers goes on; the rules of the settings before do not.
TEST(Change, AfterADayUnderOtherSettingsOnlyTheNewRulesHold) {
  Settings small = ParsedOf(SettingsOf(SiteNamed("small")));
  Settings repeats = ParsedOf(SettingsOf(SiteNamed("repeats")));
  small.max_retry_after = Duration(300), repeats.max_retry_after = Duration(1700);
  for (const auto& [before, after] : {std::pair(small, repeats), std::pair(repeats, small)}) {
    PlayedDay day(before, kSeed);
    day.Begin();
    day.Steps(kSteps);
    day.Change(after);
    day.Steps(kSteps);
    const PlayedDay::Seen& seen = day.seen();
    EXPECT_GT(seen.requests, 1000);
    EXPECT_GT(seen.served, seen.requests * 3 / 4);
    EXPECT_EQ(seen.most_attempts, after.max_attempts);
    EXPECT_GT(seen.repeats, 0);
    EXPECT_EQ(seen.wrong_repeats, 0);
    EXPECT_LE(seen.longest_advice, after.max_retry_after);
  }
}

// All that a configuration holds for what comes after a reload, in words.
std::string InForce(const proxy::Config& config) {
  std::ostringstream text;
  const Settings& s = config.settings;
  text << s.balancer_count << ' ' << s.balancer_index << ' ' << s.zone << ' ' << s.over_quota_priority_share
       << ' ' << s.cross_zone_price << ' ' << s.session_affinity << s.must_poll_for_list << ' '
       << s.max_attempts << ' ' << s.max_retry_after.count() << ' ' << s.tick.count() << ' '
       << s.max_poll_interval.count() << ' ' << s.slow_start_min_share << ' ' << s.slow_start_window.count()
       << ' ' << s.overload_multiple << ' ' << s.overload_window.count() << '\n';
  for (const ClassSettings& c : s.classes)
    text << static_cast<int>(c.idempotency) << static_cast<int>(c.idempotency_scope) << ' '
         << c.idempotency_window.count() << ' ' << c.latency_objective.count() << ' ' << c.deadline.count()
         << ' ' << c.priority_weight << ' ' << c.late_priority_share << '\n';
  for (const TenantSettings& tenant : s.tenants) text << tenant.quota_per_s << ' ';
  text << json(config.classes) << json(config.tenants) << json(config.zones) << json(config.kinds)
       << config.connect_timeout.count() << ' ' << config.conn_idle.count();
  return text.str();
}

TEST(Change, AReloadedConfigurationIsThatOfAFreshStart) {
  for (const auto& [before, after] : {std::pair("small", "repeats"), std::pair("repeats", "small")}) {
    const json next = ConfigWith(SettingsFor(before, after));
    const proxy::Config reloaded = proxy::Reconfigure(next.dump(), ConfigOf(ConfigOfSite(before)));
    EXPECT_EQ(InForce(reloaded), InForce(ConfigOf(next)));
    EXPECT_NE(InForce(reloaded), InForce(ConfigOf(ConfigOfSite(before))));
  }
}

// Servers that turn every attempt away, until told otherwise: how often a request is tried.
class Servers {
 public:
  Servers() {
    for (int i = 0; i < kCount; ++i) {
      servers_.push_back(std::make_unique<Backend>([this](Tcp::socket& socket, const HttpRequest&) {
        const bool declines = declines_.Get();
        if (declines) attempts_.Do([](int& n) { ++n; });
        SendRaw(socket, declines ? kDeclined : OkAnswer("served"));
        return true;
      }));
    }
  }
  std::vector<json> Known() const {
    std::vector<json> known;
    for (const auto& server : servers_)
      known.push_back(MemberJson("s-" + std::to_string(known.size()), server->address()));
    return known;
  }
  // The status that a request gets where all decline, and the attempts that were made for it.
  std::pair<unsigned, int> AskDeclined(const Tcp::endpoint& proxy, const std::string& request) {
    const int before = attempts_.Get();
    declines_.Do([](bool& d) { d = true; });
    const unsigned status = Client(proxy).Ask(request).result_int();
    declines_.Do([](bool& d) { d = false; });
    return {status, attempts_.Get() - before};
  }

 private:
  static constexpr int kCount = 6;
  Watched<bool> declines_;
  Watched<int> attempts_;
  std::vector<std::unique_ptr<Backend>> servers_;
};

// One of a site's classes and tenants, as clients name them.
struct Customer {
  std::string safe, unsafe, tenant;
  int max_attempts = 0;
};
const Customer kSmall{"stock-lookup", "bill-settle", "cobalt-tools", 3};
const Customer kRepeats{"ledger-balance", "ledger-append", "maple-school", 4};

// What a proxy of `own` answers: its own customer is served, the other one unknown.
void ExpectOnly(const Customer& own, const Customer& other, const Tcp::endpoint& proxy, Servers& servers) {
  const auto status = [&](const std::string& request) { return Client(proxy).Ask(request).result_int(); };
  EXPECT_EQ(status(RequestOf(own.safe, own.tenant, true)), 200u);
  EXPECT_EQ(status(RequestOf(own.unsafe, own.tenant, false)), 200u);
  EXPECT_EQ(status(RequestOf(own.unsafe, own.tenant, true)), 405u);
  EXPECT_EQ(status(RequestOf(other.safe, own.tenant, true)), 404u);
  EXPECT_EQ(status(RequestOf(other.unsafe, own.tenant, false)), 404u);
  EXPECT_EQ(status(RequestOf(own.safe, other.tenant, true)), 400u);
  EXPECT_EQ(servers.AskDeclined(proxy, RequestOf(own.safe, own.tenant, true)),
            std::pair(503u, own.max_attempts));
}

TEST(SideBySide, TwoProxiesInOneProgramKnowTheirOwnCustomersAlone) {
  Servers servers;
  FakeDiscovery discovery;
  RunningProxy small(ConfigWith(SettingsOf(SiteNamed("small")), discovery.address(), servers.Known()));
  RunningProxy repeats(ConfigWith(SettingsOf(SiteNamed("repeats")), discovery.address(), servers.Known()));
  ExpectOnly(kSmall, kRepeats, small.address, servers);
  ExpectOnly(kRepeats, kSmall, repeats.address, servers);
  ExpectOnly(kSmall, kRepeats, small.address, servers);
}

void Reload(RunningProxy& proxy, const json& config) {
  proxy.Ask([&](proxy::Proxy& p) {
    p.Reconfigure(proxy::Reconfigure(config.dump(), p.config()));
    return 0;
  });
}

TEST(Change, AProxyThatWasReloadedKnowsTheNewCustomersAlone) {
  Servers servers;
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigWith(SettingsOf(SiteNamed("small")), discovery.address(), servers.Known()));
  ExpectOnly(kSmall, kRepeats, proxy.address, servers);
  Reload(proxy, ConfigWith(SettingsFor("small", "repeats"), discovery.address()));
  ExpectOnly(kRepeats, kSmall, proxy.address, servers);
  Reload(proxy, ConfigWith(SettingsOf(SiteNamed("small")), discovery.address()));
  ExpectOnly(kSmall, kRepeats, proxy.address, servers);
}

// The servers of the new settings may close what has stood idle for longer: nothing is written to it any
// more.
TEST(Change, AShorterIdleTimeHoldsForConnectionsThatAreIdleAlready) {
  Backend server;
  FakeDiscovery discovery;
  json config = ConfigWith(SettingsOf(SiteNamed("small")), discovery.address(),
                           Members(MemberJson("s-1", server.address())));
  config["settings"]["permissions"]["connIdleMs"] = 600000.0;
  RunningProxy proxy(config);
  EXPECT_EQ(Client(proxy.address).Ask(RequestOf(kSmall.safe, kSmall.tenant, true)).result_int(), 200u);
  config["settings"]["permissions"]["connIdleMs"] = 50.0;
  Reload(proxy, config);
  EXPECT_TRUE(server.WaitForClosed(1));
}

// A server whose connections never come up: what its queue holds is never accepted.
class Unreachable {
 public:
  Unreachable() : acceptor_(io_) {
    acceptor_.open(kAnyPort.protocol());
    acceptor_.bind(kAnyPort);
    acceptor_.listen(0);
    address = acceptor_.local_endpoint();
    for (int i = 0; i < kFill; ++i) {
      fill_.emplace_back(io_).open(address.protocol());
      fill_.back().non_blocking(true);
      // Not Asio's connect: it waits for the connection without a bound, also on a socket that does not
      // block.
      ::connect(fill_.back().native_handle(), address.data(), address.size());
    }
  }

  Tcp::endpoint address;

 private:
  static constexpr int kFill = 4;
  asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::vector<Tcp::socket> fill_;
};

TEST(Change, TheTimeToConnectIsThatOfTheNewSettings) {
  Unreachable server;
  FakeDiscovery discovery;
  json config = ConfigWith(SettingsOf(SiteNamed("small")), discovery.address(),
                           Members(MemberJson("s-1", server.address)));
  config["settings"]["permissions"]["maxAttempts"] = 1;
  config["settings"]["permissions"]["connectTimeoutMs"] = 600000.0;
  for (json& c : config["settings"]["classes"]) c["deadlineMs"] = c["goalTimeMs"] = 600000.0;
  RunningProxy proxy(config);
  config["settings"]["permissions"]["connectTimeoutMs"] = 50.0;
  Reload(proxy, config);
  Client client(proxy.address);
  client.Send(RequestOf(kSmall.safe, kSmall.tenant, true));
  auto answer = std::async(std::launch::async, [&] { return client.Read().result_int(); });
  const bool in_time = answer.wait_for(kGiveUp) == std::future_status::ready;
  if (!in_time) client.socket.shutdown(Tcp::socket::shutdown_both);
  EXPECT_TRUE(in_time);
  EXPECT_EQ(answer.get(), in_time ? 503u : 0u);
}

}  // namespace
}  // namespace load_balancer::testing
