// SPDX-License-Identifier: Apache-2.0
//
// The kinds of failure, and the page that lists them.
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <regex>
#include <string>

#include "proxy/failure_kinds.h"

namespace brackenspoke {
namespace {

// By code, the rest of each row of docs/errors.md: "what | advice".
std::map<std::string, std::string> Page() {
  std::ifstream file(ERRORS_PAGE);
  std::map<std::string, std::string> rows;
  const std::regex row(R"(\| `([A-Z]+-[0-9]+)` \| (.+) \| [^|]+ \|)");
  std::smatch found;
  for (std::string line; std::getline(file, line);) {
    if (!std::regex_match(line, found, row)) continue;
    EXPECT_TRUE(rows.emplace(found[1], found[2]).second) << line;
  }
  return rows;
}

TEST(Failures, EachKindHasACodeOfItsOwnAndAdviceAndIsOnThePage) {
  auto page = Page();
  const auto kinds = proxy::AllFailureKinds();
  ASSERT_GT(kinds.size(), 40u);
  for (const FailureKind* kind : kinds) {
    EXPECT_FALSE(kind->what.empty()) << kind->code;
    EXPECT_FALSE(kind->advice.empty()) << kind->code;
    const auto row = page.find(std::string(kind->code));
    ASSERT_NE(row, page.end()) << kind->code << " is not on the page, or twice in the program";
    EXPECT_EQ(row->second, std::string(kind->what) + " | " + std::string(kind->advice)) << kind->code;
    page.erase(row);
  }
  EXPECT_TRUE(page.empty()) << page.begin()->first << " is on the page alone";
}

TEST(Failures, TextNamesTheCodeAndEndsWithTheAdvice) {
  constexpr FailureKind kind{"TEST-1", "it broke", "mend it"};
  EXPECT_EQ(Failure(kind, "here", "thus").Text(), "TEST-1 it broke: here (thus); mend it");
  EXPECT_EQ(Failure(kind, "").Text(), "TEST-1 it broke; mend it");
}

}  // namespace
}  // namespace brackenspoke
