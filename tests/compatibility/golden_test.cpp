// SPDX-License-Identifier: Apache-2.0
//
// Reads what a former version of the program wrote, and writes the same again: messages between processes,
// files on disk, and a configuration.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

#include "configuration_fields.h"
#include "golden_case.h"
#include "hex.h"
#include "program_paths.h"

namespace load_balancer::testing {
namespace {

using nlohmann::json;

std::filesystem::path GoldenFolder() {
  return std::filesystem::path(kSourceRoot) / "tests" / "compatibility" / "golden";
}

std::string ReadText(const std::filesystem::path& path) {
  std::ifstream file(path);
  EXPECT_TRUE(file) << path;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

Bytes ReadHex(const std::filesystem::path& path) {
  std::string digits = ReadText(path);
  std::erase(digits, '\n');
  const std::string bytes = Hex(digits);
  return Bytes(bytes.begin(), bytes.end());
}

class Golden : public ::testing::TestWithParam<GoldenCase> {
 protected:
  Bytes Stored() const { return ReadHex(GoldenFolder() / (GetParam().name + ".hex")); }
};

TEST_P(Golden, IsReadFieldByField) {
  const Bytes stored = Stored();
  ASSERT_FALSE(stored.empty());
  const json read = GetParam().decode(stored);
  for (const auto& [name, value] : GetParam().fields.items()) {
    ASSERT_TRUE(read.contains(name)) << name;
    EXPECT_EQ(read.at(name), value) << name;
  }
  EXPECT_EQ(read.size(), GetParam().fields.size());
}

TEST_P(Golden, IsWrittenByteForByte) { EXPECT_EQ(GetParam().encode(), Stored()); }

TEST_P(Golden, IsNotTakenForCompleteWithItsLastByteMissing) {
  Bytes torn = Stored();
  ASSERT_FALSE(torn.empty());
  torn.pop_back();
  const std::string& name = GetParam().name;
  if (name == "maintenance") {
    EXPECT_EQ(GetParam().decode(torn), GetParam().fields) << "the last line may lack its end";
    return;
  }
  if (name == "restart_page") {
    EXPECT_NE(GetParam().decode(torn), GetParam().fields) << "the page is made longer, and differs";
    return;
  }
  EXPECT_ANY_THROW(GetParam().decode(torn));
}

INSTANTIATE_TEST_SUITE_P(All, Golden, ::testing::ValuesIn(AllGoldenCases()),
                         [](const auto& test) { return test.param.name; });

TEST(GoldenFiles, AreOneForEachCase) {
  std::set<std::string> expected, found;
  for (const GoldenCase& each : AllGoldenCases()) EXPECT_TRUE(expected.insert(each.name).second) << each.name;
  for (const auto& file : std::filesystem::directory_iterator(GoldenFolder()))
    if (file.path().extension() == ".hex") found.insert(file.path().stem());
  EXPECT_EQ(found, expected);
}

TEST(GoldenConfiguration, HasNoFault) {
  EXPECT_EQ(ConfigurationFaults(GoldenFolder() / "configuration.json"), std::vector<std::string>{});
}

TEST(GoldenConfiguration, IsReadFieldByField) {
  const json read = ConfigurationFields(ReadText(GoldenFolder() / "configuration.json"));
  const json stored = json::parse(ReadText(GoldenFolder() / "configuration.fields.json"));
  const json difference = json::diff(stored, read);
  EXPECT_TRUE(difference.empty()) << difference.dump(2);
}

// The keys of quotas that were renamed; both names are read.
TEST(GoldenConfiguration, IsReadTheSameUnderThePresentNamesOfItsKeys) {
  json root = json::parse(ReadText(GoldenFolder() / "configuration.json"));
  const auto rename = [](json& object, const char* former, const char* present) {
    ASSERT_TRUE(object.contains(former)) << former;
    object[present] = object.at(former);
    object.erase(former);
  };
  rename(root["quota"], "treasurers", "allocators");
  rename(root["quota"], "draw_ms", "grant_lifetime_ms");
  for (json& partner : root["quota"]["partners"]) rename(partner, "floors", "reserved_minimums");
  const json stored = json::parse(ReadText(GoldenFolder() / "configuration.fields.json"));
  const json difference = json::diff(stored, ConfigurationFields(root.dump()));
  EXPECT_TRUE(difference.empty()) << difference.dump(2);
}

// ---- every key of docs/configuration.md ----------------------------------------------------------------

// A key as the page writes it: "classes[].name" is the key `name` of the items of the list `classes`.
bool HasKey(const json& value, const std::string& key) {
  const std::size_t end = key.find_first_of(".[");
  const auto found = value.find(key.substr(0, end));
  if (found == value.end()) return false;
  if (end == std::string::npos) return true;
  if (key[end] == '.') return HasKey(*found, key.substr(end + 1));
  constexpr std::string_view kEachItem = "[].";
  for (const json& item : *found)
    if (HasKey(item, key.substr(end + kEachItem.size()))) return true;
  return false;
}

// The keys that the first cell of a table's row names; ".b" after "a.c" stands for "a.b". Of a key that was
// renamed, "`new` (formerly `old`)", the former name.
std::vector<std::string> KeysOfRow(const std::string& row) {
  static const std::regex kRenamed("`[^`]+` \\(formerly (`[^`]+`)\\)");
  static const std::regex kQuoted("`([^`]+)`");
  const std::string cell = std::regex_replace(row.substr(0, row.find(" | ")), kRenamed, "$1");
  std::vector<std::string> keys;
  for (std::sregex_iterator each(cell.begin(), cell.end(), kQuoted), end; each != end; ++each) {
    std::string key = (*each)[1];
    if (key.front() == '.') key = keys.back().substr(0, keys.back().rfind('.')) + key;
    keys.push_back(key);
  }
  return keys;
}

TEST(GoldenConfiguration, HasEveryKeyThatThePageLists) {
  const json root = json::parse(ReadText(GoldenFolder() / "configuration.json"));
  std::ifstream page(std::filesystem::path(kSourceRoot) / "docs" / "configuration.md");
  static const std::regex kSection("## `([a-z]+)`");
  const json* section = &root;
  int keys = 0;
  for (std::string line; std::getline(page, line);) {
    if (std::smatch heading; std::regex_match(line, heading, kSection)) section = &root.at(heading[1].str());
    if (line.rfind("| `", 0) != 0) continue;
    for (const std::string& key : KeysOfRow(line)) {
      EXPECT_TRUE(HasKey(*section, key)) << key;
      ++keys;
    }
  }
  EXPECT_GE(keys, 80) << "the page is not read as it is written";
}

}  // namespace
}  // namespace load_balancer::testing
