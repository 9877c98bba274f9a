// SPDX-License-Identifier: Apache-2.0
//
// The fleet's sections of the configuration, and the check of a file whole.
#include "config.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "loopback.h"
#include "program_paths.h"

namespace load_balancer::testing {
namespace {

using nlohmann::json;

json Good() { return ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), {}); }

json WithFleet() {
  json config = Good();
  config["fleet"] = {{"name", "muc"},
                     {"bind", "127.0.0.1:7946"},
                     {"seeds", {"127.0.0.1:7947", "127.0.0.2:7946"}},
                     {"probe_interval_ms", 200},
                     {"suspicion_multiplier", 5},
                     {"indirect_probes", 2}};
  config["state"] = {
      {"dir", "/var/lib/load_balancer_proxy"}, {"snapshot_interval_ms", 1000}, {"max_age_ms", 30000}};
  return config;
}

// The faults that --check-config would print for `text`.
std::vector<std::string> Faults(const std::string& text) {
  const std::string path = std::filesystem::temp_directory_path() / ("check-" + std::to_string(getpid()));
  std::ofstream(path) << text;
  const auto faults = proxy::CheckConfig([&](const char* name) -> const char* {
    return std::string_view(name) == "ROUTER_CONFIG" ? path.c_str() : nullptr;
  });
  std::filesystem::remove(path);
  return faults;
}

bool Has(const std::vector<std::string>& faults, const std::string& part) {
  for (const std::string& fault : faults)
    if (fault.find(part) != std::string::npos) return true;
  return false;
}

TEST(Sections, AbsentLeaveEveryNewPartOff) {
  const proxy::Config config = ConfigOf(Good());
  EXPECT_FALSE(config.fleet.on);
  EXPECT_TRUE(config.state.dir.empty());
  EXPECT_TRUE(Faults(Good().dump()).empty());
}

TEST(Sections, AreReadWithTheirUnits) {
  const proxy::Config config = ConfigOf(WithFleet());
  ASSERT_TRUE(config.fleet.on);
  EXPECT_EQ(config.fleet.name, "muc");
  EXPECT_EQ(config.fleet.bind.port(), 7946);
  ASSERT_EQ(config.fleet.seeds.size(), 2u);
  EXPECT_EQ(config.fleet.seeds[1].address().to_string(), "127.0.0.2");
  EXPECT_EQ(config.fleet.probe_interval, std::chrono::milliseconds(200));
  EXPECT_EQ(config.fleet.suspicion_multiplier, 5);
  EXPECT_EQ(config.fleet.indirect_probes, 2);
  EXPECT_EQ(config.state.dir, "/var/lib/load_balancer_proxy");
  EXPECT_EQ(config.state.max_age, std::chrono::milliseconds(30000));
}

TEST(Check, NamesEveryFaultOfTheSectionsEachOnALine) {
  json config = WithFleet();
  config["surplus"] = true;
  config["fleet"]["colour"] = "red";
  config["fleet"]["probe_interval_ms"] = "fast";
  config["fleet"]["seeds"] = {"127.0.0.1:7947", "nowhere"};
  config["state"]["max_age_ms"] = 5;
  const auto faults = Faults(config.dump());
  EXPECT_EQ(faults.size(), 5u);
  EXPECT_TRUE(Has(faults, "surplus is no known key"));
  EXPECT_TRUE(Has(faults, "fleet.colour is no known key"));
  EXPECT_TRUE(Has(faults, "fleet.probe_interval_ms is no whole number"));
  EXPECT_TRUE(Has(faults, "fleet.seeds.1 is no host:port"));
  EXPECT_TRUE(Has(faults, "state.max_age_ms is out of range"));
  for (const std::string& fault : faults) EXPECT_EQ(fault.find('\n'), std::string::npos);
}

TEST(Check, TurnsDownAMemberThatWouldBeForgottenTooSoonAndANameThatIsNone) {
  json config = WithFleet();
  config["fleet"]["forget_ms"] = 23000;  // 24 x 5 x 200 ms are the least
  EXPECT_TRUE(Has(Faults(config.dump()), "fleet.forget_ms is under 24000"));
  config["fleet"].erase("forget_ms");
  config["name"] = "n 1";
  EXPECT_TRUE(Has(Faults(config.dump()), "name is not 1 to 64 bytes"));
}

TEST(Check, NamesAFileCutShortAWrongTypeAndAMissingAddress) {
  const std::string whole = WithFleet().dump();
  EXPECT_TRUE(Has(Faults(whole.substr(0, whole.size() / 2)), "JSON"));
  json wrong = WithFleet();
  wrong["fleet"] = 3;
  EXPECT_TRUE(Has(Faults(wrong.dump()), "fleet is no object"));
  wrong = WithFleet();
  wrong["fleet"].erase("bind");
  EXPECT_TRUE(Has(Faults(wrong.dump()), "fleet.bind is missing"));
  wrong = Good();
  wrong["settings"]["permissions"]["maxAttempts"] = 0;
  EXPECT_TRUE(Has(Faults(wrong.dump()), "maxAttempts"));
}

TEST(Check, AStartRefusesAFaultySectionButOnlyWarnsOfAnUnknownTopKey) {
  json config = WithFleet();
  config["fleet"]["indirect_probes"] = 99;
  EXPECT_THROW(ConfigOf(config), proxy::BadConfig);
  config = Good();
  config["surplus"] = 1;
  EXPECT_NO_THROW(ConfigOf(config));
}

TEST(Check, AReloadRefusesAFaultySection) {
  const proxy::Config current = ConfigOf(Good());
  json next = Good();
  next["state"] = {{"snapshot_interval_ms", -1}};
  EXPECT_THROW(proxy::Reconfigure(next.dump(), current), proxy::BadConfig);
}

// ---- the examples that README.md shows -----------------------------------------------------------------

std::string ReadText(const std::filesystem::path& path) {
  std::ifstream file(path);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// The blocks of a page that are marked as JSON.
std::vector<std::string> JsonBlocks(const std::string& page) {
  const std::string begin = "```json\n", end = "```\n";
  std::vector<std::string> blocks;
  for (std::size_t at = page.find(begin); at != std::string::npos; at = page.find(begin, at)) {
    at += begin.size();
    blocks.push_back(page.substr(at, page.find(end, at) - at));
  }
  return blocks;
}

TEST(Examples, OfTheReadmeHaveNoFault) {
  const std::filesystem::path root = kSourceRoot;
  const std::vector<std::string> blocks = JsonBlocks(ReadText(root / "README.md"));
  ASSERT_EQ(blocks.size(), 2u);
  EXPECT_EQ(blocks[0], ReadText(root / "examples" / "proxy.json"));
  EXPECT_EQ(Faults(blocks[0]), std::vector<std::string>{});
  json with_fleet = json::parse(blocks[0]);
  with_fleet.update(json::parse(blocks[1]));
  EXPECT_EQ(Faults(with_fleet.dump()), std::vector<std::string>{});
}

}  // namespace
}  // namespace load_balancer::testing
