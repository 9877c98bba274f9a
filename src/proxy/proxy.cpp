// SPDX-License-Identifier: Apache-2.0
#include "proxy.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

#include "base/log.h"
#include "fleet/failures.h"
#include "fleet/lease/failures.h"
#include "proxy/failures.h"
#include "state/failures.h"

namespace brackenspoke::proxy {
namespace {

// Descriptors: what is neither a client's nor a backend's, and the clients' part of the rest.
constexpr int kOtherDescriptors = 40;
constexpr double kClientShare = 0.6;
constexpr TimePoint kUnarmed{Duration(1e300)};
constexpr double kLeastShare = 8;
constexpr std::size_t kLeastPiece = 4 * 1024, kMostPiece = 16 * 1024;
constexpr Duration kStopGrace{600};  // connections go on coming for up to 400 ms after SIGTERM
// A request may be on its way to what stands idle; beside another process there is time to let it come.
constexpr Duration kStopIdle{500}, kReplacedIdle{2000};
constexpr Duration kReplacedGrace{50};  // none come where another process takes them
constexpr Duration kLongestToEnd{3000}, kEndMargin{700};
constexpr std::chrono::seconds kFreshList{3};  // what a second process waits for discovery
constexpr std::chrono::hours kServerFactLasts{
    12};  // of what a duty's holder makes known, unless it is renewed
constexpr std::chrono::milliseconds kSeenBy{700};  // for the other process to obey an operators' call

// Of the descriptors that the processes of this proxy share, for clients and for backends.
double SharedDescriptors(const Config& config, int processes) {
  return std::max(config.sockets - kOtherDescriptors * processes, config.sockets / 4);
}

bool NeverRan(Outcome outcome) {
  return outcome == Outcome::kFull || outcome == Outcome::kConnectFailed || outcome == Outcome::kMoot;
}

// What others leave of a limit, and a little: nobody is shut out for good.
std::size_t Rest(double limit, std::size_t others) {
  return static_cast<std::size_t>(std::max(limit - static_cast<double>(others), kLeastShare));
}

std::string InState(const Config& config, const char* suffix) {
  return config.state_path.empty() ? "" : config.state_path + suffix;
}

// Of the memory told, a quarter holds messages whole, and no more than another quarter goes for pieces if
// every connection passes a body on.
std::size_t MostHeldWhole(const Config& config) { return config.memory / 4; }

std::size_t PieceSize(const Config& config) {
  return std::clamp(config.memory / 8 / static_cast<std::size_t>(config.sockets), kLeastPiece, kMostPiece);
}

// Of each name now, its index before; -1 if it had none.
std::vector<int> IndicesBefore(const std::vector<std::string>& before, const std::vector<std::string>& now) {
  std::vector<int> indices;
  for (const std::string& name : now) {
    const auto found = std::find(before.begin(), before.end(), name);
    indices.push_back(found == before.end() ? -1 : static_cast<int>(found - before.begin()));
  }
  return indices;
}

// When SIGKILL may follow SIGTERM.
Duration TimeToEnd(const Settings& settings) {
  Duration longest{0};
  for (const ClassSettings& c : settings.classes) longest = std::max(longest, c.deadline);
  return std::min(longest, kLongestToEnd) + kEndMargin;
}

// Those of the site's fleet.
std::vector<fleet::DutySpec> DutiesOf(const Config& config) {
  auto duties = fleet::SiteDuties();
  if (config.spill.on)
    duties.push_back({SpillService::DutyOf(config.sites.site), fleet::DutyKind::kExclusive});
  return duties;
}

Discovery::Options DiscoveryOptions(const Config& config) {
  Discovery::Options options;
  options.address = config.discovery;
  options.revision = config.known.revision;
  options.reconnect =
      config.settings.must_ask_for_list ? Discovery::Reconnect::kWhenAsked : Discovery::Reconnect::kByItself;
  options.seed = config.seed;
  return options;
}

}  // namespace

Proxy::Proxy(boost::asio::io_context& io, Config config)
    : io_(io),
      config_(std::make_shared<const Config>(std::move(config))),
      overlap_(io, InState(*config_, ".page")),
      maintenance_(InState(*config_, ".maintenance"), overlap_),
      balancer_(config_->settings, config_->seed),
      recovery_timer_(io),
      armed_for_(kUnarmed),
      timer_(io),
      open_timer_(io),
      buffers_(MostHeldWhole(*config_), PieceSize(*config_), [this] { return overlap_.Others().buffers; }) {
  backends_ = std::make_unique<Backends>(
      io, Backends::Limits{config_->connect_timeout, config_->conn_idle, [this] { return MostBackends(); }},
      buffers_);
  clients_ = std::make_unique<Clients>(
      io, config_->listen, [this] { return MostClients(); }, buffers_, *this);
  discovery_ = std::make_unique<Discovery>(
      io, DiscoveryOptions(*config_), [this](const MemberList& list) { OnNews(list); },
      [this] {
        Feed(ListUpdate{ListKind::kFailed, {}});
      });
  ObeyMaintenance();
  OnList(config_->known, ListKind::kCached);
  listed_ = !config_->known.members.empty();
  if (!config_->settings.must_ask_for_list) discovery_->Watch();
  if (overlap_.processes() == 1) {
    clients_->Open();
    overlap_.Listening();
  } else {
    open_timer_.expires_after(kFreshList);
    open_timer_.async_wait([this](const boost::system::error_code& cancelled) {
      if (!cancelled && !clients_->Listening()) OpenWhenListed();
    });
  }
  if (config_->operators) operators_ = std::make_unique<Operators>(io, *config_->operators, *this);
  if (config_->fleet.on) {
    const std::uint64_t seed = config_->seed ^ StableHash(config_->name);
    for (const Member& member : config_->known.members) known_servers_[member.id] = member;
    fleet::NodeOptions options;
    options.duties = DutiesOf(*config_);
    options.votes = InState(*config_, ".votes");
    fleet_ =
        std::make_unique<fleet::Node>(io, config_->fleet, config_->name, seed, *this, std::move(options));
  }
  if (config_->sites.on) BeginFederation();
  if (config_->state.on) BeginState();
  overlap_.Watch([this] { OnLook(); });
}

Proxy::~Proxy() = default;

// Beside another process of this proxy, its clients are not to notice this one before it has fresh news.
void Proxy::OpenWhenListed() {
  if (!listed_ || clients_->Stopping()) return;
  clients_->Open();
  overlap_.Listening();
  overlap_.SetTaking(Taking());
}

bool Proxy::Taking() const { return listed_ && clients_->Listening() && !clients_->Draining(); }

// To clients all processes of this proxy are one.
bool Proxy::Ready() const {
  return !recovering_ && (Taking() || (clients_->Stopping() && overlap_.OtherTakes()));
}

void Proxy::Stop(std::function<void()> done) {
  if (fleet_) fleet_->Stop();
  if (federation_) federation_->Stop();
  const bool replaced = overlap_.OtherTakes();
  if (replaced) clients_->Steer(overlap_.OtherIsLater() ? 1 : 0);
  clients_->Stop(replaced ? kReplacedGrace : kStopGrace, replaced ? kReplacedIdle : kStopIdle,
                 Steady::now() + std::chrono::duration_cast<Steady::duration>(TimeToEnd(config_->settings)),
                 std::move(done));
  overlap_.SetTaking(false);
}

void Proxy::Reconfigure(Config config) {
  const std::shared_ptr<const Config> before =
      std::exchange(config_, std::make_shared<const Config>(std::move(config)));
  NewSettings change;
  change.settings = std::shared_ptr<const Settings>(config_, &config_->settings);
  change.classes_before = IndicesBefore(before->classes, config_->classes);
  change.tenants_before = IndicesBefore(before->tenants, config_->tenants);
  Feed(std::move(change));
  backends_->SetTimes(config_->connect_timeout, config_->conn_idle);
  discovery_->MoveTo(config_->discovery);
  if (federation_) federation_->Reconfigure(*config_);
}

void Proxy::OnLook() {
  if (maintenance_.Refresh()) ObeyMaintenance();
  overlap_.Seen(maintenance_.version());
  AnswerSeen();
  overlap_.SetTaking(Taking());
  if (processes_ != overlap_.processes()) {
    processes_ = overlap_.processes();
    log::Info("proxy", std::to_string(processes_) + " processes are this proxy");
    Feed(Sharing{processes_});
  }
  ShareLimits();
}

// Two processes have the limits of one: what stands idle over a fair share is closed for the other.
void Proxy::ShareLimits() {
  overlap_.Publish({clients_->connections(), backends_->connections(), buffers_.held()});
  if (processes_ == 1) return;
  const double fair = SharedDescriptors(*config_, processes_) / processes_;
  clients_->Shrink(static_cast<std::size_t>(fair * kClientShare));
  backends_->Shrink(static_cast<std::size_t>(fair * (1 - kClientShare)));
}

std::size_t Proxy::MostClients() {
  overlap_.Publish({clients_->connections(), backends_->connections(), buffers_.held()});
  const double all = SharedDescriptors(*config_, overlap_.processes());
  return Rest(all * kClientShare, overlap_.Others().clients);
}

std::size_t Proxy::MostBackends() {
  overlap_.Publish({clients_->connections(), backends_->connections(), buffers_.held()});
  const double all = SharedDescriptors(*config_, overlap_.processes());
  const std::size_t spilled = federation_ && federation_->spill() ? federation_->spill()->connections() : 0;
  return Rest(all * (1 - kClientShare), overlap_.Others().backends + spilled);
}

void Proxy::OnCall(const OperatorCall& call, OnReply reply) {
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
      return reply(AskFleet(call));
    case OperatorCall::Verb::kDetach:
    case OperatorCall::Verb::kAttach:
      return ChangeMaintenance(call, std::move(reply));
  }
}

