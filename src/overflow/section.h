// SPDX-License-Identifier: Apache-2.0
//
// The configuration's section `spill`.
#ifndef LOAD_BALANCER_OVERFLOW_SECTION_H_
#define LOAD_BALANCER_OVERFLOW_SECTION_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "overflow/options.h"

namespace load_balancer::overflow {

// `spill`: absent, nothing is spilled and spilled requests are refused.
struct SpillSection {
  bool on = false;
  Options options;
};

// Reads `spill` of the file's root object. Appends one line per fault to `faults`.
SpillSection ReadSpill(const nlohmann::json& root, std::vector<std::string>* faults);

// What the section needs of `sites`: empty where that is absent. `lease_term` is that of the fleet, under
// which the site has its ambassador.
void CheckSpill(const SpillSection& spill, const Directory& sites, const std::string& own_site,
                Milliseconds lease_term, std::vector<std::string>* faults);

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_SECTION_H_
