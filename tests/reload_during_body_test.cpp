// SPDX-License-Identifier: Apache-2.0
//
// Requests whose body is being received while the configuration is replaced.
#include <gtest/gtest.h>

#include <atomic>

#include "loopback.h"

namespace load_balancer::testing {
namespace {

struct ClassEntry {
  std::string name, effect;
};
using ClassList = std::vector<ClassEntry>;

nlohmann::json ClassesJson(const ClassList& classes) {
  auto list = nlohmann::json::array();
  for (const ClassEntry& entry : classes)
    list.push_back({{"name", entry.name},
                    {"effect", entry.effect},
                    {"group", "cell"},
                    {"windowMs", 60000.0},
                    {"goalTimeMs", 10000.0},
                    {"deadlineMs", 60000.0}});
  return list;
}

const ClassEntry kLook{"look", "read_like"}, kSpare{"spare", "read_like"}, kBook{"book", "non_idempotent"},
    kChange{"change", "idempotency_key"}, kStock{"stock", "read_like"};

// A proxy with two servers. The first attempts of a POST fail; an attempt after them succeeds.
class ReloadDuringBody : public ::testing::Test {
 protected:
  void Start(const ClassList& classes) {
    config_ = ConfigJson(discovery_.address(),
                         Members(MemberJson("s-1", one_.address()), MemberJson("s-2", two_.address())));
    config_["settings"]["classes"] = ClassesJson(classes);
    proxy_ = std::make_unique<RunningProxy>(config_);
  }
  void Reload(const ClassList& classes) {
    config_["settings"]["classes"] = ClassesJson(classes);
    ReloadConfig();
  }
  void ReloadConfig() {
    proxy_->Ask([this](proxy::Proxy& p) {
      p.Reconfigure(proxy::Reconfigure(config_.dump(), p.config()));
      return 0;
    });
  }
  // Sends the head of a POST. The interim response shows that the proxy has parsed the head.
  void SendHead(Client& client, const std::string& name, const std::string& framing) {
    client.Send("POST /" + name + " HTTP/1.1\r\nHost: x\r\nReq-Id: " + FreshRequestId() +
                "\r\nIdempotency-Key: 7e\r\n" + "Expect: 100-continue\r\n" + framing + "\r\n");
    ASSERT_EQ(client.Read().result_int(), 100u);
  }
  int runs() const { return runs_; }

  nlohmann::json config_;
  std::unique_ptr<RunningProxy> proxy_;
  int failures_ = 1;     // how many attempts fail
  std::string failure_;  // the response of a failed attempt; empty if the connection is closed

 private:
  bool Serve(Tcp::socket& socket, const HttpRequest& request) {
    const bool fails = request.method() == http::verb::post && ++runs_ <= failures_;
    if (fails && failure_.empty()) return false;
    SendRaw(socket, fails ? failure_ : OkAnswer("served"));
    return true;
  }