OperatorReply Proxy::Ping() {
  overlap_.SetTaking(Taking());
  if (clients_->Stopping()) return OperatorReply::No(Failure(kStopping, "stopping"));
  if (clients_->Draining()) return OperatorReply::No(Failure(kDraining, "draining"));
  if (!listed_) return OperatorReply::No(Failure(kNotServing, "no server known yet"));
  if (!clients_->Listening()) return OperatorReply::No(Failure(kNotServing, "starting"));
  return OperatorReply::Yes("taking clients");
}

OperatorReply Proxy::AskFleet(const OperatorCall& call) {
  if (!fleet_) return OperatorReply::No(Failure(kNoFleet, "no fleet"));
  const auto with = [this](std::string line, const std::string& more) {
    return federation_ && !more.empty() ? std::move(line) + (line.empty() ? "" : "; ") + more : line;
  };
  if (call.verb == OperatorCall::Verb::kMembers)
    return OperatorReply::Yes(with(fleet_->Describe(), federation_ ? federation_->Members() : ""));
  if (call.verb == OperatorCall::Verb::kState)
    return OperatorReply::Yes(with(fleet_->DescribeState(), federation_ ? federation_->State() : ""));
  const std::string leases = with(fleet_->DescribeLeases(), federation_ ? federation_->Leases() : "");
  if (leases.empty()) return OperatorReply::No(Failure(kNoFleet, "no leases"));
  return OperatorReply::Yes(leases);
}

