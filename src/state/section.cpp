// SPDX-License-Identifier: Apache-2.0
#include "state/section.h"

#include "base/config/section.h"

namespace load_balancer::state {

StateSection ReadState(const nlohmann::json& root, std::vector<std::string>* faults) {
  StateSection state;
  Section section(root, "state", {"dir", "snapshot_interval_ms", "max_age_ms", "peer_wait_ms"}, faults);
  state.on = section.present();
  section.Text("dir", &state.dir);
  section.Time("snapshot_interval_ms", 100, 3600000, &state.snapshot_interval);
  section.Time("max_age_ms", 1000, 86400000, &state.max_age);
  section.Time("peer_wait_ms", 0, 60000, &state.peer_wait);
  return state;
}

}  // namespace load_balancer::state
