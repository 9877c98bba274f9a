// SPDX-License-Identifier: Apache-2.0
//
// What a process keeps on disk for its next life: the snapshot, a voter's votes, a budget allocator's ledger,
// which is a part of the snapshot, and the backends in maintenance.
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>

#include "fleet/lease/leases.h"
#include "fleet/lease/vote_file.h"
#include "golden_case.h"
#include "hot_restart.h"
#include "maintenance.h"
#include "quota/allocator.h"
#include "state/snapshot.h"
#include "temporary_folder.h"

namespace load_balancer::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char kProcess[] = "n1";
constexpr std::uint64_t kWrittenAt = 1764600000400;  // Unix ms

// ---- snapshot -----------------------------------------------------------------------------------------

json FieldsOf(const state::Snapshot& snapshot) {
  return {{"name", snapshot.name},
          {"sequence", snapshot.sequence},
          {"wall", snapshot.written_at},
          {"body", snapshot.body}};
}

json DecodedSnapshot(const Bytes& bytes) {
  constexpr std::uint64_t kMaxAgeMs = 60'000, kMaxSkewMs = 500;
  const auto snapshot = state::Decode(bytes, {kProcess, kWrittenAt + 1'000, kMaxAgeMs, kMaxSkewMs});
  if (const auto* rejection = std::get_if<state::SnapshotRejection>(&snapshot))
    throw std::runtime_error("refused: " + std::string(state::Name(*rejection)));
  return FieldsOf(std::get<state::Snapshot>(snapshot));
}

GoldenCase SnapshotCase() {
  state::Snapshot snapshot;
  snapshot.name = kProcess;
  snapshot.sequence = 12;
  snapshot.written_at = kWrittenAt;
  snapshot.body = {{"verdicts", {{{"server", "server-1"}, {"until", 1764600005000.5}, {"multiplier", 3}}}},
                   {"pace", {0.125, 2.5, 1.75, 1.0625}},
                   {"incarnation", 1764600000001},
                   {"tokens", {{"discovery", 1764600000125}, {"maintenance", 1764600000126}}},
                   {"sites",
                    {{"incarnation", 1764600000002},
                     {"tokens", {{"treasurer/0", 1764600000200}, {"ambassador/MUC", 7}}},
                     {"ledger", {{{"v", 1}, {"partners", {{"acme", {{"n1", 250000}}}}}}}}}}};
  return {"snapshot", FieldsOf(snapshot), [snapshot] { return state::Encode(snapshot); }, DecodedSnapshot};
}

// ---- votes --------------------------------------------------------------------------------------------

Bytes ReadAll(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return Bytes(std::istreambuf_iterator<char>(file), {});
}

void WriteAll(const std::filesystem::path& path, const Bytes& bytes) {
  std::ofstream(path, std::ios::binary)
      .write(reinterpret_cast<const char*>(bytes.data()), static_cast<std::streamsize>(bytes.size()));
}

const std::vector<std::string> kVoters{"127.0.0.1:7946", "127.0.0.2:7946", "127.0.0.3:7946"};

json FieldsOf(const fleet::StoredVotes& votes) {
  json fields = json::object();
  for (const auto& [duty, vote] : votes)
    fields[duty] = {{"holder", vote.holder},
                    {"token", vote.token},
                    {"largest", vote.largest_token},
                    {"span_ms", vote.duration_ms}};
  return fields;
}

GoldenCase VotesCase() {
  const fleet::StoredVotes votes{{"discovery", {"n2/1764600000001", 1764600000125, 1764600000125, 3100}},
                                 {"treasurer/0", {"n3/5", 0, 1764600000200, 3100}}};
  const auto encode = [votes] {
    const TemporaryFolder folder;
    fleet::VoteFile file(folder.path() / "votes", kProcess, kVoters);
    if (!file.Save(votes)) throw std::runtime_error("the votes were not saved");
    return ReadAll(folder.path() / "votes");
  };
  const auto decode = [](const Bytes& bytes) {
    const TemporaryFolder folder;
    WriteAll(folder.path() / "votes", bytes);
    const auto loaded = fleet::VoteFile(folder.path() / "votes", kProcess, kVoters).Load();
    if (!loaded) throw std::runtime_error(loaded.error().Text());
    return FieldsOf(loaded->value());
  };
  return {"votes", FieldsOf(votes), encode, decode};
}

// ---- ledger -------------------------------------------------------------------------------------------

constexpr char kDuty[] = "treasurer/0";
constexpr Time kStart = Time(std::chrono::hours(1));
constexpr quota::MilliUnits kBudgetRate = 100'000;  // of the partner, thousandths of a request a second

class NoOutlet : public fleet::Leases::Callbacks {
  void Send(const fleet::LeaseOptions::Endpoint&, const fleet::LeaseMessage&) override {}
  void OnLeaseStatus(const std::string&, fleet::LeaseStatus, fleet::FencingToken, Span,
                     std::string_view) override {}
  void OnFailure(const Failure&) override {}
};

// An allocator of one partner's budget over two gateways that holds its lease by the vote of its process
// alone.
class LoneAllocator {
 public:
  LoneAllocator() : leases_(Options(), kStart, outlet_), allocator_({0, 1, Layout(), {}}, OneBudget()) {
    leases_.Tick(now_, kWrittenAt);
  }

  json Ledger() const { return allocator_.Ledger(now_); }

  void Load(const json& ledger) {
    const auto loaded = allocator_.Load(now_, ledger);
    if (!loaded) throw std::runtime_error(loaded.error().Text());
  }

  // The rate that `gateway` is granted when it asks for `demand`.
  quota::MilliUnits GrantedRate(const std::string& gateway, quota::MilliUnits demand) {
    quota::AllocationRequest request;
    request.incarnation = 1;
    request.revision = 1;
    request.number = 1;
    request.grant_requests = {{{"acme", {}, 0}, demand, 1000}};
    quota::AllocatorActions actions;
    const auto proof = leases_.ProveLease(now_, kDuty);
    if (!proof) throw std::runtime_error("the lease is not held");
    allocator_.OnRequest(now_, *proof, gateway, request, &actions);
    for (const auto& action : actions)
      if (const auto* sent = std::get_if<quota::SendResponse>(&action);
          sent && !sent->response.grants.empty())
        return sent->response.grants.front().allocation.rate;
    return 0;
  }

 private:
  static fleet::LeaseOptions Options() {
    fleet::LeaseOptions options;
    options.holder = "n1/1";
    options.address = {boost::asio::ip::make_address("127.0.0.1"), 1};
    options.voters = {options.address};
    options.leased_roles = {{kDuty, fleet::LeasedRoleKind::kExclusive}};
    options.stored_votes = fleet::StoredVotes{};
    return options;
  }
  static quota::SiteLayout Layout() { return {{"MUC", {"n1", "n2"}}}; }
  static std::shared_ptr<const quota::Budgets> OneBudget() {
    quota::Budgets budgets;
    budgets.revision = 1;
    budgets.partners["acme"].rate = kBudgetRate;
    budgets.partners["acme"].burst = kBudgetRate;
    return std::make_shared<const quota::Budgets>(std::move(budgets));
  }

  NoOutlet outlet_;
  const Time now_ = kStart + milliseconds(1500);
  fleet::Leases leases_;
  quota::Allocator allocator_;
};

// A ledger has its effect on the grants that a new holder of the lease issues first: the demand that it has
// of the other gateway is left free.
GoldenCase LedgerCase() {
  constexpr quota::MilliUnits kDemandOfOther = 60'000;
  const auto encode = [] {
    LoneAllocator allocator;
    allocator.GrantedRate("n2", kDemandOfOther);
    return json::to_cbor(allocator.Ledger());
  };
  const auto decode = [](const Bytes& bytes) {
    const json ledger = json::from_cbor(bytes);
    LoneAllocator allocator;
    const quota::MilliUnits rate_without = LoneAllocator().GrantedRate("n1", kBudgetRate);
    allocator.Load(ledger);
    const quota::MilliUnits rate = allocator.GrantedRate("n1", kBudgetRate);
    return json{{"version", ledger.at("v")},
                {"partners", ledger.at("partners")},
                {"granted_rate", rate},
                {"granted_rate_without_ledger", rate_without}};
  };
  const json fields = {{"version", 1},
                       {"partners", {{"acme", {{"n2", kDemandOfOther}}}}},
                       {"granted_rate", 50'000},
                       {"granted_rate_without_ledger", kBudgetRate}};
  return {"ledger", fields, encode, decode};
}

// ---- backends in maintenance --------------------------------------------------------------------------

GoldenCase MaintenanceCase() {
  const std::set<std::string> detached{"server-1", "server-2", "zone/b:9"};
  const auto encode = [detached] {
    const TemporaryFolder folder;
    boost::asio::io_context io;
    proxy::HotRestart alone(io, folder.path() / "page");
    proxy::Maintenance maintenance(folder.path() / "maintenance", alone);
    for (const std::string& id : detached)
      if (!maintenance.Change(id, true)) throw std::runtime_error("the change was not kept");
    return ReadAll(folder.path() / "maintenance");
  };
  const auto decode = [](const Bytes& bytes) {
    const TemporaryFolder folder;
    WriteAll(folder.path() / "maintenance", bytes);
    boost::asio::io_context io;
    proxy::HotRestart alone(io, "");
    return json{{"detached", proxy::Maintenance(folder.path() / "maintenance", alone).out()}};
  };
  return {"maintenance", {{"detached", detached}}, encode, decode};
}

}  // namespace

std::vector<GoldenCase> StoredFileCases() {
  return {SnapshotCase(), VotesCase(), LedgerCase(), MaintenanceCase()};
}

}  // namespace load_balancer::testing
