// SPDX-License-Identifier: Apache-2.0
#include "recovery/recovery.h"

#include <cmath>
#include <map>
#include <utility>

#include "base/log.h"
#include "core/module_driver.h"
#include "core/server_directory.h"
#include "federation/link.h"
#include "fleet_link/fleet_link.h"
#include "recovery/own_verdicts.h"
#include "state/failures.h"

namespace load_balancer::proxy {

Recovery::Recovery(boost::asio::io_context& io, ModuleDriver& module, OwnVerdicts& verdicts,
                   const ServerDirectory& servers, FleetLink& fleet, FederationLink& federation)
    : io_(io),
      module_(module),
      verdicts_(verdicts),
      servers_(servers),
      fleet_(fleet),
      federation_(federation),
      timer_(io) {}

void Recovery::Begin(const Config& config, const std::string& path) {
  if (!config.state.on) return;
  state::SnapshotWriterOptions options;
  options.path = path;
  options.name = config.name;
  options.interval = config.state.snapshot_interval;
  options.max_age = config.state.max_age;
  options.max_clock_skew = config.fleet.max_clock_skew;
  snapshot_writer_ = std::make_unique<state::SnapshotWriter>(io_, options);
  if (const auto body = snapshot_writer_->Recover()) {
    try {
      Take(*body);
    } catch (const nlohmann::json::exception& error) {
      log::Warn("state", Failure(state::kSnapshotIncomplete, options.path, error.what()));
    }
  } else if (fleet_.node() && config.state.peer_wait.count() > 0) {
    waits_ = true;
    timer_.expires_after(config.state.peer_wait);
    timer_.async_wait([this](const boost::system::error_code& cancelled) {
      if (cancelled || !std::exchange(waits_, false)) return;
      log::Info("state", "no peer's state in time");
    });
  }
  snapshot_writer_->Start([this] { return Collect(); });
}

void Recovery::OnJoined() {
  if (!std::exchange(waits_, false)) return;
  timer_.cancel();
  log::Info("state", "recovered from a peer");
}

nlohmann::json Recovery::Collect() const {
  nlohmann::json body;
  body["verdicts"] = verdicts_.Keep();
  const LearnedRates rates = module_.learned_rates();
  body["pace"] = {rates.responses_per_ms, rates.work_per_ms, rates.warm_work_per_ms, rates.time_per_work};
  if (fleet_.node()) {
    const auto saved = fleet_.node()->Save();
    body["incarnation"] = saved.incarnation;
    body["tokens"] = saved.tokens;
  }
  if (const Federation* sites = federation_.federation()) body["sites"] = sites->Keep();
  return body;
}

// Throws json::exception on what is out of form; what came before it holds.
void Recovery::Take(const nlohmann::json& body) {
  verdicts_.Load(body.at("verdicts"));
  verdicts_.Restore(servers_);
  const auto& rates = body.at("pace");
  const auto figure = [&rates](std::size_t i) {
    const double x = rates.at(i).get<double>();
    return std::isfinite(x) && x >= 0 ? x : 0;
  };
  module_.Feed(LearnedRates{figure(0), figure(1), figure(2), figure(3)});
  if (federation_.federation() && body.contains("sites")) federation_.federation()->Restore(body.at("sites"));
  if (!fleet_.node() || !body.contains("incarnation")) return;
  fleet_.node()->Restore({body.at("incarnation").get<std::uint64_t>(),
                          body.at("tokens").get<std::map<std::string, fleet::FencingToken>>()});
}

}  // namespace load_balancer::proxy
