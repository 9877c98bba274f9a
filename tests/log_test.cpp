// SPDX-License-Identifier: Apache-2.0
//
// The form of the process's log lines, and lines from many threads at once.
#include "base/log.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace load_balancer::testing {
namespace {

using nlohmann::json;

TEST(LogLine, IsOneJsonObjectWithTheFixedFields) {
  const std::string line = log::FormatEvent(log::Format::kJson, "discovery", "away: \"x\"\nnext", 7);
  const json parsed = json::parse("{" + line + "}");
  EXPECT_EQ(parsed["component"], "discovery");
  EXPECT_EQ(parsed["event"], "away: \"x\"\nnext");
  EXPECT_EQ(parsed["request"], 7);
  EXPECT_EQ(line.find('\n'), std::string::npos);
  EXPECT_EQ(log::FormatEvent(log::Format::kText, "discovery", "a\nb", std::nullopt), "discovery: a b");
}

// Standard error is sent to a file while the threads log.
TEST(LogLine, ThreadsWritingAtOnceNeverShareALine) {
  const std::string path = std::filesystem::temp_directory_path() / ("log-" + std::to_string(getpid()));
  std::fflush(stderr);
  const int saved = dup(STDERR_FILENO);
  std::FILE* file = std::fopen(path.c_str(), "w");
  ASSERT_NE(file, nullptr);
  dup2(fileno(file), STDERR_FILENO);
  log::Start(log::Format::kJson, "n1");
  constexpr int kThreads = 8, kEach = 2500;
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t)
    threads.emplace_back([t] {
      for (int i = 0; i < kEach; ++i)
        log::Info("test", std::string(64, static_cast<char>('a' + t)), static_cast<std::uint64_t>(i));
    });
  for (std::thread& thread : threads) thread.join();
  log::Start(log::Format::kText, "");
  std::fflush(stderr);
  dup2(saved, STDERR_FILENO);
  close(saved);
  std::fclose(file);
  std::ifstream in(path);
  int lines = 0;
  for (std::string line; std::getline(in, line); ++lines) {
    const json parsed = json::parse(line, nullptr, false);
    ASSERT_TRUE(parsed.is_object()) << line;
    const std::string event = parsed["event"];
    EXPECT_EQ(event, std::string(64, event.front()));
    EXPECT_EQ(parsed["name"], "n1");
  }
  EXPECT_EQ(lines, kThreads * kEach);
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace load_balancer::testing
