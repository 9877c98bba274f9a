// SPDX-License-Identifier: Apache-2.0
#include "recovery/own_verdicts.h"

#include <cmath>

#include "base/log.h"
#include "core/module_driver.h"
#include "core/server_directory.h"

namespace load_balancer::proxy {

void OwnVerdicts::Note(const std::string& server, double until_unix_ms, int multiplier) {
  verdicts_[server] = {until_unix_ms, multiplier, false};
}

nlohmann::json OwnVerdicts::Keep() const {
  const double now = module_.clock().ToUnix(module_.Now());
  auto kept = nlohmann::json::array();
  for (const auto& [id, verdict] : verdicts_)
    if (verdict.until_unix_ms > now)
      kept.push_back({{"server", id}, {"until", verdict.until_unix_ms}, {"multiplier", verdict.multiplier}});
  return kept;
}

void OwnVerdicts::Load(const nlohmann::json& kept) {
  const double now = module_.clock().ToUnix(module_.Now());
  for (const auto& verdict : kept) {
    const Verdict own{verdict.at("until").get<double>(), verdict.at("multiplier").get<int>(), true};
    const auto id = verdict.at("server").get<std::string>();
    const double left = own.until_unix_ms - now;
    if (!(left > 0) || left > kMaxEjectionDuration.count())
      continue;  // over, or none that this program writes
    verdicts_[id] = own;
    log::Info("state",
              "verdict server=" + id + " left_ms=" + std::to_string(std::llround(left)) + " restored");
  }
}

void OwnVerdicts::Restore(const ServerDirectory& servers) {
  for (auto& [id, verdict] : verdicts_) {
    if (!verdict.waits || !servers.Listed(id)) continue;
    verdict.waits = false;
    module_.Feed(RestoredEjection{servers.numbers().Of(id), module_.clock().FromUnix(verdict.until_unix_ms),
                                  verdict.multiplier});
  }
}

}  // namespace load_balancer::proxy
