// SPDX-License-Identifier: Apache-2.0
//
// Where discovery must be asked: how long the module goes without asking.
#include <gtest/gtest.h>

#include "harness.h"

namespace brackenspoke {
namespace {

using testing::Entry;
using testing::Rig;
using testing::Usual;

// The list holds for the asking time from the last call. Each call may stay unanswered, fail, or be followed
// by silence, in any order.
TEST(Discovery, IsAskedAgainWithinTheAskingTimeWhateverBecomesOfTheCalls) {
  constexpr double kWithin = 8000, kStep = 10;
  Settings settings = Usual();
  settings.must_ask_for_list = true;
  settings.must_ask_within = Duration(kWithin);
  Rig rig(settings);
  rig.List({Entry(1)}, ListKind::kCached);
  ASSERT_EQ(rig.Count<Subscribe>(), 1) << "at once";
  for (int call = 0; call < 200; ++call) {
    const int becomes = call * 7 % 5 % 3;  // of the call: 0 unanswered, 1 failed, 2 watched and then broken
    if (becomes == 2) rig.List({Entry(1)}, ListKind::kFull);
    if (becomes != 0) rig.List({}, ListKind::kFailed);
    double waited = 0;
    do {
      rig.Tick(kStep);
      waited += kStep;
    } while (rig.Count<Subscribe>() == 0 && waited <= kWithin);
    ASSERT_LE(waited, becomes == 0 ? kWithin / 2 + kStep : kWithin / 4 + kStep) << call;
  }
}

}  // namespace
}  // namespace brackenspoke