// From discovery itself, which the duty's holder alone watches.
void Proxy::OnNews(const MemberList& list) {
  if (!Does(fleet::kDiscoveryDuty)) return discovery_->Pause();
  OnList(list, list.complete ? ListKind::kFull : ListKind::kDelta);
  Record(list);
  if (!clients_->Listening()) OpenWhenListed();
}

// What the fleet is to be told: the entries that changed, and as gone those that a complete list lacks.
void Proxy::Record(const MemberList& list) {
  if (!fleet_) return;
  revision_ = list.revision;
  std::unordered_set<std::string> named;
  for (const Member& member : list.members) {
    named.insert(member.id);
    known_servers_[member.id] = member;
    PublishServer(member.id);
  }
  if (!list.complete) return;
  for (auto& [id, member] : known_servers_) {
    if (named.contains(id) || member.state == ServerState::kGone) continue;
    member.state = ServerState::kGone;
    PublishServer(id);
  }
}

void Proxy::PublishServer(const std::string& id) {
  const auto guard = fleet_->Guard(fleet::kDiscoveryDuty);
  if (!guard) return;
  const auto published = fleet_->Publish(
      *guard, "server/" + id,
      {{"revision", revision_}, {"members", nlohmann::json::array({ToJson(known_servers_.at(id))})}},
      kServerFactLasts);
  if (!published) log::Warn("fleet", published.error());
}

Result<void> Proxy::PublishMaintenance(const fleet::LeaseGuard& guard) {
  return fleet_->Publish(guard, "maintenance", maintenance_.out(), kServerFactLasts);
}

void Proxy::WatchDiscovery() {
  if (fleet_) discovery_->SetToken(fleet_->HeldToken(fleet::kDiscoveryDuty));
  discovery_->Watch();
}

// A new holder says everything anew, under its own token.
void Proxy::OnRole(const std::string& duty, fleet::Role role) {
  const bool holds = role == fleet::Role::kHolder;
  const bool renewed = holds && std::exchange(held_[duty], holds);
  held_[duty] = holds;
  if (renewed) return;
  if (duty == fleet::kMaintenanceDuty) {
    if (const auto guard = fleet_->Guard(duty))
      if (const auto published = PublishMaintenance(*guard); !published)
        log::Warn("fleet", published.error());
    return;
  }
  if (!Does(fleet::kDiscoveryDuty)) return discovery_->Pause();
  for (const auto& [id, member] : known_servers_) PublishServer(id);
  WatchDiscovery();
}

