// SPDX-License-Identifier: Apache-2.0
//
// The merge of single changes into the maintenance sets that lease holders publish.
#include "fleet_link/maintenance_changes.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <string>

namespace load_balancer::testing {
namespace {

using proxy::MaintenanceChange;
using proxy::MaintenanceChanges;
using Ids = std::set<std::string>;

constexpr fleet::UnixMs kNow = 1000;
constexpr fleet::FencingToken kToken = 7;

MaintenanceChange Detach(fleet::UnixMs until, fleet::FencingToken token = kToken) {
  return {true, token, until};
}
MaintenanceChange Attach(fleet::UnixMs until, fleet::FencingToken token = kToken) {
  return {false, token, until};
}

TEST(MaintenanceChanges, AddAndRemoveWhatASetLacks) {
  MaintenanceChanges changes("");
  changes.Merge("a", Detach(2000));
  changes.Merge("b", Attach(2000));
  EXPECT_EQ(changes.ApplyTo({"b", "c"}), (Ids{"a", "c"}));
}

TEST(MaintenanceChanges, TheLaterOfTwoCounts) {
  MaintenanceChanges changes("");
  changes.Merge("a", Attach(2001));
  changes.Merge("a", Detach(2000));
  EXPECT_EQ(changes.ApplyTo({"a"}), Ids{});
  ASSERT_TRUE(changes.RecordOwn("a", Detach(2002)));
  EXPECT_EQ(changes.ApplyTo({}), Ids{"a"});
}

// Guards against a command that its own member takes for older than the one it follows, as the clock of the
// other command's member is ahead: the members would disagree.
TEST(MaintenanceChanges, AnOwnChangeIsLaterThanTheOneItFollowsWhateverTheClock) {
  MaintenanceChanges ahead(""), behind("");
  const auto detached = ahead.RecordOwn("a", Detach(3000));
  ASSERT_TRUE(detached);
  behind.Merge("a", *detached);
  const auto attached = behind.RecordOwn("a", Attach(2000));
  ASSERT_TRUE(attached);
  ahead.Merge("a", *attached);
  EXPECT_EQ(behind.ApplyTo({"a"}), Ids{});
  EXPECT_EQ(ahead.ApplyTo({"a"}), Ids{});
}

// A holder of a version that publishes no single changes can take back what its set has contained.
TEST(MaintenanceChanges, OfAnEarlierLeaseAreSettledByASetThatContainsThem) {
  MaintenanceChanges changes("");
  changes.Merge("a", Detach(2000));
  changes.Settle({}, kToken + 1, kNow);
  EXPECT_EQ(changes.ApplyTo({}), Ids{"a"}) << "the set lacks the change";
  changes.Settle({"a"}, kToken, kNow);
  EXPECT_EQ(changes.ApplyTo({}), Ids{"a"}) << "the set was published under the same lease";
  changes.Settle({"a"}, kToken + 1, kNow);
  EXPECT_EQ(changes.ApplyTo({}), Ids{});
}

TEST(MaintenanceChanges, AreForgottenWhenTheirTimeIsOver) {
  MaintenanceChanges changes("");
  changes.Merge("a", Detach(kNow));
  changes.Settle({}, kToken, kNow);
  EXPECT_EQ(changes.ApplyTo({}), Ids{});
}

class KeptMaintenanceChanges : public ::testing::Test {
 protected:
  KeptMaintenanceChanges() {
    std::string folder = ::testing::TempDir() + "changes-XXXXXX";
    path_ = std::string(::mkdtemp(folder.data())) + "/changes";
  }
  ~KeptMaintenanceChanges() override {
    std::filesystem::remove_all(std::filesystem::path(path_).parent_path());
  }
  // Returns the changes that the next process of the proxy begins with.
  MaintenanceChanges Next() const {
    MaintenanceChanges next(path_);
    next.Load(kNow);
    return next;
  }

  std::string path_;
};

TEST_F(KeptMaintenanceChanges, OfThisProcessAreKeptUntilTheyAreSettled) {
  MaintenanceChanges changes(path_);
  changes.Merge("of another member", Detach(2000));
  ASSERT_TRUE(changes.RecordOwn("a", Detach(2000)));
  ASSERT_TRUE(changes.RecordOwn("b", Attach(2000)));
  EXPECT_EQ(Next().UnsettledOwn(), changes.UnsettledOwn());
  EXPECT_EQ(Next().ApplyTo({"b"}), Ids{"a"});
  changes.Settle({"a"}, kToken + 1, kNow);
  EXPECT_TRUE(Next().UnsettledOwn().empty());
}

TEST_F(KeptMaintenanceChanges, GiveWayToALaterOneOfAnotherMember) {
  MaintenanceChanges changes(path_);
  ASSERT_TRUE(changes.RecordOwn("a", Detach(2000)));
  changes.Merge("a", Attach(2001));
  EXPECT_TRUE(Next().UnsettledOwn().empty());
}

TEST_F(KeptMaintenanceChanges, AreLeftOutWhenTheirTimeIsOver) {
  MaintenanceChanges changes(path_);
  ASSERT_TRUE(changes.RecordOwn("a", Detach(kNow)));
  ASSERT_TRUE(changes.RecordOwn("b", Detach(kNow + 1)));
  EXPECT_EQ(Next().ApplyTo({}), Ids{"b"});
}

TEST_F(KeptMaintenanceChanges, LinesOutOfFormAreLeftOut) {
  std::ofstream(path_) << "out 7 2000\nmaybe 7 2000 a\nout 7 2000 b\n";
  EXPECT_EQ(Next().ApplyTo({}), Ids{"b"});
}

TEST_F(KeptMaintenanceChanges, ThatCannotBeKeptAreNotMade) {
  MaintenanceChanges changes(path_ + "/no/such/folder");
  EXPECT_FALSE(changes.RecordOwn("a", Detach(2000)));
  EXPECT_EQ(changes.ApplyTo({}), Ids{});
}

}  // namespace
}  // namespace load_balancer::testing
