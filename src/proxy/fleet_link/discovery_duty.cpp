// SPDX-License-Identifier: Apache-2.0
#include "fleet_link/discovery_duty.h"

#include <nlohmann/json.hpp>
#include <unordered_set>

#include "base/log.h"
#include "core/door.h"
#include "core/module_driver.h"
#include "core/server_directory.h"
#include "fleet/failures.h"
#include "fleet_link/fact_life.h"
#include "fleet_link/fleet_link.h"
#include "memory_budget.h"

namespace load_balancer::proxy {
namespace {

constexpr std::size_t kMaxGoneServers = 4096;  // that are kept

Discovery::Options OptionsOf(const Config& config, const MemoryBudget& memory) {
  Discovery::Options options;
  options.address = config.discovery;
  options.revision = config.known.revision;
  options.reconnect =
      config.settings.must_poll_for_list ? Discovery::Reconnect::kWhenAsked : Discovery::Reconnect::kByItself;
  options.seed = config.seed;
  options.max_list_bytes = memory.limits().list;
  options.max_list_entries = 2 * memory.limits().servers;  // as many servers may go as come
  options.has_room = [&memory](std::size_t bytes) { return memory.HasRoom(bytes); };
  return options;
}

}  // namespace

DiscoveryDuty::DiscoveryDuty(boost::asio::io_context& io, const Config& config, ModuleDriver& module,
                             ServerDirectory& servers, Door& door, FleetLink& fleet,
                             const MemoryBudget& memory)
    : module_(module),
      servers_(servers),
      door_(door),
      fleet_(fleet),
      discovery_(
          io, OptionsOf(config, memory), [this](const MemberList& list) { OnNews(list); },
          [this] {
            module_.Feed(ListUpdate{ListKind::kFailed, {}});
          }) {}

void DiscoveryDuty::Watch() {
  if (fleet_.node()) discovery_.SetToken(fleet_.node()->HeldToken(fleet::kDiscoveryDuty));
  discovery_.Watch();
}

void DiscoveryDuty::Subscribe() {
  if (fleet_.Does(fleet::kDiscoveryDuty)) return Watch();
  module_.Feed(ListUpdate{ListKind::kDelta, {}});  // the holder has subscribed
}

void DiscoveryDuty::Know(const std::vector<Member>& members) {
  for (const Member& member : members) known_[member.id] = member;
  ForgetGone();
}

// Limits how many servers that are gone are known, of which a list may name ever new ones.
void DiscoveryDuty::ForgetGone() {
  if (known_.size() <= servers_.listed() + kMaxGoneServers) return;
  std::erase_if(known_, [](const auto& entry) { return entry.second.state == ServerState::kGone; });
}

// A new holder says everything anew, under its own token.
void DiscoveryDuty::OnLeaseStatus() {
  if (!fleet_.Does(fleet::kDiscoveryDuty)) return discovery_.Pause();
  std::vector<std::string> ids;
  for (const auto& [id, member] : known_) ids.push_back(id);
  Publish(ids);
  Watch();
}

void DiscoveryDuty::OnFact(const fleet::FencedValue& fact) {
  std::string why;
  const auto list = ParseMembers(fact.value, &why);
  if (!list || list->complete)
    return log::Warn("fleet", Failure(fleet::kBadListEntry, "no entry of a list from the holder: " + why));
  servers_.Take(*list, ListKind::kDelta);
  Know(list->members);
  door_.OnList();
}

// From discovery itself.
void DiscoveryDuty::OnNews(const MemberList& list) {
  if (!fleet_.Does(fleet::kDiscoveryDuty)) return discovery_.Pause();
  servers_.Take(list, list.complete ? ListKind::kFull : ListKind::kDelta);
  Record(list);
  door_.OnList();
}

// What the fleet is to be told: the entries that changed, and as gone those that a complete list lacks.
void DiscoveryDuty::Record(const MemberList& list) {
  if (!fleet_.node()) return;
  revision_ = list.revision;
  std::unordered_set<std::string> named;
  std::vector<std::string> changed;
  for (const Member& member : list.members) {
    if (member.state != ServerState::kGone && !servers_.Listed(member.id)) continue;  // too many
    named.insert(member.id);
    known_[member.id] = member;
    changed.push_back(member.id);
  }
  for (auto& [id, member] : known_) {
    if (!list.complete || named.contains(id) || member.state == ServerState::kGone) continue;
    member.state = ServerState::kGone;
    changed.push_back(id);
  }
  Publish(changed);
  ForgetGone();
}

void DiscoveryDuty::Publish(const std::vector<std::string>& ids) {
  const auto proof = fleet_.node()->ProveLease(fleet::kDiscoveryDuty);
  if (!proof) return;
  std::vector<fleet::NamedValue> values;
  for (const std::string& id : ids)
    values.push_back(
        {"server/" + id,
         {{"revision", revision_}, {"members", nlohmann::json::array({ToJson(known_.at(id))})}}});
  const auto published = fleet_.node()->Publish(*proof, std::move(values), kFactLasts);
  if (!published) log::Warn("fleet", published.error());
}

}  // namespace load_balancer::proxy