void Proxy::OnDutyFact(const fleet::DutyFact& fact) {
  if (fact.duty == fleet::kDiscoveryDuty) return OnFleetServer(fact);
  if (fact.duty != fleet::kMaintenanceDuty || !fact.value.is_array()) return;
  std::set<std::string> out;
  for (const nlohmann::json& id : fact.value)
    if (id.is_string() && !id.get<std::string>().empty()) out.insert(id.get<std::string>());
  if (out != maintenance_.out() && maintenance_.Replace(std::move(out))) ObeyMaintenance();
}

// A list's entry from the holder of the duty, which has it from discovery.
void Proxy::OnFleetServer(const fleet::DutyFact& fact) {
  std::string why;
  const auto list = ParseMembers(fact.value, &why);
  if (!list || list->complete)
    return log::Warn("fleet", Failure(fleet::kBadListEntry, "no entry of a list from the holder: " + why));
  OnList(*list, ListKind::kDelta);
  for (const Member& member : list->members) known_servers_[member.id] = member;
  if (!clients_->Listening()) OpenWhenListed();
}

// Advice: the module weighs it like any event.
void Proxy::OnVerdict(const fleet::Verdict& verdict) {
  Feed(PeerVerdict{numbers_.Of(verdict.server), clock_.FromUnix(static_cast<double>(verdict.until)),
                   verdict.failures, verdict.attempts});
}

void Proxy::OnKey(const fleet::KeySite& site, fleet::UnixMs met) {
  Feed(PeerKey{numbers_.Of(site.server), site.key, clock_.FromUnix(static_cast<double>(met))});
}

void Proxy::OnShare(int most_in_flight) { Feed(ServerShare{most_in_flight}); }

// The last snapshot, if it passes; without one, with a fleet, a peer's state, if it comes in time.
void Proxy::BeginState() {
  state::KeeperOptions options;
  options.path = InState(*config_, ".snapshot");
  options.name = config_->name;
  options.interval = config_->state.snapshot_interval;
  options.most_age = config_->state.max_age;
  options.most_skew = config_->fleet.most_skew;
  keeper_ = std::make_unique<state::Keeper>(io_, options);
  if (const auto body = keeper_->Recover()) {
    try {
      Take(*body);
    } catch (const nlohmann::json::exception& error) {
      log::Warn("state", Failure(state::kSnapshotNotWhole, options.path, error.what()));
    }
  } else if (fleet_ && config_->state.peer_wait.count() > 0) {
    recovering_ = true;
    recovery_timer_.expires_after(config_->state.peer_wait);
    recovery_timer_.async_wait([this](const boost::system::error_code& cancelled) {
      if (cancelled || !std::exchange(recovering_, false)) return;
      log::Info("state", "no peer's state in time");
    });
  }
  keeper_->Begin([this] { return Collect(); });
}

void Proxy::OnJoined() {
  if (!std::exchange(recovering_, false)) return;
  recovery_timer_.cancel();
  log::Info("state", "recovered from a peer");
}

// For the next life of this process.
nlohmann::json Proxy::Collect() const {
  nlohmann::json body;
  const double now = clock_.ToUnix(clock_.Now());
  body["verdicts"] = nlohmann::json::array();
  for (const auto& [id, verdict] : own_verdicts_)
    if (verdict.until_unix_ms > now)
      body["verdicts"].push_back(
          {{"server", id}, {"until", verdict.until_unix_ms}, {"multiplier", verdict.multiplier}});
  const Pace pace = balancer_.Learnt();
  body["pace"] = {pace.answers_per_ms, pace.work_per_ms, pace.warm_work_per_ms, pace.stretch};
  if (fleet_) {
    const auto kept = fleet_->Keep();
    body["incarnation"] = kept.incarnation;
    body["tokens"] = kept.tokens;
  }
  if (federation_) body["sites"] = federation_->Keep();
  return body;
}

// Throws json::exception on what is out of form; what came before it holds.
void Proxy::Take(const nlohmann::json& body) {
  const double now = clock_.ToUnix(clock_.Now());
  for (const auto& verdict : body.at("verdicts")) {
    const OwnVerdict own{verdict.at("until").get<double>(), verdict.at("multiplier").get<int>(), true};
    const auto id = verdict.at("server").get<std::string>();
    const double left = own.until_unix_ms - now;
    if (!(left > 0) || left > kLongestEjection.count()) continue;  // over, or none that this program writes
    own_verdicts_[id] = own;
    log::Info("state",
              "verdict server=" + id + " left_ms=" + std::to_string(std::llround(left)) + " restored");
  }
  RestoreListed();
  const auto& pace = body.at("pace");
  const auto figure = [&pace](std::size_t i) {
    const double x = pace.at(i).get<double>();
    return std::isfinite(x) && x >= 0 ? x : 0;
  };
  Feed(Pace{figure(0), figure(1), figure(2), figure(3)});
  if (federation_ && body.contains("sites")) federation_->Restore(body.at("sites"));
  if (!fleet_ || !body.contains("incarnation")) return;
  fleet_->Restore({body.at("incarnation").get<std::uint64_t>(),
                   body.at("tokens").get<std::map<std::string, fleet::Token>>()});
}

