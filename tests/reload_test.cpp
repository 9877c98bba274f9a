// SPDX-License-Identifier: Apache-2.0
//
// Settings that change while the proxy runs.
#include <gtest/gtest.h>

#include "loopback.h"

namespace load_balancer::testing {
namespace {

const Tcp::endpoint kNowhere(asio::ip::make_address("127.0.0.1"), 9);

std::string WhyNot(const std::string& text) {
  const proxy::Config current = ConfigOf(ConfigJson(kNowhere, {}));
  try {
    proxy::Reconfigure(text, current);
  } catch (const proxy::BadConfig& error) {
    return error.what();
  }
  return "";
}

TEST(Reload, AFileThatIsNotWholeAndRightIsTurnedDown) {
  const auto good = ConfigJson(kNowhere, {});
  EXPECT_EQ(WhyNot(good.dump()), "");
  EXPECT_NE(WhyNot(""), "");
  EXPECT_NE(WhyNot(good.dump().substr(0, good.dump().size() / 2)), "");
  for (const char* path : {"/settings", "/discovery", "/limits", "/limits/memory_mb", "/settings/classes",
                           "/settings/rules", "/settings/rules/coldFrom", "/settings/permissions/maxAttempts",
                           "/settings/classes/1/deadlineMs", "/settings/classes/0/goalTimeMs"}) {
    auto json = good;
    const nlohmann::json::json_pointer at(path);
    json[at.parent_pointer()].erase(at.back());
    EXPECT_NE(WhyNot(json.dump()), "") << "without " << path;
  }
  for (const char* path : {"/settings/classes/1/deadlineMs", "/settings/permissions/maxAttempts"}) {
    for (const nlohmann::json& value : std::vector<nlohmann::json>{
             0, -1, nullptr, "many", "500", true, nlohmann::json::array(), nlohmann::json::object()}) {
      auto json = good;
      json[nlohmann::json::json_pointer(path)] = value;
      EXPECT_NE(WhyNot(json.dump()), "") << path << " " << value;
    }
    // What the library itself would not write.
    auto json = good;
    json[nlohmann::json::json_pointer(path)] = "HERE";
    for (const char* value : {"NaN", "Infinity", "1e999"}) {
      std::string text = json.dump();
      text.replace(text.find("\"HERE\""), 6, value);
      EXPECT_NE(WhyNot(text), "") << path << " " << value;
    }
  }
}

TEST(Reload, TakesSettingsAndDiscoveryAndLeavesTheRest) {
  const proxy::Config current = ConfigOf(ConfigJson(kNowhere, {}));
  auto json = ConfigJson(Tcp::endpoint(kNowhere.address(), 10), {});
  json["name"] = "other";
  json["limits"]["sockets"] = 100;
  json["settings"]["classes"].erase(0);
  json["settings"]["permissions"]["maxAttempts"] = 2;
  const proxy::Config next = proxy::Reconfigure(json.dump(), current);
  EXPECT_EQ(next.discovery.port(), 10);
  EXPECT_EQ(next.settings.max_attempts, 2);
  EXPECT_EQ(next.classes, (std::vector<std::string>{"change", "book"}));
  EXPECT_EQ(next.name, current.name);
  EXPECT_EQ(next.sockets, current.sockets);
}

nlohmann::json Class(const char* name, const char* effect) {
  return {{"name", name},        {"effect", effect},      {"group", "cell"},
          {"windowMs", 10000.0}, {"goalTimeMs", 10000.0}, {"deadlineMs", 60000.0}};
}

TEST(Reload, NewClassesBindAtOnceAndOpenRequestsKeepTheirs) {
  Watched<bool> go;
  Watched<int> asked;
  const auto serve = [&](Tcp::socket& s, const HttpRequest& r) {
    if (r.target() == "/book") {
      asked.Do([](int& n) { ++n; });
      go.WaitFor([](bool g) { return g; });
      return false;  // it may have run
    }
    SendRaw(s, OkAnswer("served"));
    return true;
  };
  Backend one(serve), two(serve);
  FakeDiscovery discovery;
  const auto known = Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address()));
  auto config = ConfigJson(discovery.address(), known);
  RunningProxy proxy(config);
  Client open(proxy.address);
  open.Send(Book());
  ASSERT_TRUE(asked.WaitFor([](int n) { return n == 1; }));

  // book becomes safe to repeat, look goes, stock comes, in another order.
  config["settings"]["classes"] = {Class("stock", "read_like"), Class("book", "read_like"),
                                   Class("change", "idempotency_key")};
  proxy.Ask([&](proxy::Proxy& p) {
    p.Reconfigure(proxy::Reconfigure(config.dump(), p.config()));
    return 0;
  });
  Client client(proxy.address);
  const std::string stock =
      "GET /stock HTTP/1.1\r\nHost: service.internal\r\nReq-Id: 0c\r\nReq-Kind: stock\r\n\r\n";
  EXPECT_EQ(client.Ask(stock).body(), "served");
  EXPECT_EQ(client.Ask(Look()).result_int(), 404u) << "dropped";
  EXPECT_EQ(client.Ask(Book()).result_int(), 405u) << "safe now";

  go.Do([](bool& g) { g = true; });
  EXPECT_EQ(open.Read().result_int(), 502u);
  EXPECT_EQ(asked.Get(), 1) << "unsafe when it came: not sent again";
}

}  // namespace
}  // namespace load_balancer::testing
