// SPDX-License-Identifier: Apache-2.0
//
// The deployments under deploy/sites: each loads as its file says, none has left a trace in the program, and
// what a deployment does not say is nobody else's figure.
#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

#include "program_paths.h"
#include "site_config.h"

namespace load_balancer::testing {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

std::string Slurp(const fs::path& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

Idempotency EffectNamed(const std::string& idempotency) {
  if (idempotency == "safe") return Idempotency::kIdempotent;
  return idempotency == "keyed" ? Idempotency::kIdempotencyKey : Idempotency::kNotIdempotent;
}

TEST(Deployments, LieBesideWhatTheBenchWants) {
  ASSERT_EQ(SiteNames(), (std::vector<std::string>{"repeats", "small"}));
  for (const std::string& name : SiteNames()) {
    const fs::path folder = fs::path(load_balancer::testing::kSourceRoot) / "deploy" / "sites" / name;
    EXPECT_EQ(SiteNamed(name).at("name"), name);
    EXPECT_EQ(SiteNamed(name).at("wire"), "wire.json");
    for (const char* file : {"real.json", "wire.json", "unlock.txt"}) EXPECT_TRUE(fs::exists(folder / file));
  }
}

TEST(Deployments, LoadAsTheirFilesSay) {
  for (const std::string& name : SiteNames()) {
    SCOPED_TRACE(name);
    const json site = SiteNamed(name);
    const proxy::Config config = ConfigOf(ConfigOfSite(name));
    const json& classes = site.at("class");
    ASSERT_EQ(config.classes.size(), classes.size());
    ASSERT_EQ(config.settings.classes.size(), classes.size());
    for (std::size_t i = 0; i < classes.size(); ++i) {
      const ClassSettings& c = config.settings.classes[i];
      EXPECT_EQ(config.classes[i], classes[i].at("name"));
      EXPECT_EQ(c.idempotency, EffectNamed(classes[i].at("effect")));
      EXPECT_EQ(c.latency_objective.count(), classes[i].at("aim_ms"));
      EXPECT_EQ(c.deadline.count(), classes[i].at("deadline_ms"));
      EXPECT_EQ(c.priority_weight, classes[i].at("worth"));
      EXPECT_EQ(c.late_priority_share, classes[i].at("late_worth"));
    }
    const json& tenants = site.at("tenant");
    ASSERT_EQ(config.tenants.size(), tenants.size());
    ASSERT_EQ(config.settings.tenants.size(), tenants.size());
    for (std::size_t i = 0; i < tenants.size(); ++i) EXPECT_EQ(config.tenants[i], tenants[i].at("name"));
    EXPECT_EQ(json(config.zones), site.at("net").at("zones"));
    ASSERT_EQ(config.kinds.size(), site.at("tier").front().at("kind").size());
    EXPECT_EQ(config.connect_timeout.count(),
              site.at("tier").front().at("conn").at("connect_timeout_ms").get<double>());
    EXPECT_EQ(config.conn_idle.count(), site.at("tier").front().at("conn").at("idle_s").get<double>() * 1000);
    EXPECT_EQ(config.settings.max_attempts, site.at("allow").at("max_attempts"));
    EXPECT_EQ(config.settings.cross_zone_price, site.at("prices").at("cross_zone"));
    EXPECT_EQ(config.settings.overload_multiple, site.at("rules").at("fall_multiple"));
    EXPECT_EQ(config.settings.overload_window.count(), site.at("rules").at("fall_ms"));
    EXPECT_TRUE(config.settings.must_poll_for_list);
  }
}

TEST(Deployments, DifferInAllNamesAndInWhatMayBeRepeated) {
  std::set<std::string> names;
  std::set<std::vector<std::string>> effects;
  for (const std::string& name : SiteNames()) {
    const json site = SiteNamed(name);
    for (const std::string& own : NamesOf(site)) EXPECT_TRUE(names.insert(own).second) << own;
    std::vector<std::string> of;
    for (const json& c : site.at("class")) of.push_back(c.at("effect"));
    EXPECT_TRUE(effects.insert(of).second) << name;
  }
}

// All that the program and its start are made from.
std::vector<fs::path> Sources() {
  const fs::path root(load_balancer::testing::kSourceRoot);
  std::vector<fs::path> files{root / "deploy" / "balancer.toml"};
  for (const char* folder : {"src", "include"})
    for (const auto& entry : fs::recursive_directory_iterator(root / folder))
      if (entry.is_regular_file()) files.push_back(entry.path());
  return files;
}

TEST(Deployments, NoNameOfAnyIsInTheProgramOrTheDeployFile) {
  const std::vector<fs::path> sources = Sources();
  EXPECT_GT(sources.size(), 100u);
  for (const std::string& site : SiteNames()) {
    for (const std::string& name : NamesOf(SiteNamed(site))) {
      for (const fs::path& path : sources)
        EXPECT_EQ(Slurp(path).find(name), std::string::npos) << name << " of " << site << " in " << path;
    }
  }
}

// An absent key has its documented meaning, or the file is refused: the program has no figures to put there.
TEST(Deployments, AKeyThatIsAbsentIsRefusedUnlessItsMeaningIsDocumented) {
  const json good = ConfigOfSite("small");
  for (const char* needed :
       {"balancers", "zone", "classes", "permissions", "rules", "permissions/maxAttempts",
        "permissions/connIdleMs", "permissions/connectTimeoutMs", "rules/coldFrom", "rules/warmUpMs",
        "rules/fallMultiple", "rules/overloadForMs", "rules/mustAskInMs", "classes/0/name",
        "classes/0/effect", "classes/0/goalTimeMs", "classes/0/deadlineMs", "tenants/0/name"}) {
    json config = good;
    const json::json_pointer at(std::string("/settings/") + needed);
    config[at.parent_pointer()].erase(at.back());
    EXPECT_THROW(ConfigOf(config), proxy::BadConfig) << needed;
  }
  json config = good;
  for (const char* optional : {"me", "tenants", "overShareWorth", "deductions", "registryMode", "periodMs",
                               "specifics", "zones", "kinds", "permissions/retryAfter",
                               "permissions/maxRetryAfterMs", "classes/0/worth", "classes/0/lateWorth"}) {
    const json::json_pointer at(std::string("/settings/") + optional);
    config[at.parent_pointer()].erase(at.back());
  }
  const Settings settings = ConfigOf(config).settings;
  EXPECT_EQ(settings.balancer_index, 0);
  EXPECT_TRUE(settings.tenants.empty());
  EXPECT_EQ(settings.over_quota_priority_share, 1);
  EXPECT_EQ(settings.cross_zone_price, 0);
  EXPECT_FALSE(settings.must_poll_for_list);
  EXPECT_EQ(settings.tick.count(), 1);
  EXPECT_FALSE(settings.session_affinity);
  EXPECT_EQ(settings.max_retry_after.count(), 0);
  EXPECT_EQ(settings.classes[0].priority_weight, 1);
  EXPECT_EQ(settings.classes[0].late_priority_share, 0);
}

// Zones and kinds are told apart by the names that discovery uses, whatever is in them.
TEST(Deployments, NamesStayAsTheyAreWritten) {
  json settings = SettingsOf(SiteNamed("small"));
  settings["zones"] = {"north west", "south,east"};
  settings["kinds"][0] = "two\tcores";
  settings["classes"][0]["name"] = "a b";
  const proxy::Config config = ConfigOf(ConfigWith(settings));
  EXPECT_EQ(config.zones, (std::vector<std::string>{"north west", "south,east"}));
  EXPECT_EQ(config.kinds[0], "two\tcores");
  EXPECT_EQ(config.classes[0], "a b");
}

// Keys that no part of the program knows say nothing, whatever they look like.
TEST(Deployments, UnknownKeysDoNotPassForOthers) {
  json settings = SettingsOf(SiteNamed("small"));
  const double slow_start_min_share = settings["rules"]["coldFrom"];
  settings["rules.coldFrom"] = 0.99;
  settings["zzz\nrules.coldFrom"] = 0.99;
  settings["zzz=1\nrules.coldFrom"] = 0.99;
  settings["rules"]["zzz\nrules.coldFrom"] = 0.99;
  EXPECT_EQ(ConfigOf(ConfigWith(settings)).settings.slow_start_min_share, slow_start_min_share);
}

}  // namespace
}  // namespace load_balancer::testing
