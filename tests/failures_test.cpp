// SPDX-License-Identifier: Apache-2.0
//
// The kinds of failure, and the page that lists them.
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <string>
#include <string_view>

#include "program_paths.h"
#include "proxy/failure_kinds.h"

namespace load_balancer {
namespace {

// By code, the rest of each row of docs/errors.md: "what | advice".
std::map<std::string, std::string> Page() {
  std::ifstream file(load_balancer::testing::kErrorsPage);
  std::map<std::string, std::string> rows;
  constexpr std::string_view kBegin = "| `", kBetween = " | ";
  for (std::string line; std::getline(file, line);) {
    const auto code_end = line.find('`', kBegin.size()), last_column = line.rfind(kBetween);
    if (!line.starts_with(kBegin) || code_end == std::string::npos || last_column <= code_end) continue;
    const auto text = code_end + 1 + kBetween.size();
    const auto code = line.substr(kBegin.size(), code_end - kBegin.size());
    EXPECT_TRUE(rows.emplace(code, line.substr(text, last_column - text)).second) << line;
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

// Of docs/operations.md, the second column of the table by symptom.
std::string CodesBySymptom() {
  std::ifstream file(std::string(load_balancer::testing::kSourceRoot) + "/docs/operations.md");
  std::string codes;
  bool in_table = false;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("## ")) in_table = line == "## By symptom";
    if (!in_table || !line.starts_with("| ")) continue;
    const auto begin = line.find(" | ") + 3;
    codes += line.substr(begin, line.find(" | ", begin) - begin) + '\n';
  }
  return codes;
}

TEST(Failures, EachCodeIsFoundByASymptom) {
  const std::string codes = CodesBySymptom();
  for (const FailureKind* kind : proxy::AllFailureKinds())
    EXPECT_NE(codes.find('`' + std::string(kind->code) + '`'), std::string::npos) << kind->code;
}

TEST(Failures, TextNamesTheCodeAndEndsWithTheAdvice) {
  constexpr FailureKind kind{"TEST-1", "it broke", "mend it"};
  EXPECT_EQ(Failure(kind, "here", "thus").Text(), "TEST-1 it broke: here (thus); mend it");
  EXPECT_EQ(Failure(kind, "").Text(), "TEST-1 it broke; mend it");
}

}  // namespace
}  // namespace load_balancer
