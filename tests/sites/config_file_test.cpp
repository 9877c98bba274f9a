// SPDX-License-Identifier: Apache-2.0
//
// The configuration file as it is found: of the wrong kind, out of reach, too large, changed while it is
// read.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "config.h"
#include "config/file.h"
#include "fleet/harness.h"

namespace load_balancer::testing {
namespace {

using fleet::Folder;

std::string WhyNot(const std::string& path) {
  try {
    proxy::ReadConfigFile(path);
  } catch (const proxy::BadConfig& error) {
    EXPECT_EQ(error.faults().size(), 1u);
    return error.what();
  }
  return "";
}

void Write(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

TEST(ConfigFile, IsReadWhole) {
  const Folder folder;
  const std::string path = folder.path / "config.json";
  for (const std::size_t size : {std::size_t{0}, std::size_t{1}, std::size_t{65536}, std::size_t{300001}}) {
    Write(path, std::string(size, 'x'));
    EXPECT_EQ(proxy::ReadConfigFile(path), std::string(size, 'x'));
  }
}

TEST(ConfigFile, WhatIsNoReadableFileIsNamedWithTheReason) {
  const Folder folder;
  const std::string path = folder.path / "config.json";
  EXPECT_EQ(WhyNot(path), "cannot read ROUTER_CONFIG: " + path + ": No such file or directory");
  EXPECT_EQ(WhyNot(folder.path), "cannot read ROUTER_CONFIG: " + folder.path.string() + ": no regular file");
  Write(path, "{}");
  EXPECT_EQ(WhyNot(path + "/more"), "cannot read ROUTER_CONFIG: " + path + "/more: Not a directory");
  Write(path, std::string(1024 * 1024 + 1, ' '));
  EXPECT_EQ(WhyNot(path), "cannot read ROUTER_CONFIG: " + path + ": over 1048576 bytes");
  ASSERT_EQ(::chmod(path.c_str(), 0), 0);
  if (::geteuid() != 0) {  // to root all files are readable
    EXPECT_EQ(WhyNot(path), "cannot read ROUTER_CONFIG: " + path + ": Permission denied");
  }
}

// Nobody writes to it: reading would wait for ever.
TEST(ConfigFile, APipeIsTurnedDownAtOnce) {
  const Folder folder;
  const std::string path = folder.path / "pipe";
  ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
  EXPECT_EQ(WhyNot(path), "cannot read ROUTER_CONFIG: " + path + ": no regular file");
}

TEST(ConfigFile, AFileThatIsRewrittenWhileItIsReadIsKnownToHaveChanged) {
  const Folder folder;
  const std::string path = folder.path / "config.json";
  Write(path, "{\"a\":1}");
  const proxy::ConfigFile quiet(path);
  EXPECT_EQ(quiet.ReadAll(), "{\"a\":1}");
  EXPECT_TRUE(quiet.Unchanged());

  const proxy::ConfigFile rewritten(path);
  const std::string before = rewritten.ReadAll();
  Write(path, "{\"a\":1,\"b\":2}");
  EXPECT_EQ(before, "{\"a\":1}");
  EXPECT_FALSE(rewritten.Unchanged());
}

// One that is put in its place does not concern who has the old one open: that is whole.
TEST(ConfigFile, AFileThatIsReplacedWhileItIsReadIsTheOneOfBefore) {
  const Folder folder;
  const std::string path = folder.path / "config.json", next = folder.path / "next.json";
  Write(path, "{\"a\":1}");
  Write(next, "{\"b\":2}");
  const proxy::ConfigFile file(path);
  std::filesystem::rename(next, path);
  EXPECT_EQ(file.ReadAll(), "{\"a\":1}");
  EXPECT_EQ(proxy::ReadConfigFile(path), "{\"b\":2}");
}

}  // namespace
}  // namespace load_balancer::testing
