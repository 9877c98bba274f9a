// SPDX-License-Identifier: Apache-2.0
//
// A bad configuration is refused whole, one line per fault: when the file is checked, at a start and at
// SIGHUP, where the process goes on by the one in force.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>

#include "fleet/harness.h"
#include "leased_port.h"
#include "program_paths.h"
#include "site_config.h"

namespace load_balancer::testing {
namespace {

using fleet::Folder;
using fleet::Process;
using nlohmann::json;
using Faults = std::vector<std::string>;
namespace fs = std::filesystem;

// ---- the faults of a text, by each way in --------------------------------------------------------------
template <typename Take>
Faults FaultsOf(Take take) {
  try {
    take();
  } catch (const proxy::BadConfig& error) {
    return error.faults();
  }
  return {};
}

Faults AtStart(const std::string& text) {
  return FaultsOf([&] { proxy::ParseConfig(text, [](const char*) -> const char* { return nullptr; }); });
}

Faults AtReload(const std::string& text, const json& in_force) {
  const proxy::Config current = ConfigOf(in_force);
  return FaultsOf([&] { proxy::Reconfigure(text, current); });
}

Faults Checked(const std::string& text) {
  const Folder folder;
  const std::string path = folder.path / "config.json";
  std::ofstream(path) << text;
  return proxy::CheckConfig([&](const char* name) -> const char* {
    return std::string_view(name) == "ROUTER_CONFIG" ? path.c_str() : nullptr;
  });
}

// ---- single faults -------------------------------------------------------------------------------------
struct Case {
  std::string path;  // a JSON pointer into the configuration
  json value;        // put there
  std::string line;  // the one fault
};

json Good() {
  json config = ConfigOfSite("repeats");
  config["settings"]["classes"][0]["effect"] = "idempotency_key";
  return config;
}

std::string With(const Case& fault) {
  json config = Good();
  config[json::json_pointer(fault.path)] = fault.value;
  return config.dump();
}

void ExpectTheOneLine(const std::vector<Case>& cases) {
  for (const Case& fault : cases) {
    SCOPED_TRACE(fault.path + " " + fault.value.dump());
    const std::string text = With(fault);
    EXPECT_EQ(AtStart(text), Faults{fault.line});
    EXPECT_EQ(Checked(text), Faults{fault.line});
    EXPECT_EQ(AtReload(text, Good()), Faults{fault.line});
  }
}

TEST(Refusal, TheGoodOneIsTaken) {
  const std::string text = Good().dump();
  EXPECT_EQ(AtStart(text), Faults{});
  EXPECT_EQ(Checked(text), Faults{});
  EXPECT_EQ(AtReload(text, Good()), Faults{});
}

TEST(Refusal, FiguresOutOfRangeOrOfAnotherType) {
  std::vector<Case> cases;
  const auto number = [&cases](const std::string& key, const json& value, const std::string& what) {
    std::string dotted = key;
    std::replace(dotted.begin(), dotted.end(), '/', '.');
    cases.push_back({"/settings/" + key, value, "setting " + what + ": " + dotted});
  };
  for (const char* key : {"balancers", "me", "zone", "overShareWorth", "periodMs", "deductions/crossZone",
                          "rules/coldFrom", "rules/warmUpMs", "rules/fallMultiple", "rules/overloadForMs",
                          "rules/mustAskInMs", "classes/0/windowMs", "classes/1/worth", "classes/2/lateWorth",
                          "tenants/3/quotaPerS", "permissions/maxRetryAfterMs"}) {
    for (const json& word : {json("7"), json("many"), json(true)}) number(key, word, "is no number");
    number(key, -1, "out of range");
    number(key, -1e300, "out of range");
    number(key, 1e300, std::string_view(key) == "zone" ? "is the index of no zone" : "out of range");
  }
  for (const char* key : {"classes/1/goalTimeMs", "classes/2/deadlineMs", "permissions/maxAttempts",
                          "permissions/connectTimeoutMs", "permissions/connIdleMs"}) {
    for (const json& value : {json(0), json(-1), json(-0.0), json("7"), json(false), json::array()})
      if (!value.is_array()) number(key, value, "is no number above 0");
    number(key, 1e300, std::string_view(key) == "zone" ? "is the index of no zone" : "out of range");
  }
  for (const char* key : {"balancers", "me", "zone", "permissions/maxAttempts"})
    number(key, 1.5, "not a whole number");
  number("balancers", 0, "out of range");
  number("zone", 3, "is the index of no zone");
  number("rules/coldFrom", 1.01, "out of range");
  number("overShareWorth", 1.01, "out of range");
  number("permissions/maxAttempts", 256, "out of range");
  ExpectTheOneLine(cases);
}

TEST(Refusal, WordsOfNoMeaningAndFlagsThatAreNone) {
  ExpectTheOneLine({
      {"/settings/classes/0/effect", "odd", "setting of unknown meaning: classes.0.effect"},
      {"/settings/classes/0/effect", 3, "setting of unknown meaning: classes.0.effect"},
      {"/settings/classes/0/group", "planet", "setting of unknown meaning: classes.0.group"},
      {"/settings/registryMode", "pull", "setting of unknown meaning: registryMode"},
      {"/settings/registryMode", 1, "setting of unknown meaning: registryMode"},
      {"/settings/permissions/retryAfter", "true",
       "setting is neither true nor false: permissions.retryAfter"},
      {"/settings/specifics/warmKeys", 1, "setting is neither true nor false: specifics.warmKeys"},
  });
}

TEST(Refusal, NamesThatAreNoneOrTwice) {
  ExpectTheOneLine({
      {"/settings/classes/1/name", "ledger-append", "setting is the name of another, too: classes.1.name"},
      {"/settings/classes/1/name", "", "setting is no name: classes.1.name"},
      {"/settings/classes/1/name", 5, "setting is no name: classes.1.name"},
      {"/settings/tenants/2/name", "birch-supply", "setting is the name of another, too: tenants.2.name"},
      {"/settings/tenants/2/name", "", "setting is no name: tenants.2.name"},
      {"/settings/zones/1", "hill-north", "setting is the name of another, too: zones.1"},
      {"/settings/zones/1", 4, "setting is no name: zones.1"},
      {"/settings/kinds/1", "wide-c2", "setting is the name of another, too: kinds.1"},
  });
}

TEST(Refusal, ListsAndObjectsOfAnotherKind) {
  ExpectTheOneLine({
      {"/settings", 5, "settings is no object"},
      {"/settings", json::array({1}), "settings is no object"},
      {"/settings/classes", json::array(), "setting is an empty list: classes"},
      {"/settings/classes", 4, "setting is no list of objects: classes"},
      {"/settings/classes", {{"count", 1}}, "setting is no list of objects: classes"},
      {"/settings/classes", {"view", "book"}, "setting is no list of objects: classes"},
      {"/settings/classes/1", 7, "setting is no list of objects: classes"},
      {"/settings/tenants", {"birch", "cedar"}, "setting is no list of objects: tenants"},
      {"/settings/zones", "hill-north", "setting is no list of names: zones"},
      {"/settings/permissions", "all", "setting is no object: permissions"},
      {"/settings/rules", json::array(), "setting is no object: rules"},
      {"/limits", 7, "limits is no object"},
  });
}

TEST(Refusal, AddressesThatAreNone) {
  for (const char* key : {"listen", "discovery", "ops"}) {
    json in_force = Good();
    in_force["ops"] = "127.0.0.1:9";
    for (const char* none : {"", "here", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:65536",
                             "127.0.0.1:-1", ":80", "300.0.0.1:80", "name:80", "[::1:80", "a\nb:1"}) {
      json config = in_force;
      config[key] = none;
      const Faults expected{std::string(key) + " is no host:port: " + json(none).dump()};
      EXPECT_EQ(AtStart(config.dump()), expected);
      EXPECT_EQ(Checked(config.dump()), expected);
      EXPECT_EQ(AtReload(config.dump(), in_force), expected);
    }
    json config = in_force;
    config[key] = 5;
    EXPECT_EQ(AtStart(config.dump()), Faults{std::string(key) + " is no string"});
    EXPECT_EQ(AtReload(config.dump(), in_force), Faults{std::string(key) + " is no string"});
  }
}

TEST(Refusal, LimitsThatNobodyCanServeWith) {
  const std::string sockets = "limits.sockets is out of range 64.0 to 1048576.0";
  const std::string memory = "limits.memory_mb is out of range 1.0 to 1000000.0";
  const std::string cores = "limits.cores is out of range 0.001 to 1000000.0";
  ExpectTheOneLine({
      {"/limits/sockets", 0, sockets},
      {"/limits/sockets", -5, sockets},
      {"/limits/sockets", 63, sockets},
      {"/limits/sockets", 1e300, sockets},
      {"/limits/sockets", 2147483648.0, sockets},
      {"/limits/sockets", 100.5, "limits.sockets is no whole number"},
      {"/limits/sockets", "many", "limits.sockets is no number"},
      {"/limits/memory_mb", 0, memory},
      {"/limits/memory_mb", -1, memory},
      {"/limits/memory_mb", 1e300, memory},
      {"/limits/memory_mb", true, "limits.memory_mb is no number"},
      {"/limits/cores", 0, cores},
      {"/limits/cores", -1, cores},
      {"/limits/cores", "one", "limits.cores is no number"},
  });
}

TEST(Refusal, SeedsAndListsThatAreGarbled) {
  ExpectTheOneLine({
      {"/seed", "xyz", "seed is no hexadecimal number"},
      {"/seed", "", "seed is no hexadecimal number"},
      {"/seed", -4, "seed is no hexadecimal number"},
      {"/seed", "11112222333344445", "seed is no hexadecimal number"},
      {"/name", 4, "name is no string"},
  });
  json config = Good();
  for (const json& garbled : std::vector<json>{
           7,
           "none",
           json::array(),
           json::object(),
           {{"revision", 1}, {"members", 3}},
           ListJson(1, true, Members(json{{"id", ""}, {"phase", "in_service"}})),
           ListJson(1, true, Members(json{{"id", "s-1"}, {"phase", "asleep"}})),
           ListJson(1, true, Members(json{{"id", "s-1"}, {"phase", "in_service"}, {"host_port", "here"}}))}) {
    config["known"] = garbled;
    for (const Faults& faults :
         {AtStart(config.dump()), Checked(config.dump()), AtReload(config.dump(), Good())}) {
      ASSERT_EQ(faults.size(), 1u) << garbled;
      EXPECT_TRUE(faults[0].starts_with("known is no list: ")) << faults[0];
    }
  }
}

TEST(Refusal, KeysThatAreMissingAreNamedOnceEach) {
  for (const char* path : {"/listen",
                           "/discovery",
                           "/seed",
                           "/settings",
                           "/settings/balancers",
                           "/settings/zone",
                           "/settings/classes",
                           "/settings/permissions/maxAttempts",
                           "/settings/permissions/connectTimeoutMs",
                           "/settings/permissions/connIdleMs",
                           "/settings/rules/coldFrom",
                           "/settings/rules/mustAskInMs",
                           "/settings/rules/warmUpMs",
                           "/settings/rules/fallMultiple",
                           "/settings/rules/overloadForMs",
                           "/settings/classes/1/name",
                           "/settings/classes/1/effect",
                           "/settings/classes/2/goalTimeMs",
                           "/settings/classes/2/deadlineMs",
                           "/settings/classes/0/windowMs",
                           "/settings/classes/0/group"}) {
    json config = Good();
    const json::json_pointer at(path);
    config[at.parent_pointer()].erase(at.back());
    for (const Faults& faults :
         {AtStart(config.dump()), Checked(config.dump()), AtReload(config.dump(), Good())}) {
      ASSERT_EQ(faults.size(), 1u) << path << ": " << json(faults);
      EXPECT_NE(faults[0].find(at.back()), std::string::npos) << faults[0];
    }
  }
}

TEST(Refusal, TextThatIsNoJsonObjectIsToldWhere) {
  const std::string good = Good().dump(1);
  const std::map<std::string, std::string> texts{
      {"", "the configuration is no JSON object: it is empty"},
      {"{", "the configuration is no JSON object: it breaks off or is garbled at line 1, column 2"},
      {"{\"name\":\"n1\",\n \"seed\" 5}",
       "the configuration is no JSON object: it breaks off or is garbled at line 2, column 9"},
      {"{\"a\": NaN}",
       "the configuration is no JSON object: it breaks off or is garbled at line 1, column 7"},
      {"{\"a\": 1e999}", "the configuration is no JSON object: a number in it is too large"},
      {"{\"a\": \"\xff\"}",
       "the configuration is no JSON object: it breaks off or is garbled at line 1, column 8"},
      {"[1]", "the configuration is no JSON object"},
      {"null", "the configuration is no JSON object"},
  };
  for (const auto& [text, line] : texts) {
    EXPECT_EQ(AtStart(text), Faults{line}) << text;
    EXPECT_EQ(Checked(text), Faults{line}) << text;
    EXPECT_EQ(AtReload(text, Good()), Faults{line}) << text;
  }
  for (std::size_t length = 0; length < good.size(); ++length)
    EXPECT_EQ(AtReload(good.substr(0, length), Good()).size(), 1u) << length;
}

// Readers follow objects within objects by recursion: depth is no way to overrun the stack.
TEST(Refusal, TextThatIsNestedTooDeep) {
  const std::string open(200000, '['), close(200000, ']');
  std::string text = Good().dump();
  text.replace(text.size() - 1, 1, ",\"deep\":" + open + close + "}");
  const Faults expected{"the configuration is nested too deep"};
  EXPECT_EQ(AtStart(text), expected);
  EXPECT_EQ(Checked(text), expected);
  EXPECT_EQ(AtReload(text, Good()), expected);
}

// ---- several faults ------------------------------------------------------------------------------------
json WithFiveFaults() {
  json config = Good();
  config["listen"] = "here";
  config["limits"]["sockets"] = 3;
  config["settings"]["classes"][1]["deadlineMs"] = "soon";
  config["settings"]["rules"].erase("coldFrom");
  config["settings"]["registryMode"] = "pull";
  return config;
}

const Faults kFiveFaults{"listen is no host:port: \"here\"",
                         "limits.sockets is out of range 64.0 to 1048576.0",
                         "setting is no number above 0: classes.1.deadlineMs",
                         "setting of unknown meaning: registryMode", "setting absent: rules.coldFrom"};

TEST(Refusal, EachOfSeveralFaultsHasALine) {
  const std::string text = WithFiveFaults().dump();
  EXPECT_EQ(AtStart(text), kFiveFaults);
  EXPECT_EQ(Checked(text), kFiveFaults);
  EXPECT_EQ(AtReload(text, Good()), kFiveFaults);
}

TEST(Refusal, AFaultThatHoldsALineEndStaysOneLine) {
  json config = Good();
  config["a\nb"] = 1;
  config["settings"]["classes"][0]["name"] = "";
  for (const std::string& fault : Checked(config.dump())) EXPECT_EQ(fault.find('\n'), std::string::npos);
  EXPECT_EQ(Checked(config.dump()).size(), 2u);
}

TEST(Refusal, OfAGreatManyFaultsOnlyTheFirstAreTold) {
  json config = Good();
  config["settings"]["classes"] = json::array();
  for (int i = 0; i < 20000; ++i) config["settings"]["classes"].push_back(json::object());
  EXPECT_GE(AtStart(config.dump()).size(), 100u);
  EXPECT_LE(AtStart(config.dump()).size(), 200u);
}

TEST(Refusal, WhatNeedsANewStartIsNamedOneByOne) {
  json config = Good();
  config["settings"]["zones"] = {"hill-north", "lake-mid", "elsewhere"};
  config["settings"]["kinds"] = {"wide-c2"};
  config["settings"]["registryMode"] = "push";
  EXPECT_EQ(AtStart(config.dump()), Faults{});
  EXPECT_EQ(AtReload(config.dump(), Good()),
            (Faults{"settings.zones needs a new start", "settings.kinds needs a new start",
                    "settings.registryMode needs a new start"}));
}

// ---- all sections, all kinds of nonsense ---------------------------------------------------------------
json Full() {
  json config = Good();
  config["ops"] = "127.0.0.1:9";
  config["known"] = ListJson(3, true, Members(MemberJson("s-1", Tcp::endpoint(kAnyPort.address(), 9))));
  config["fleet"] = {{"bind", "127.0.0.1:7946"},
                     {"seeds", {"127.0.0.1:7947"}},
                     {"probe_interval_ms", 200},
                     {"lease_term_ms", 1000}};
  config["state"] = {{"dir", "/tmp"}, {"snapshot_interval_ms", 1000}, {"max_age_ms", 30000}};
  const auto gateway = [](int port) {
    return json{{"pool", "127.0.0.1:" + std::to_string(port)},
                {"clients", "127.0.0.1:" + std::to_string(port + 1)}};
  };
  config["listen"] = "127.0.0.1:8001";
  config["sites"] = {
      {"site", "north"},
      {"bind", "127.0.0.1:8000"},
      {"gateways",
       {{"north", {{"n1", gateway(8000)}}}, {"south", {{"m1", gateway(8010)}, {"m2", gateway(8020)}}}}},
      {"voters", {"127.0.0.1:8000", "127.0.0.1:8010", "127.0.0.1:8020"}}};
  config["spill"] = {{"most_part", 0.5}};
  config["quota"] = {
      {"revision", 2},
      {"partners", {{"birch-supply", {{"per_s", 5}, {"burst", 50}, {"floors", {{"north", 1}}}}}}}};
  return config;
}

TEST(Refusal, WhateverAValueIsTheFileIsTakenOrItsFaultsAreTold) {
  const json full = Full();
  ASSERT_EQ(AtStart(full.dump()), Faults{});
  const std::vector<json> values{nullptr,
                                 true,
                                 0,
                                 -1,
                                 0.5,
                                 1e300,
                                 -1e300,
                                 18446744073709551615ull,
                                 "",
                                 "x\ny",
                                 "7",
                                 json::array(),
                                 json::object(),
                                 json::array({json::array()})};
  const proxy::Config current = ConfigOf(full);
  const json leaves = full.flatten();
  std::set<std::string> places;  // those of leaves, and of all that holds them
  for (const auto& [leaf, value] : leaves.items())
    for (json::json_pointer at(leaf); !at.empty(); at = at.parent_pointer()) places.insert(at.to_string());
  int refused = 0;
  for (const std::string& place : places) {
    for (const json& value : values) {
      json config = full;
      config[json::json_pointer(place)] = value;
      const std::string text = config.dump();
      for (const Faults& faults : {AtStart(text), FaultsOf([&] { proxy::Reconfigure(text, current); })}) {
        refused += !faults.empty();
        for (const std::string& fault : faults) {
          EXPECT_FALSE(fault.empty());
          EXPECT_EQ(fault.find('\n'), std::string::npos) << fault;
          const bool of_library = fault.find("json.exception") != std::string::npos;
          EXPECT_FALSE(of_library && !place.starts_with("/known")) << place << ' ' << value << ' ' << fault;
        }
      }
    }
  }
  EXPECT_GT(refused, 1000);
}

// ---- processes -----------------------------------------------------------------------------------------
constexpr const char* kStartAdvice = "; correct the file and try it with --check-config";
constexpr const char* kReloadAdvice = "; correct the file, try it with --check-config and send SIGHUP again";

struct ConfigFolder {
  void Write(const std::string& text) const { std::ofstream(path) << text; }
  void Clear() const { fs::remove_all(path); }

