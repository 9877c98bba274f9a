// SPDX-License-Identifier: Apache-2.0
//
// A server is taken out by a call that the holder of maintenance acknowledges, just after it was cut off from
// the other members for 5.5 s. Is the server still out once the cut has healed?
#include "fleet.h"

namespace {

using namespace review;

constexpr double kCutFor = 5.5, kUntilAgreed = 30, kGrace = 2.05;
constexpr int kRequests = 150;
constexpr double kGap = 0.02;

}  // namespace

int main(int, char** argv) {
  Record record(argv[1]);
  Workplace place;
  const std::string out = "s-5be2a07c";
  Servers servers({out, "s-61c07d13", "s-7a90e2f4", "s-80b1c6d5"});
  Discovery discovery(servers.members());
  Fleet fleet(place, record, discovery.port());
  if (!fleet.WaitUntilReady()) return kCouldNotRun;
  const FleetMember* const holder = fleet.WaitForHolder(15);
  if (!holder) return kCouldNotRun;
  SleepFor(3);  // the members know each other
  record.Line("%s holds the duty of maintenance", holder->name.c_str());

  if (HasTrouble()) {
    record.Line("%s is cut off from the other members", holder->name.c_str());
    fleet.relay().CutOff(holder->bind);
  }
  const std::string answer = fleet.Operate(*holder, "DETACH " + out);
  const double told = Now();
  if (answer.rfind("ACK", 0) != 0) return kCouldNotRun;
  SleepFor(kCutFor);
  fleet.relay().CutOff(0);
  if (HasTrouble()) record.Line("the cut has healed after %.1f s", kCutFor);
  // The longest that anything may take to be known everywhere: three terms, two exchanges of tables.
  SleepFor(kUntilAgreed);
  const double since = Now();
  for (const FleetMember& member : fleet.members())
    record.Line("%s served %d of %d requests", member.name.c_str(), fleet.Ask(member, kRequests, kGap),
                kRequests);
  fleet.Operate(*holder, "LEASES");
  bool broken = false;
  for (const FleetMember& member : fleet.members()) {
    const auto late = servers.ArrivedAt({out}, member.name + "-", std::max(since, told + kGrace));
    record.Line("%s, which is out since %.4f, got %zu requests through %s", out.c_str(), told, late.size(),
                member.name.c_str());
    // Judged by the member that said yes alone.
    if (member.name == holder->name) broken = !late.empty();
  }
  const bool ran = place.AllRun();
  place.End();
  if (!ran) return kCouldNotRun;
  std::_Exit(broken ? kBroken : kHeld);
}
