// SPDX-License-Identifier: Apache-2.0
#include "federation/spill_service.h"

#include <spdlog/fmt/fmt.h>

#include <cmath>
#include <utility>

#include "base/log.h"
#include "base/wall_clock.h"
#include "overflow/incoming.h"
#include "proxy/failures.h"

namespace load_balancer::proxy {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr const char* kChannel = "spare";
constexpr std::chrono::seconds kBetweenComplaints{1};
constexpr double kPerSecond = 1000;  // ms in a second

overflow::Directory DirectoryOf(const fleet::SitesSection& sites) {
  overflow::Directory directory;
  for (const auto& [site, gateways] : sites.gateways)
    for (const auto& [name, at] : gateways) directory[site][name] = {at.pool, at.clients};
  return directory;
}

// Its own connections come from where it serves clients, by which others know it.
Tcp::endpoint OwnAddress(const fleet::SitesSection& sites, const std::string& self) {
  return {sites.gateways.at(sites.site).at(self).clients.address(), 0};
}

overflow::ForwardOutcome OutcomeOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return overflow::ForwardOutcome::kOk;
    case Outcome::kOverloaded:
      return overflow::ForwardOutcome::kRejected;
    case Outcome::kConnectFailed:
    case Outcome::kNotSent:
      return overflow::ForwardOutcome::kNotRun;
    default:
      return overflow::ForwardOutcome::kMayHaveRun;
  }
}

double FigureIn(const nlohmann::json& payload, const char* key) {
  const auto found = payload.find(key);
  const double figure = found != payload.end() && found->is_number() ? found->get<double>() : 0;
  return std::isfinite(figure) && figure > 0 ? figure : 0;
}

overflow::MemberSpareCapacity MemberSpareOf(const load_balancer::SpareCapacity& spare) {
  return {spare.work_per_ms * kPerSecond, spare.work_per_ms_lower_bound * kPerSecond,
          std::chrono::ceil<std::chrono::milliseconds>(spare.wait)};
}

}  // namespace

SpillService::SpillService(asio::io_context& io, const fleet::SitesSection& sites,
                           const overflow::OverflowSection& section, const std::string& self,
                           std::uint64_t seed, std::function<std::size_t()> most_connections,
                           MemoryBudget& memory, Pool& pool, fleet::Node& site, SpillHost& host)
    : sites_(sites),
      options_(section.options),
      self_(self),
      duty_(DutyOf(sites.site)),
      pool_(pool),
      site_(site),
      host_(host),
      spill_(options_, DirectoryOf(sites), sites.site, seed, Steady::now()),
      neighbours_(io,
                  Backends::Limits{.max_connections = std::move(most_connections),
                                   .local_address = OwnAddress(sites, self),
                                   .servers_are_proxies = true,
                                   .on_head = [this](const auto& head) { OnHead(head); }},
                  memory),
      timer_(io) {
  for (const auto& [other, gateways] : sites_.gateways) {
    if (other == sites_.site) continue;
    for (const auto& [name, at] : gateways) {
      const auto number = static_cast<ServerId>(numbers_.size() + 1);
      numbers_[{other, name}] = number;
      neighbours_.Set(number, at.clients, 0);
    }
  }
  site_.Subscribe(kChannel, [this](const fleet::Update& sender, const nlohmann::json& payload) {
    HearSpare(sender.name, payload);
  });
  Look();
}

// ---- requests on their way ----------------------------------------------------------------------------
void SpillService::Offer(const overflow::RejectedRequest& refused,
                         std::shared_ptr<const HttpRequest> message) {
  open_[refused.request].message = std::move(message);
  Feed(refused);
}

void SpillService::Gone(RequestId request) {
  const auto open = open_.find(request);
  if (open == open_.end()) return;
  const AttemptId attempt = open->second.attempt;
  open_.erase(open);
  Feed(overflow::ClientGone{request});
  neighbours_.CancelIfUnwritten(attempt);
}

void SpillService::Feed(const overflow::Event& event) {
  std::vector<overflow::Action> actions;
  spill_.Handle(Steady::now(), event, &actions);
  for (const auto& action : actions) std::visit([this](const auto& a) { Do(a); }, action);
}

void SpillService::Do(const overflow::ForwardTo& action) {
  const auto open = open_.find(action.request);
  if (open == open_.end()) return;
  const auto timeout = std::chrono::duration_cast<Duration>(action.timeout);
  OutgoingRequest out;
  out.head = open->second.message->base();
  out.head.set(std::string(overflow::kMarkHeader), overflow::FormatMark({sites_.site, self_}));
  out.complete_body = {open->second.message, &open->second.message->body()};
  AttemptEvents events;
  const auto sent = Steady::now();
  events.stream_started = [this, request = action.request, neighbour = action.destination,
                           sent](ResponseHead head) {
    if (open_.erase(request) == 0) return head.body->Abandon();
    host_.OnSpillBegun(request, std::move(head));
    Feed(overflow::ForwardEnded{request, neighbour, overflow::ForwardOutcome::kOk, Steady::now() - sent,
                                std::nullopt});
  };
  events.done = [this, request = action.request, neighbour = action.destination, sent](AttemptResult result) {
    OnDone(request, neighbour, sent, std::move(result));
  };
  open->second.attempt =
      neighbours_.Send(numbers_.at(action.destination), std::move(out), timeout, std::move(events));
}

