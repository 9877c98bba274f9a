// SPDX-License-Identifier: Apache-2.0
#include "golden_case.h"

#include <iterator>
#include <utility>

namespace load_balancer::testing {

std::vector<GoldenCase> AllGoldenCases() {
  std::vector<GoldenCase> all;
  for (auto protocol : {FleetDatagramCases, QuotaMessageCases, EstimateMessageCases, NameCases,
                        StoredFileCases, RestartPageCases}) {
    std::vector<GoldenCase> cases = protocol();
    all.insert(all.end(), std::make_move_iterator(cases.begin()), std::make_move_iterator(cases.end()));
  }
  return all;
}

}  // namespace load_balancer::testing