// Before any request can see a server that a life before had taken out.
void Proxy::RestoreListed() {
  for (auto& [id, verdict] : own_verdicts_) {
    if (!verdict.waits || !in_list_.contains(id)) continue;
    verdict.waits = false;
    Feed(Restored{numbers_.Of(id), clock_.FromUnix(verdict.until_unix_ms), verdict.multiplier});
  }
}

void Proxy::Do(const Ejected& action) {
  own_verdicts_[numbers_.IdOf(action.server)] = {clock_.ToUnix(action.until), action.multiplier, false};
  if (!fleet_) return;
  fleet::Verdict verdict;
  verdict.server = numbers_.IdOf(action.server);
  verdict.until = static_cast<fleet::UnixMs>(clock_.ToUnix(action.until));
  verdict.failures = action.failures;
  verdict.attempts = action.attempts;
  fleet_->Tell(std::move(verdict));
}

OperatorReply Proxy::Lameduck() {
  clients_->Drain();
  overlap_.SetTaking(false);
  if (fleet_) fleet_->Leave();
  if (federation_) federation_->Leave();
  return OperatorReply::Yes("draining");
}

OperatorReply Proxy::Rejoin() {
  if (clients_->Stopping()) return OperatorReply::No(Failure(kStopping, "stopping"));
  if (fleet_) fleet_->Rejoin();
  if (federation_) federation_->Rejoin();
  clients_->Rejoin();
  overlap_.SetTaking(Taking());
  return OperatorReply::Yes("taking clients");
}

Failure Proxy::NotTheHolder() const {
  if (fleet_->FollowerOf(fleet::kMaintenanceDuty))
    return Failure(fleet::kHeldElsewhere, fleet_->HolderOf(fleet::kMaintenanceDuty));
  return Failure(fleet::kNoHolder, fleet::kMaintenanceDuty);
}

void Proxy::ChangeMaintenance(const OperatorCall& call, OnReply reply) {
  std::optional<fleet::LeaseGuard> guard;
  if (fleet_ && fleet_->leased()) {
    guard = fleet_->Guard(fleet::kMaintenanceDuty);
    if (!guard) return reply(OperatorReply::No(NotTheHolder()));
  }
  const bool out = call.verb == OperatorCall::Verb::kDetach;
  if (maintenance_.Refresh()) ObeyMaintenance();
  if (!numbers_.Has(call.id)) return reply(OperatorReply::No(Failure(kUnknownServer, "unknown ID")));
  const std::set<std::string> before = maintenance_.out();
  if (!maintenance_.Change(call.id, out))
    return reply(OperatorReply::No(Failure(kNotKept, "cannot be kept")));
  if (guard) {
    // The disk may have taken longer than the lease; then the change is another holder's to make.
    const auto published = PublishMaintenance(*guard);
    if (!published) {
      maintenance_.Replace(before);
      return reply(OperatorReply::No(published.error()));
    }
  }
  ObeyMaintenance();
  unseen_.push_back({maintenance_.version(), Steady::now() + kSeenBy,
                     OperatorReply::Yes(out ? "detached" : "attached"), std::move(reply)});
  AnswerSeen();
}

// Tells the module, and the connections, what has changed.
void Proxy::ObeyMaintenance() {
  const std::set<std::string> before = std::exchange(detached_, maintenance_.out());
  numbers_.Learn(std::vector<std::string>(detached_.begin(), detached_.end()));
  for (const std::string& id : detached_) {
    if (before.contains(id)) continue;
    Feed(Detach{numbers_.Of(id)});
    backends_->Detach(numbers_.Of(id));
  }
  for (const std::string& id : before) {
    if (detached_.contains(id)) continue;
    backends_->Attach(numbers_.Of(id));
    Feed(Attach{numbers_.Of(id)});
  }
}

void Proxy::AnswerSeen() {
  for (std::size_t i = 0; i < unseen_.size();) {
    const bool seen = overlap_.SeenByAll(unseen_[i].version);
    if (!seen && Steady::now() < unseen_[i].until) {
      ++i;
      continue;
    }
    const Unseen answered = std::move(unseen_[i]);
    unseen_.erase(unseen_.begin() + static_cast<std::ptrdiff_t>(i));
    answered.on_reply(seen ? answered.reply
                           : OperatorReply::No(Failure(kNotSeen, "not seen by the other process")));
  }
}