  std::atomic<int> runs_{0};
  FakeDiscovery discovery_;
  Backend one_{[this](Tcp::socket& s, const HttpRequest& r) { return Serve(s, r); }};
  Backend two_{[this](Tcp::socket& s, const HttpRequest& r) { return Serve(s, r); }};
};

struct BodyForm {
  const char* name;
  std::string framing, before, after;  // the framing header, and the body before and after the reload
};

void PrintTo(const BodyForm& form, std::ostream* out) { *out << form.name; }

std::vector<BodyForm> BodyForms() {
  const std::string large(100 * 1024, 'b');
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  return {{"Length", "Content-Length: 8\r\n", "half", "half"},
          {"Chunked", chunked, "4\r\nhalf\r\n", "4\r\nhalf\r\n0\r\n\r\n"},
          {"LargeLength", "Content-Length: 102400\r\n", "", large},
          {"LargeChunked", chunked, "4\r\nhalf\r\n", "19000\r\n" + large + "\r\n0\r\n\r\n"}};
}

struct NewClasses {
  const char* name;
  std::vector<ClassList> reloads;
};

void PrintTo(const NewClasses& classes, std::ostream* out) { *out << classes.name; }

// With the classes before, [look, spare, book, stock], the index of book belongs to a class that is safe to
// repeat, or to no class.
std::vector<NewClasses> NewClassLists() {
  const ClassList dropped_before{kLook, kBook, kStock};
  return {{"AClassBeforeItIsDropped", {dropped_before}},
          {"AClassBeforeItIsAdded", {{{"new", "read_like"}, kLook, kSpare, kBook, kStock}}},
          {"TheOrderIsReversed", {{kStock, kBook, kSpare, kLook}}},
          {"ItsEffectChanges", {{kLook, kSpare, {"book", "read_like"}, kStock}}},
          {"ItsEffectBecomesKeyed", {{kLook, kSpare, {"book", "idempotency_key"}, kStock}}},
          {"ItIsDropped", {{kLook, kSpare, kStock}}},
          {"ItsIndexIsPastTheEnd", {{kBook, kLook}}},
          {"ItMovesTwice", {dropped_before, {kBook, kStock, kLook}}},
          {"ItIsDroppedAndComesBackSafe", {{kLook}, {kLook, kSpare, {"book", "read_like"}}}}};
}

using Case = std::tuple<NewClasses, BodyForm>;

class PurchaseDuringReload : public ReloadDuringBody, public ::testing::WithParamInterface<Case> {};

// Guards against a purchase that runs twice because a reload during its body gave it the rules of another
// class.
TEST_P(PurchaseDuringReload, RunsOnceAndIsNotRefused) {
  const auto& [classes, body] = GetParam();
  Start({kLook, kSpare, kBook, kStock});
  Client client(proxy_->address);
  SendHead(client, "book", body.framing);
  client.Send(body.before);
  for (const ClassList& reload : classes.reloads) Reload(reload);
  client.Send(body.after);
  EXPECT_EQ(client.Read().result_int(), 502u) << "it may have run at the server that closed the connection";
  EXPECT_EQ(runs(), 1);
}

std::string CaseName(const ::testing::TestParamInfo<Case>& info) {
  return std::string(std::get<0>(info.param).name) + std::get<1>(info.param).name;
}
INSTANTIATE_TEST_SUITE_P(Cases, PurchaseDuringReload,
                         ::testing::Combine(::testing::ValuesIn(NewClassLists()),
                                            ::testing::ValuesIn(BodyForms())),
                         CaseName);

TEST_F(ReloadDuringBody, ARequestOfADroppedClassIsServed) {
  failures_ = 0;
  Start({kLook, kBook});
  Client client(proxy_->address);
  SendHead(client, "book", "Content-Length: 8\r\n");
  client.Send("half");
  Reload({kLook});
  client.Send("half");
  EXPECT_EQ(client.Read().result_int(), 200u);
  EXPECT_EQ(Client(proxy_->address).Ask(Book()).result_int(), 404u) << "new requests get the new classes";
}

// Guards against a keyed request that is not repeated because a reload during its body changed its class.
TEST_F(ReloadDuringBody, AKeyedRequestIsRepeatedThoughItsClassHasBecomeUnsafe) {
  Start({kLook, kChange});
  Client client(proxy_->address);
  SendHead(client, "change", "Content-Length: 8\r\n");
  client.Send("half");
  Reload({kLook, {"change", "non_idempotent"}});
  client.Send("half");
  EXPECT_EQ(client.Read().result_int(), 200u);
  EXPECT_EQ(runs(), 2);
}

TEST_F(ReloadDuringBody, ARequestKeepsItsNumberOfAttempts) {
  failures_ = 1;
  failure_ = kDeclined;
  Start({kLook, kBook});
  Client client(proxy_->address);
  SendHead(client, "book", "Content-Length: 8\r\n");
  client.Send("half");
  config_["settings"]["permissions"]["maxAttempts"] = 1;
  ReloadConfig();
  client.Send("half");
  EXPECT_EQ(client.Read().result_int(), 200u) << "the second of four attempts is served";
}

// Guards against a request that a reload during its body charges to the quota of another tenant.
TEST_F(ReloadDuringBody, ARequestIsChargedToItsOwnTenant) {
  failures_ = 0;
  const auto tenants = [](const std::vector<std::string>& names) {
    auto list = nlohmann::json::array();
    for (const std::string& name : names) list.push_back({{"name", name}, {"quotaPerS", 0.001}});
    return list;
  };
  Start({kLook, kBook});
  config_["settings"]["overShareWorth"] = 0.0;
  config_["settings"]["tenants"] = tenants({"acme", "bolt", "corp"});
  ReloadConfig();
  const auto look = [this](const std::string& owner) {
    return Client(proxy_->address).Ask(Look("Req-Owner: " + owner + "\r\n")).result_int();
  };
  EXPECT_EQ(look("corp"), 200u);
  EXPECT_EQ(look("corp"), 503u) << "the quota allows one request";
  Client client(proxy_->address);
  SendHead(client, "book", "Req-Owner: bolt\r\nContent-Length: 8\r\n");
  client.Send("half");
  config_["settings"]["tenants"] = tenants({"bolt", "corp"});  // corp gets the index that bolt had
  ReloadConfig();
  client.Send("half");
  EXPECT_EQ(client.Read().result_int(), 200u) << "bolt has not used its quota";
  EXPECT_EQ(look("bolt"), 503u) << "bolt has used its quota";
}

}  // namespace
}  // namespace load_balancer::testing
