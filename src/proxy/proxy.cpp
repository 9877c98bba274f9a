// SPDX-License-Identifier: Apache-2.0
#include "proxy.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"
#include "heap_usage.h"

namespace load_balancer::proxy {
namespace {

constexpr std::size_t kLeastPiece = 4 * 1024, kMostPiece = 16 * 1024;  // bytes
constexpr std::size_t kMaxProcesses = 2;                               // of one proxy, during an upgrade
constexpr std::size_t kProcessBytes = 8 * 1024 * 1024;                 // a process without its heap
constexpr std::size_t kAffinityPart = 8;        // of the heap's limit, for affinities of the fleet
constexpr std::size_t kServerBytes = 2 * 1024;  // a listed server without connections
constexpr std::size_t kListEntryBytes = 256, kMinListBytes = 64 * 1024, kMaxListBytes = 8 * 1024 * 1024;
constexpr std::size_t kMinHeapBytes = 4 * 1024 * 1024;
// The heap's share of the rest. What is left is lost between the blocks of the allocator.
constexpr double kHeapShare = 0.85;

std::string InState(const Config& config, const char* suffix) {
  return config.state_path.empty() ? "" : config.state_path + suffix;
}

// Divides the memory of the configuration. The heap gets what is left beside the code and the stacks of two
// processes, as an upgrade has two.
MemoryBudget::Limits MemoryLimits(const Config& config) {
  const std::size_t rest = config.memory - std::min(config.memory, kMaxProcesses * kProcessBytes);
  MemoryBudget::Limits limits;
  limits.total = std::max(static_cast<std::size_t>(static_cast<double>(rest) * kHeapShare), kMinHeapBytes);
  limits.buffered = std::min(config.memory, limits.total) / 4;
  limits.piece =
      std::clamp(config.memory / 8 / static_cast<std::size_t>(config.sockets), kLeastPiece, kMostPiece);
  limits.servers = limits.total / (kMaxProcesses * kServerBytes);
  limits.list = std::clamp(limits.servers * kListEntryBytes, kMinListBytes, kMaxListBytes);
  return limits;
}

// Of each name now, its index before; -1 if it had none.
std::vector<int> IndicesBefore(const std::vector<std::string>& before, const std::vector<std::string>& now) {
  std::vector<int> indices;
  for (const std::string& name : now) indices.push_back(IndexOf(before, name));
  return indices;
}

}  // namespace

Proxy::Proxy(boost::asio::io_context& io, Config config)
    : config_(std::make_shared<const Config>(std::move(config))),
      hot_restart_(io, InState(*config_, ".page")),
      memory_of_others_(hot_restart_.UsageOfOthers().memory),
      memory_(MemoryLimits(*config_), HeapInUse, [this] { return memory_of_others_; }),
      request_ids_(InState(*config_, ".requests")),
      pending_(request_ids_),
      actions_(module_, servers_, requests_, backends_, verdicts_, discovery_, fleet_),
      module_(io, config_->settings, config_->seed, actions_),
      verdicts_(module_),
      federation_(module_, pending_),
      fleet_(module_, servers_, discovery_, maintenance_, recovery_),
      maintenance_(fleet_, maintenance_controller_, config_->name, InState(*config_, ".maintenance-changes")),
      requests_(module_, pending_, request_ids_, servers_, backends_, fleet_, federation_, events_),
      limits_(config_->sockets, hot_restart_, memory_, clients_, backends_, federation_),
      servers_(config_->zones, config_->kinds, module_, backends_, verdicts_, memory_.limits().servers),
      maintenance_controller_(InState(*config_, ".maintenance"), hot_restart_, servers_, module_, backends_),
      discovery_(io, *config_, module_, servers_, door_, fleet_, memory_),
      backends_(io,
                Backends::Limits{config_->connect_timeout, config_->conn_idle,
                                 [this] { return limits_.MostBackends(); }},
                memory_),
      clients_(
          io, config_->listen, [this] { return limits_.MostClients(); }, memory_, events_, *this),
      door_(io, clients_, hot_restart_, servers_),
      recovery_(io, module_, verdicts_, servers_, fleet_, federation_),
      admin_handler_(door_, maintenance_, fleet_, federation_, [this] { return DescribeUsage(); }) {
  maintenance_controller_.Apply();
  servers_.Take(config_->known, ListKind::kCached);
  if (!config_->settings.must_poll_for_list) discovery_.Watch();
  door_.Begin();
  if (config_->operators) operators_ = std::make_unique<Operators>(io, *config_->operators, admin_handler_);
  fleet_.Begin(io, *config_, InState(*config_, ".votes"), memory_.limits().total / kAffinityPart);
  federation_.Begin(
      io, *config_, InState(*config_, ".sites-votes"), fleet_.node(),
      [this] { return limits_.MostBackends(); }, memory_);
  recovery_.Begin(*config_, InState(*config_, ".snapshot"));
  hot_restart_.StartPolling([this] { OnLook(); });
}

// What speaks to others ends before what it speaks of.
Proxy::~Proxy() {
  recovery_.End();
  federation_.End();
  fleet_.End();
}

void Proxy::Reconfigure(Config config) {
  const std::shared_ptr<const Config> before =
      std::exchange(config_, std::make_shared<const Config>(std::move(config)));
  NewSettings change;
  change.settings = std::shared_ptr<const Settings>(config_, &config_->settings);
  change.previous_class_indices = IndicesBefore(before->classes, config_->classes);
  change.previous_tenant_indices = IndicesBefore(before->tenants, config_->tenants);
  module_.Feed(std::move(change));
  backends_.SetTimeouts(config_->connect_timeout, config_->conn_idle);
  discovery_.MoveTo(config_->discovery);
  if (Federation* const sites = federation_.federation()) sites->Reconfigure(*config_);
}

void Proxy::Stop(std::function<void()> done) {
  if (fleet_.node()) fleet_.node()->Stop();
  if (Federation* const sites = federation_.federation()) sites->Stop();
  door_.Stop(config_->settings, std::move(done));
}

void Proxy::OnLook() {
  memory_of_others_ = hot_restart_.UsageOfOthers().memory;
  maintenance_controller_.Poll();
  door_.Tell();
  if (processes_ != hot_restart_.processes()) {
    processes_ = hot_restart_.processes();
    log::Info("proxy", std::to_string(processes_) + " processes are this proxy");
    module_.Feed(ProcessCount{processes_});
  }
  limits_.Share(processes_);
}

std::string Proxy::DescribeUsage() const {
  std::string text = "memory=" + std::to_string(memory_.in_use());
  text += " most_memory=" + std::to_string(memory_.limits().total);
  text += " buffered=" + std::to_string(memory_.buffered());
  text += " most_buffered=" + std::to_string(memory_.limits().buffered);
  text += " others_memory=" + std::to_string(memory_of_others_);
  text += " clients=" + std::to_string(clients_.connections());
  text += " most_clients=" + std::to_string(limits_.MostClients());
  text += " backends=" + std::to_string(backends_.connections());
  text += " most_backends=" + std::to_string(limits_.MostBackends());
  text += " requests=" + std::to_string(pending_.size());
  const std::string events = events_.Describe();
  return events.empty() ? text : text + "; " + events;
}

RequestId Proxy::OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) {
  return requests_.OnRequest(std::move(request), *config_, std::move(responder));
}

void Proxy::OnUploaded(RequestId request, Steady::time_point due) { requests_.OnUploaded(request, due); }

void Proxy::OnClientGone(RequestId request) { requests_.OnClientGone(request); }

void Proxy::OnClientUnknown(RequestId request) { requests_.OnClientUnknown(request); }

void Proxy::OnResponseUnread(RequestIds::Key request) { requests_.OnResponseUnread(request); }

bool Proxy::Ready() const { return !recovery_.Waits() && door_.Open(); }

bool Proxy::TakeOverflowMark(HttpRequest* message, const boost::asio::ip::address& peer) {
  return federation_.TakeMark(message, peer);
}

std::string Proxy::EstimateText() const { return federation_.EstimateText(); }

}  // namespace load_balancer::proxy