  const Folder folder;
  const std::string path = folder.path / "config.json";
};

using Env = std::map<std::string, std::string>;

// Starts the program on what lies under the path: it ends with 1 and these faults, a line each.
void ExpectNoStart(const ConfigFolder& file, const Faults& faults) {
  Process process(load_balancer::testing::kProxyPath, {}, Env{{"ROUTER_CONFIG", file.path}});
  const std::vector<std::string> lines = process.LinesAtEnd();
  EXPECT_EQ(process.Reap(), 1);
  ASSERT_EQ(lines.size(), faults.size()) << json(lines);
  for (std::size_t i = 0; i < lines.size(); ++i) {
    EXPECT_NE(lines[i].find(" error "), std::string::npos) << lines[i];
    EXPECT_NE(
        lines[i].find("CONFIG-3 the configuration is not fit to start with: " + faults[i] + kStartAdvice),
        std::string::npos)
        << lines[i];
  }
  Process checked(load_balancer::testing::kProxyPath, {"--check-config"}, Env{{"ROUTER_CONFIG", file.path}});
  EXPECT_EQ(checked.LinesAtEnd(), faults);
  EXPECT_EQ(checked.Reap(), 1);
}

// What is put in place of the file, with the faults that are told.
struct BadFile {
  std::function<void(const ConfigFolder&)> put;
  Faults faults;
};

std::vector<BadFile> BadFiles(const std::string& path) {
  const auto text = [](const std::string& text) {
    return [text](const ConfigFolder& file) { file.Write(text); };
  };
  const std::string cannot = "cannot read ROUTER_CONFIG: " + path + ": ";
  return {
      {text(WithFiveFaults().dump()), kFiveFaults},
      {text(""), {"the configuration is no JSON object: it is empty"}},
      {text("{\"settings\":"),
       {"the configuration is no JSON object: it breaks off or is garbled at line 1, column 13"}},
      {text(With({"/settings/classes/1/name", "ledger-append", ""})),
       {"setting is the name of another, too: classes.1.name"}},
      {text(With({"/settings/permissions/connIdleMs", 0, ""})),
       {"setting is no number above 0: permissions.connIdleMs"}},
      {[](const ConfigFolder&) {}, {cannot + "No such file or directory"}},
      {[](const ConfigFolder& file) { fs::create_directory(file.path); }, {cannot + "no regular file"}},
      {[](const ConfigFolder& file) { ASSERT_EQ(::mkfifo(file.path.c_str(), 0600), 0); },
       {cannot + "no regular file"}},
      {[](const ConfigFolder& file) { fs::create_symlink(file.path, file.path); },
       {cannot + "Too many levels of symbolic links"}},
  };
}

TEST(RefusalAtStart, EachFaultIsALineWithWhatToDoAndTheExitIsOne) {
  const ConfigFolder file;
  for (const BadFile& bad : BadFiles(file.path)) {
    SCOPED_TRACE(bad.faults.front());
    file.Clear();
    bad.put(file);
    ExpectNoStart(file, bad.faults);
  }
}

bool WaitUntilServing(const Tcp::endpoint& address) {
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (std::chrono::steady_clock::now() < until) {
    try {
      if (Client(address).Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int() == 200u) return true;
    } catch (const std::exception&) {
    }
    std::this_thread::yield();
  }
  return false;
}

TEST(RefusalAtSighup, TheOldSettingsGoOnAndTheNextGoodFileIsTaken) {
  Backend server;
  FakeDiscovery discovery;
  const LeasedPort port;
  const auto address = port.tcp();
  json config = Good();
  config["discovery"] = "127.0.0.1:" + std::to_string(discovery.address().port());
  config["known"] = ListJson(41, true, Members(MemberJson("s-1", server.address())));
  const ConfigFolder file;
  file.Write(config.dump());
  Process process(
      load_balancer::testing::kProxyPath, {},
      Env{{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(port.tcp().port())}});
  ASSERT_TRUE(WaitUntilServing(address));
  const std::string old_class = RequestOf("ledger-history", "cedar-clinic", true);
  const std::string new_class = RequestOf("ledger-report", "cedar-clinic", true);
  for (const BadFile& bad : BadFiles(file.path)) {
    SCOPED_TRACE(bad.faults.front());
    file.Clear();
    bad.put(file);
    std::size_t from = process.LineCount();
    process.Signal(SIGHUP);
    for (const std::string& fault : bad.faults) {
      const auto line = process.WaitFor(fault, from);
      ASSERT_TRUE(line) << fault;
      EXPECT_NE(
          line->second.find("CONFIG-1 the new configuration is not fit and changes nothing: not reloaded: " +
                            fault + kReloadAdvice),
          std::string::npos)
          << line->second;
      from = line->first + 1;
    }
    EXPECT_EQ(Client(address).Ask(old_class).result_int(), 200u);
    EXPECT_EQ(Client(address).Ask(new_class).result_int(), 404u);
  }
  file.Clear();
  config["settings"]["classes"][2]["name"] = "ledger-report";
  file.Write(config.dump());
  const std::size_t from = process.LineCount();
  process.Signal(SIGHUP);
  ASSERT_TRUE(process.WaitFor("config: reloaded", from));
  EXPECT_EQ(Client(address).Ask(old_class).result_int(), 404u);
  EXPECT_EQ(Client(address).Ask(new_class).result_int(), 200u);
  process.Signal(SIGTERM);
  EXPECT_EQ(process.Reap(), 0);
}

// What the environment said at the start needs not be in a later file: where to listen, where to keep state.
TEST(RefusalAtSighup, WhatTheEnvironmentGaveAtTheStartIsNotMissing) {
  Backend server;
  FakeDiscovery discovery;
  const LeasedPort port;
  const Folder state;
  json config = Good();
  config.erase("listen");
  config["state"] = {{"snapshot_interval_ms", 1000}};
  config["discovery"] = "127.0.0.1:" + std::to_string(discovery.address().port());
  config["known"] = ListJson(41, true, Members(MemberJson("s-1", server.address())));
  const ConfigFolder file;
  file.Write(config.dump());
  Process process(load_balancer::testing::kProxyPath, {},
                  Env{{"ROUTER_CONFIG", file.path},
                      {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(port.tcp().port())},
                      {"TMPDIR", state.path}});
  ASSERT_TRUE(WaitUntilServing(port.tcp()));
  const std::size_t from = process.LineCount();
  process.Signal(SIGHUP);
  const auto line = process.WaitFor("config: ", from);
  ASSERT_TRUE(line);
  EXPECT_NE(line->second.find("config: reloaded"), std::string::npos) << line->second;
  process.Signal(SIGTERM);
  EXPECT_EQ(process.Reap(), 0);
}

// More than the system allows is no fault: the process makes do with what it gets.
TEST(RefusalAtStart, ALimitOverWhatTheSystemAllowsIsNone) {
  Backend server;
  FakeDiscovery discovery;
  const LeasedPort port;
  json config = Good();
  config["limits"]["sockets"] = 1048576;
  config["discovery"] = "127.0.0.1:" + std::to_string(discovery.address().port());
  config["known"] = ListJson(41, true, Members(MemberJson("s-1", server.address())));
  const ConfigFolder file;
  file.Write(config.dump());
  Process process(
      "/bin/sh", {"-c", "ulimit -n 100 && exec \"$0\"", load_balancer::testing::kProxyPath},
      Env{{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(port.tcp().port())}});
  ASSERT_TRUE(WaitUntilServing(port.tcp()));
  process.Signal(SIGTERM);
  EXPECT_EQ(process.Reap(), 0);
}

}  // namespace
}  // namespace load_balancer::testing
