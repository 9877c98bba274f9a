// SPDX-License-Identifier: Apache-2.0
//
// The section `spill` of the configuration, which sets up the overflow between sites.
#ifndef LOAD_BALANCER_OVERFLOW_SECTION_H_
#define LOAD_BALANCER_OVERFLOW_SECTION_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "overflow/options.h"

namespace load_balancer::overflow {

// OverflowSection holds the settings of the section. Without the section, `on` is false: this process
// forwards no requests and rejects forwarded ones.
struct OverflowSection {
  bool on = false;
  Options options;
};

// Reads the section `spill` from the file's root object. Appends one line per fault to `faults`.
OverflowSection ReadOverflowSection(const nlohmann::json& root, std::vector<std::string>* faults);

// Checks the section against the section `sites`, and appends one line per fault to `faults`. `sites` is
// empty if that section is absent. `lease_term` is the fleet's lease term, which must be set because the
// site's estimate publisher needs a lease.
void CheckOverflowSection(const OverflowSection& section, const Directory& sites, const std::string& own_site,
                          Milliseconds lease_term, std::vector<std::string>* faults);

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_SECTION_H_