// The only caller of Handle. An action may bring about an event at once: it waits its turn here, so that
// Handle is never entered while its actions are being carried out.
void Proxy::Feed(Event event) {
  // News of the list go before what waits: a request must not be sent by an older list than has been told.
  if (std::holds_alternative<ListUpdate>(event)) {
    const auto first_other = std::find_if(events_.begin(), events_.end(), [](const Event& e) {
      return !std::holds_alternative<ListUpdate>(e);
    });
    events_.insert(first_other, std::move(event));
  } else {
    events_.push_back(std::move(event));
  }
  if (handling_) return;
  // Guards against a fault while actions are carried out leaving the proxy deaf: the next event goes on.
  struct Handling {
    explicit Handling(bool& flag) : flag(flag) { flag = true; }
    ~Handling() { flag = false; }
    bool& flag;
  };
  {
    const Handling handling(handling_);
    HandleQueued();
  }
  ArmTimer();
}

void Proxy::HandleQueued() {
  std::vector<Action> actions;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    balancer_.Handle(clock_.Now(), next, &actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { Do(a); }, action);
  }
}

void Proxy::OnList(const MemberList& list, ListKind kind) {
  numbers_.Learn(list.members);
  if (kind != ListKind::kDelta) {
    std::unordered_set<ServerId> named;
    for (const Member& m : list.members) named.insert(numbers_.Of(m.id));
    backends_->RetireOthers(named);
  }
  if (kind != ListKind::kDelta) in_list_.clear();
  ListUpdate update;
  update.kind = kind;
  for (const Member& m : list.members) {
    if (m.state == ServerState::kGone)
      in_list_.erase(m.id);
    else
      in_list_.insert(m.id);
    ServerEntry entry;
    entry.server = numbers_.Of(m.id);
    entry.zone = ZoneOf(m.zone);
    const auto kind_name = std::find(config_->kinds.begin(), config_->kinds.end(), m.kind);
    entry.kind = static_cast<int>(kind_name - config_->kinds.begin());
    entry.cell = m.cell;
    entry.state = m.state;
    entry.weight = m.weight;
    entry.up_since = clock_.FromUnix(m.up_since_unix_ms);
    update.entries.push_back(entry);
    if (m.state == ServerState::kReady) {
      backends_->Set(entry.server, m.address, m.up_since_unix_ms);
    } else {
      backends_->Retire(entry.server);
    }
  }
  listed_ |= !list.members.empty();
  Feed(std::move(update));
  RestoreListed();
}

// A zone that the settings don't name is a zone of its own, none of those that they do.
int Proxy::ZoneOf(const std::string& name) const {
  const auto found = std::find(config_->zones.begin(), config_->zones.end(), name);
  if (found != config_->zones.end()) return static_cast<int>(found - config_->zones.begin());
  return static_cast<int>(0x10000 + (StableHash(name) & 0x3fffffff));
}

RequestId Proxy::OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) {
  const RequestId id = ++last_request_;
  Submit submit;
  submit.request = id;
  submit.due = clock_.At(request.due);
  submit.request_class = request.request_class;
  submit.tenant = request.tenant;
  submit.key = request.key;
  submit.has_hint = request.has_hint;
  submit.client_retry = request.client_retry;
  submit.work_ms = request.work_ms;
  submit.uploading = request.body != nullptr;
  Pending pending;
  if (!Admit(request, *responder, &pending, &submit)) return id;
  pending.message = std::make_shared<const HttpRequest>(std::move(request.message));
  pending.hold = std::move(request.hold);
  pending.key = request.key;
  pending.body = std::move(request.body);
  pending.config = std::move(request.config);
  pending.due = request.due;
  pending.responder = std::move(responder);
  pending.submit = submit;
  pending.came = clock_.Now();
  pending_.emplace(id, std::move(pending));
  Feed(submit);
  return id;
}

// False if it has had its answer: its owner is over a budget that refuses.
bool Proxy::Admit(const ClientRequest& request, Responder& responder, Pending* pending, Submit* submit) {
  submit->spilled = request.spilled;
  if (!federation_ || request.spilled || request.config->tenants.empty()) return true;
  const std::string& owner = request.config->tenants[static_cast<std::size_t>(request.tenant)];
  const auto charged = federation_->Charge(owner, request.has_hint ? request.work_ms : MeanWork());
  pending->ticket = charged.ticket;
  if (charged.verdict != quota::Verdict::kUnknown)
    submit->share = charged.verdict == quota::Verdict::kInside ? Share::kInside : Share::kOver;
  if (charged.verdict != quota::Verdict::kOver || charged.over != quota::Over::kRefuse) return true;
  const Duration most = request.config->settings.max_retry_after;
  responder.OverBudget(std::min(most, Duration(charged.retry_after)));
  return false;
}

