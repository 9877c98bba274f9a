// SPDX-License-Identifier: Apache-2.0
//
// Tests OutlierDetector by itself. outlier_ejection_test.cpp tests it with traffic.
#include "policy/outlier_detection.h"

#include <gtest/gtest.h>

#include <array>

namespace load_balancer {
namespace {

TimePoint At(double ms) { return TimePoint(Duration(ms)); }

class OutlierDetectorTest : public ::testing::Test {
 protected:
  OutlierDetectorTest() {
    for (const HostHealth& host : hosts_) detector_.AddHost(host);
  }

  bool Record(std::size_t host, bool success, int times = 1) {
    bool is_ejected = false;
    for (int response = 0; response < times; ++response)
      is_ejected = detector_.RecordResponse(hosts_[host], true, success, At(1000), random_);
    return is_ejected;
  }

  OutlierDetector detector_;
  std::array<HostHealth, 4> hosts_;
  RandomSource random_{1};
};

TEST_F(OutlierDetectorTest, EjectsForTheBaseTimeAndLowersTheMultiplierAtReturn) {
  Record(0, true, 20);
  Record(2, true, 20);
  EXPECT_TRUE(Record(1, false, 3));
  EXPECT_TRUE(hosts_[1].is_ejected);
  EXPECT_EQ(hosts_[1].return_at, At(3000));
  EXPECT_FALSE(detector_.ReturnIfDue(hosts_[1], true, At(2999)));
  EXPECT_TRUE(detector_.ReturnIfDue(hosts_[1], true, At(3000)));
  EXPECT_EQ(hosts_[1].multiplier, 0);
}

TEST_F(OutlierDetectorTest, EjectsNoMoreThanHalfOfTheHosts) {
  Record(3, true, 200);
  EXPECT_TRUE(Record(0, false, 3));
  EXPECT_TRUE(Record(1, false, 3));
  EXPECT_FALSE(Record(2, false, 3));
  detector_.RemoveHost(hosts_[0]);
  EXPECT_TRUE(Record(2, false)) << "one of the three remaining hosts is ejected";
}

TEST_F(OutlierDetectorTest, AppliesPeerEjectionsForItsOwnBackoffAndToAQuarterOfTheHosts) {
  const PeerEjection peer{7, At(9000), 3, 3};
  EXPECT_TRUE(detector_.ApplyPeerEjection(hosts_[0], peer, 0, At(1000)));
  EXPECT_EQ(hosts_[0].return_at, At(3000));
  EXPECT_TRUE(hosts_[0].is_peer_ejection);
  EXPECT_FALSE(detector_.ApplyPeerEjection(hosts_[1], peer, 1, At(1000)))
      << "a quarter of the hosts are already ejected because of peers' reports";
  EXPECT_FALSE(detector_.ApplyPeerEjection(hosts_[1], {7, At(9000), 2, 2}, 0, At(1000)))
      << "too few attempts";
  EXPECT_FALSE(detector_.ApplyPeerEjection(hosts_[1], {7, At(1000), 3, 3}, 0, At(1000)))
      << "the peer's ejection is over";
}

TEST_F(OutlierDetectorTest, RestoresAnEjectionWithItsMultiplierAndWithinBounds) {
  detector_.RestoreEjection(hosts_[0], {7, At(4000), 3}, At(1000));
  EXPECT_EQ(hosts_[0].return_at, At(4000));
  EXPECT_EQ(hosts_[0].multiplier, 3);
  detector_.RestoreEjection(hosts_[1], {7, At(1e9), 0}, At(1000));
  EXPECT_EQ(hosts_[1].return_at, At(1000) + kMaxEjectionDuration);
  EXPECT_EQ(hosts_[1].multiplier, 1);
}

TEST_F(OutlierDetectorTest, TheIntervalFollowsTheTrafficWithinBounds) {
  detector_.SetVolumeInterval(Duration(100));
  EXPECT_EQ(detector_.interval(), Duration(2000));
  EXPECT_FALSE(detector_.is_traffic_sparse());
  detector_.SetVolumeInterval(Duration(4000));
  EXPECT_EQ(detector_.interval(), Duration(4000));
  EXPECT_TRUE(detector_.is_traffic_sparse());
  detector_.SetVolumeInterval(Duration(1e6));
  EXPECT_EQ(detector_.interval(), Duration(10000));
}

TEST_F(OutlierDetectorTest, TheEndOfAnIntervalResetsCountsAndLowersTheMultiplierOfHostsInService) {
  Record(0, true, 20);
  Record(1, false, 2);
  hosts_[1].multiplier = 2;
  detector_.EndInterval();
  for (HostHealth& host : hosts_) OutlierDetector::EndHostInterval(host);
  EXPECT_EQ(hosts_[1].attempts(), 0);
  EXPECT_EQ(hosts_[1].multiplier, 1);
  EXPECT_FALSE(Record(1, false, 3)) << "no other host has reached the request volume in this interval";
}

}  // namespace
}  // namespace load_balancer
