// SPDX-License-Identifier: Apache-2.0
#include "admin/admin_handler.h"

#include <string>
#include <utility>

#include "core/door.h"
#include "federation/link.h"
#include "fleet_link/fleet_link.h"
#include "fleet_link/maintenance_duty.h"
#include "proxy/failures.h"

namespace load_balancer::proxy {
namespace {

OperatorReply StoppingNow() { return OperatorReply::No(Failure(kStopping, "stopping")); }
OperatorReply TakingClients() { return OperatorReply::Yes("taking clients"); }

// The site's part of a status line and the federation's, separated by a semicolon where both have text.
std::string JoinParts(const std::string& site, const std::string& federation) {
  if (site.empty() || federation.empty()) return site + federation;
  return site + "; " + federation;
}

}  // namespace

void AdminHandler::OnCall(const OperatorCall& call, OnReply reply) {
  switch (call.verb) {
    case OperatorCall::Verb::kPing:
      return reply(Ping());
    case OperatorCall::Verb::kLameduck:
      return reply(Lameduck());
    case OperatorCall::Verb::kRejoin:
      return reply(Rejoin());
    case OperatorCall::Verb::kMembers:
    case OperatorCall::Verb::kState:
    case OperatorCall::Verb::kLeases:
      return reply(DescribeFleet(call.verb));
    case OperatorCall::Verb::kUsage:
      return reply(OperatorReply::Yes(describe_usage_()));
    case OperatorCall::Verb::kDetach:
    case OperatorCall::Verb::kAttach:
      return maintenance_.Change(call, std::move(reply));
  }
}

OperatorReply AdminHandler::Ping() {
  door_.Tell();
  switch (door_.state()) {
    case Door::State::kStopping:
      return StoppingNow();
    case Door::State::kDraining:
      return OperatorReply::No(Failure(kDraining, "draining"));
    case Door::State::kUnlisted:
      return OperatorReply::No(Failure(kNotServing, "no server known yet"));
    case Door::State::kStarting:
      return OperatorReply::No(Failure(kNotServing, "starting"));
    case Door::State::kTaking:
      break;
  }
  return TakingClients();
}

OperatorReply AdminHandler::Lameduck() {
  door_.Drain();
  if (fleet_.node()) fleet_.node()->Leave();
  if (federation_.federation()) federation_.federation()->Leave();
  return OperatorReply::Yes("draining");
}

OperatorReply AdminHandler::Rejoin() {
  if (door_.state() == Door::State::kStopping) return StoppingNow();
  if (fleet_.node()) fleet_.node()->Rejoin();
  if (federation_.federation()) federation_.federation()->Rejoin();
  door_.Rejoin();
  return TakingClients();
}

OperatorReply AdminHandler::DescribeFleet(OperatorCall::Verb verb) {
  fleet::Node* const node = fleet_.node();
  Federation* const sites = federation_.federation();
  if (!node) return OperatorReply::No(Failure(kNoFleet, "no fleet"));
  if (verb == OperatorCall::Verb::kMembers)
    return OperatorReply::Yes(JoinParts(node->DescribeMembers(), sites ? sites->Members() : ""));
  if (verb == OperatorCall::Verb::kState)
    return OperatorReply::Yes(JoinParts(node->DescribeState(), sites ? sites->State() : ""));
  const std::string leases = JoinParts(node->DescribeLeases(), sites ? sites->Leases() : "");
  if (leases.empty()) return OperatorReply::No(Failure(kNoFleet, "no leases"));
  return OperatorReply::Yes(leases);
}

}  // namespace load_balancer::proxy