void SpillService::OnDone(RequestId request, const overflow::RemoteGateway& neighbour,
                          Steady::time_point sent, AttemptResult result) {
  const overflow::ForwardOutcome outcome = OutcomeOf(result.outcome);
  if (outcome == overflow::ForwardOutcome::kOk && open_.erase(request) > 0)
    host_.OnSpillServed(request, std::move(result.response), std::move(result.reservation));
  Feed(overflow::ForwardEnded{request, neighbour, outcome, Steady::now() - sent, std::nullopt});
}

void SpillService::Do(const overflow::GiveUp& action) {
  if (open_.erase(action.request) == 0) return;
  if (action.may_have_run) return host_.OnSpillFailed(action.request);
  host_.OnSpillRefused(action.request, std::chrono::duration_cast<Duration>(action.retry_after));
}

void SpillService::Do(const overflow::Log& action) {
  if (action.kind)
    log::Warn("spill", Failure(*action.kind, action.text));
  else
    log::Info("spill", action.text);
}

// ---- requests that come from others -------------------------------------------------------------------
bool SpillService::TakeMark(HttpRequest* message, const asio::ip::address& peer) {
  const auto header = std::string(overflow::kMarkHeader);
  const auto mark = message->find(header);
  if (mark == message->end()) return false;
  const bool single = message->count(header) == 1;
  const auto judged = overflow::VerifyMark(DirectoryOf(sites_), sites_.site,
                                           {mark->value().data(), mark->value().size()}, peer);
  message->erase(header);
  if (judged) return single;
  if (Steady::now() >= next_complaint_) {
    next_complaint_ = Steady::now() + kBetweenComplaints;
    log::Warn("spill", judged.error());
  }
  return false;
}

std::string SpillService::EstimateText() const {
  const overflow::Estimate* estimate = spill_.FindEstimate(sites_.site);
  return estimate ? overflow::ToJson(*estimate).dump() : "";
}

// ---- estimates ----------------------------------------------------------------------------------------
void SpillService::OnHead(const boost::beast::http::response_header<>& head) {
  const auto text = head.find(std::string(overflow::kEstimateHeader));
  if (text == head.end()) return;
  const auto value = nlohmann::json::parse(text->value().begin(), text->value().end(), nullptr,
                                           /*allow_exceptions=*/false);
  if (const auto estimate = overflow::FromJson(value))
    Feed(overflow::EstimateReceived{*estimate, UnixMilliseconds()});
  else
    log::Warn("spill", estimate.error());
}

void SpillService::OnPoolFact(const fleet::FencedValue& fact) {
  const auto estimate = overflow::FromJson(fact.value);
  if (!estimate) return log::Warn("spill", estimate.error());
  if (fact.key == "estimate/" + estimate->site && fact.role == DutyOf(estimate->site))
    Feed(overflow::EstimateReceived{*estimate, UnixMilliseconds()});
}

void SpillService::Look() {
  LookAtPresence();
  Feed(overflow::Tick{});
  TellSpare();
  MakeEstimate();
  timer_.expires_after(options_.estimate_interval);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) Look();
  });
}

void SpillService::LookAtPresence() {
  const auto now = pool_.Present();
  for (const auto& [neighbour, number] : numbers_) {
    const auto found = now.find(neighbour.gateway);
    if (found == now.end()) continue;  // not heard of yet
    const auto [before, fresh] = present_.try_emplace(neighbour.gateway, found->second);
    if (!fresh && before->second == found->second) continue;
    before->second = found->second;
    Feed(overflow::PresenceChanged{neighbour, found->second});
  }
}

// To the ambassador, wherever it is.
void SpillService::TellSpare() {
  const overflow::MemberSpareCapacity spare = MemberSpareOf(host_.SpareNow());
  if (ambassador_) ambassador_->RecordMember(Steady::now(), self_, spare);
  const std::string holder = site_.HolderOf(duty_);
  const std::string name = holder.substr(0, holder.find('/'));
  if (!site_.membership() || name.empty() || name == self_) return;
  const auto member = site_.membership()->others().find(name);
  if (member == site_.membership()->others().end()) return;
  if (!site_.Send(member->second.update.address, kChannel,
                  {{"mean", spare.mean}, {"low", spare.low}, {"wait_ms", spare.wait.count()}}))
    log::Error("spill", Failure(kNotSent, "member=" + name, "the site's spare"));
}

void SpillService::HearSpare(const std::string& member, const nlohmann::json& payload) {
  if (!ambassador_ || !payload.is_object()) return;
  const auto wait = std::chrono::milliseconds(static_cast<std::int64_t>(FigureIn(payload, "wait_ms")));
  ambassador_->RecordMember(Steady::now(), member,
                            {FigureIn(payload, "mean"), FigureIn(payload, "low"), wait});
}

void SpillService::MakeEstimate() {
  const auto proof = site_.ProveLease(duty_);
  if (!proof) {
    ambassador_.reset();
    office_ = 0;
    return;
  }
  if (std::exchange(office_, proof->token()) != proof->token()) {
    ambassador_.emplace(options_, sites_.site);
    ambassador_->RecordMember(Steady::now(), self_, MemberSpareOf(host_.SpareNow()));
    log::Info("spill", fmt::format("duty={} token={} makes the site's estimates", duty_, office_));
    return;  // the others are heard until the next time
  }
  const auto estimate = ambassador_->MakeEstimate(Steady::now(), UnixMilliseconds(), *proof);
  if (!estimate) return;
  const auto published = pool_.node().Publish(*proof, "estimate/" + sites_.site, overflow::ToJson(*estimate),
                                              options_.staleness);
  if (!published) return log::Warn("spill", published.error());
  Feed(overflow::EstimateReceived{*estimate, UnixMilliseconds()});
}

}  // namespace load_balancer::proxy
