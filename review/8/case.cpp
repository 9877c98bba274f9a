// SPDX-License-Identifier: Apache-2.0
//
// Servers are taken out one by one, each by a call that the holder of maintenance acknowledges. Then that
// proxy is drained and takes clients again. Are all of them still out?
#include "fleet.h"

namespace {

using namespace review;

constexpr int kServers = 160, kOut = 80;
constexpr double kDrainFor = 6, kUntilAgreed = 20, kGrace = 2.05;
constexpr int kRequests = 600;
constexpr double kGap = 0.005;

std::vector<std::string> Ids() {
  std::vector<std::string> ids;
  for (unsigned i = 1; i <= kServers; ++i) {
    char id[16];
    std::snprintf(id, sizeof id, "s-%08x", i * 2654435761u);
    ids.emplace_back(id);
  }
  return ids;
}

}  // namespace

int main(int, char** argv) {
  Record record(argv[1]);
  Workplace place;
  const std::vector<std::string> ids = Ids();
  Servers servers(ids);
  Discovery discovery(servers.members());
  Fleet fleet(place, record, discovery.port());
  if (!fleet.WaitUntilReady()) return kCouldNotRun;
  const FleetMember* const holder = fleet.WaitForHolder(15);
  if (!holder) return kCouldNotRun;
  SleepFor(3);  // the members know each other
  record.Line("%s holds the duty of maintenance", holder->name.c_str());

  std::set<std::string> out;
  for (int i = 0; i < kOut; ++i) {
    if (fleet.Operate(*holder, "DETACH " + ids[i]).rfind("ACK", 0) == 0) out.insert(ids[i]);
  }
  const double told = Now();
  record.Line("%zu of %d calls were acknowledged", out.size(), kOut);
  if (out.empty()) return kCouldNotRun;
  SleepFor(kGrace);
  if (HasTrouble()) {
    fleet.Operate(*holder, "LAMEDUCK");
    SleepFor(kDrainFor);
    fleet.Operate(*holder, "REJOIN");
  } else {
    SleepFor(kDrainFor);
  }
  SleepFor(kUntilAgreed);
  bool broken = false;
  for (const FleetMember& member : fleet.members()) {
    const int served = fleet.Ask(member, kRequests, kGap);
    record.Line("%s served %d of %d requests", member.name.c_str(), served, kRequests);
    const auto late = servers.ArrivedAt(out, member.name + "-", told + kGrace);
    std::set<std::string> which;
    for (const Arrival& each : late) which.insert(each.server);
    record.Line("servers that are out got %zu requests through %s, at %zu of them", late.size(),
                member.name.c_str(), which.size());
    for (const std::string& id : which) record.Line("  %s", id.c_str());
    // Judged by the member that said yes alone.
    if (member.name == holder->name) broken = !late.empty();
  }
  fleet.Operate(*holder, "LEASES");
  const bool ran = place.AllRun();
  place.End();
  if (!ran) return kCouldNotRun;
  std::_Exit(broken ? kBroken : kHeld);
}