// Of a request without a hint, in ms: the mean of those answered.
double Proxy::MeanWork() const {
  const Pace pace = balancer_.Learnt();
  return pace.answers_per_ms > 0 ? pace.work_per_ms / pace.answers_per_ms : 1;
}

void Proxy::CreditIfNotRun(const Pending& pending) {
  if (federation_ && !pending.attempt_out && !pending.may_have_run) federation_->Credit(pending.ticket);
}

void Proxy::OnClientGone(RequestId request) {
  if (!Conclude(request)) return;
  CreditIfNotRun(pending_.at(request));
  ForgetIfOver(request);
  if (federation_ && federation_->spill()) federation_->spill()->Gone(request);
  Feed(ClientGone{request});
}

void Proxy::Do(const Dispatch& action) {
  const auto found = pending_.find(action.request);
  const auto now = Steady::now();
  // Numbered by the order of their Dispatch; one that cannot go out is over at once, and never ran.
  const int attempt = found == pending_.end() ? 0 : found->second.attempts++;
  if (found == pending_.end() || !found->second.responder || found->second.attempt_out ||
      now >= found->second.due || attempt >= found->second.config->settings.max_attempts) {
    AttemptEnded end;
    end.request = action.request;
    end.attempt = attempt;
    end.server = action.server;
    end.settled = found == pending_.end() || !found->second.responder;
    end.outcome = Outcome::kMoot;
    return Feed(end);
  }
  Pending& pending = found->second;
  pending.attempt_out = true;
  pending.sent_at = now;
  Duration timeout = pending.due - now;
  if (action.timeout.count() != 0) timeout = std::clamp(action.timeout, Duration(0), timeout);
  Outgoing out;
  out.head = pending.message->base();
  out.head.set("Req-Deadline-Ms", std::to_string(static_cast<long long>(std::ceil(timeout.count()))));
  out.whole = {pending.message, &pending.message->body()};
  out.body = pending.body;
  AttemptEvents events;
  events.begun = [this, id = action.request, attempt](AnswerHead head) {
    OnAttemptBegun(id, attempt, std::move(head));
  };
  events.done = [this, id = action.request, attempt, server = action.server](AttemptResult result) {
    OnAttemptDone(id, attempt, server, std::move(result));
  };
  if (fleet_ && pending.key != 0) fleet_->Tell(fleet::KeySite{pending.key, numbers_.IdOf(action.server)});
  backends_->Send(action.server, std::move(out), timeout, std::move(events));
}

void Proxy::OnUploaded(RequestId request, Steady::time_point due) {
  const auto found = pending_.find(request);
  if (found == pending_.end()) return;
  found->second.due = due;
  found->second.sent_at = Steady::now();
  Feed(Uploaded{request, clock_.At(due)});
}

void Proxy::OnAttemptBegun(RequestId request, int attempt, AnswerHead head) {
  const auto responder = Conclude(request);
  if (!responder) return head.body->Abandon();
  Pending& pending = pending_.at(request);
  pending.first_bytes = Steady::now() - pending.sent_at;
  Feed(StreamStarted{request, attempt});
  responder->Begun(std::move(head));
}

void Proxy::OnAttemptDone(RequestId request, int attempt, ServerId server, AttemptResult result) {
  AttemptEnded end;
  end.request = request;
  end.attempt = attempt;
  end.server = server;
  end.outcome = result.outcome;
  const auto found = pending_.find(request);
  if (found != pending_.end()) {
    Pending& pending = found->second;
    pending.attempt_out = false;
    pending.may_have_run |= !NeverRan(result.outcome);
    const bool passed_on = pending.first_bytes.count() > 0;
    end.took = passed_on ? pending.first_bytes : Duration(Steady::now() - pending.sent_at);
    end.repeatable = !pending.body || !pending.body->Spent();
  }
  if (result.outcome == Outcome::kOk) {
    if (const auto responder = Conclude(request))
      responder->Served(std::move(result.response), std::move(result.hold));
  }
  end.settled = found == pending_.end() || !found->second.responder;
  ForgetIfOver(request);
  Feed(end);
}

// Ends the request: whoever gets the responder gives the one final answer.
std::shared_ptr<Responder> Proxy::Conclude(RequestId request) {
  const auto found = pending_.find(request);
  return found == pending_.end() ? nullptr : std::exchange(found->second.responder, nullptr);
}

void Proxy::ForgetIfOver(RequestId request) {
  const auto found = pending_.find(request);
  if (found != pending_.end() && !found->second.responder && !found->second.attempt_out)
    pending_.erase(found);
}

void Proxy::Do(const Refuse& action) {
  if (!Spill(action.request, action.retry_after)) AnswerRefused(action.request, action.retry_after);
}

void Proxy::Do(const Fail& action) {
  if (const auto responder = Conclude(action.request)) {
    CreditIfNotRun(pending_.at(action.request));
    responder->Failed();
  }
  ForgetIfOver(action.request);
}

// ---- the federation -----------------------------------------------------------------------------------
void Proxy::BeginFederation() {
  const auto connections = [this] { return std::max<std::size_t>(8, MostBackends() / 4); };
  federation_ = std::make_unique<Federation>(io_, *config_, InState(*config_, ".sites-votes"), *fleet_,
                                             connections, buffers_, static_cast<SpillHost&>(*this));
  if (config_->spill.on) Feed(SpillShare{config_->spill.options.most_part});
}

bool Proxy::TakeMark(HttpRequest* message, const boost::asio::ip::address& peer) {
  return federation_ && federation_->spill() && federation_->spill()->TakeMark(message, peer);
}

std::string Proxy::EstimateText() const {
  return federation_ && federation_->spill() ? federation_->spill()->EstimateText() : "";
}

// Offers what the module has refused; false if it is not to be had whole, or may have run here.
bool Proxy::Spill(RequestId request, Duration retry_after) {
  const auto found = pending_.find(request);
  if (!federation_ || !federation_->spill() || found == pending_.end() || !found->second.responder)
    return false;
  Pending& pending = found->second;
  if (pending.body || pending.attempt_out || pending.may_have_run) return false;
  const ClassSettings& rules = pending.config->settings.classes[pending.submit.request_class];
  const auto span = [](Duration d) { return std::chrono::duration_cast<Span>(d); };
  const TimePoint now = clock_.Now();
  spill::Refused refused;
  refused.request = request;
  refused.effect = rules.effect;
  refused.aim_left = span(pending.came + rules.aim - now);
  refused.deadline_left = pending.due - Steady::now();
  refused.work_ms = pending.submit.has_hint ? pending.submit.work_ms : MeanWork();
  refused.worth = rules.worth;
  refused.key = pending.key;
  refused.within_budget = pending.submit.share != Share::kOver;
  refused.spilled = pending.submit.spilled;
  refused.retry_after = span(retry_after);
  pending.may_have_run = true;  // until it comes back as refused
  federation_->spill()->Offer(refused, pending.message);
  return true;
}

void Proxy::OnSpillBegun(RequestId request, AnswerHead head) {
  const auto responder = Conclude(request);
  responder ? responder->Begun(std::move(head)) : head.body->Abandon();
  ForgetIfOver(request);
}

void Proxy::OnSpillServed(RequestId request, HttpResponse answer, Buffers::Hold hold) {
  if (const auto responder = Conclude(request)) responder->Served(std::move(answer), std::move(hold));
  ForgetIfOver(request);
}

void Proxy::OnSpillRefused(RequestId request, Duration retry_after) {
  if (const auto found = pending_.find(request); found != pending_.end()) found->second.may_have_run = false;
  AnswerRefused(request, retry_after);
}

void Proxy::AnswerRefused(RequestId request, Duration retry_after) {
  if (const auto responder = Conclude(request)) {
    CreditIfNotRun(pending_.at(request));
    responder->Refused(retry_after);
  }
  ForgetIfOver(request);
}

void Proxy::OnSpillFailed(RequestId request) {
  if (const auto responder = Conclude(request)) responder->Failed();
  ForgetIfOver(request);
}

void Proxy::Do(const SetTimer& action) { timers_.emplace(action.at, action.token); }

void Proxy::Do(const Subscribe&) {
  if (Does(fleet::kDiscoveryDuty)) return WatchDiscovery();
  Feed(ListUpdate{ListKind::kDelta, {}});  // the holder has subscribed
}

void Proxy::Do(const struct CloseIdle& action) { backends_->CloseIdle(action.server); }

void Proxy::Do(const Log& action) { log::Info("module", action.text); }

// Guards against a timer that the module thinks has not come yet: rounding may wake this a moment early, and
// the module would not ask again.
void Proxy::ArmTimer() {
  if (timers_.empty() || timers_.begin()->first >= armed_for_) return;
  armed_for_ = timers_.begin()->first;
  timer_.expires_at(clock_.ToSteady(timers_.begin()->first));
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    armed_for_ = kUnarmed;
    while (!timers_.empty() && timers_.begin()->first <= clock_.Now()) {
      const std::uint64_t token = timers_.begin()->second;
      timers_.erase(timers_.begin());
      Feed(TimerFired{token});
    }
    ArmTimer();
  });
}

}  // namespace brackenspoke::proxy
