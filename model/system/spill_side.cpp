// SPDX-License-Identifier: Apache-2.0
#include "model/system/spill_side.h"

#include <algorithm>
#include <utility>

#include "overflow/incoming.h"

namespace load_balancer::model {
namespace {

constexpr double kPerSecond = 1000;  // ms in a second

overflow::ForwardOutcome OutcomeOf(Ending ending) {
  if (ending == Ending::kServed) return overflow::ForwardOutcome::kOk;
  return ending == Ending::kRefused ? overflow::ForwardOutcome::kRejected
                                    : overflow::ForwardOutcome::kMayHaveRun;
}

}  // namespace

SpillSide::SpillSide(Host& host, PoolMember& site, PoolMember& wide, std::size_t machine,
                     const Wiring& wiring, Checks& checks, SpillHost& requests)
    : host_(host),
      site_(site),
      wide_(wide),
      machine_(machine),
      wiring_(wiring),
      own_site_(wiring.sites.at(site.options().site)),
      duty_(Wiring::AmbassadorOf(own_site_)),
      checks_(checks),
      requests_(requests),
      spill_(wiring.spill, wiring.directory, own_site_, wide.options().seed, host.Now()),
      next_look_(host.Now()) {}

// ---- requests on their way ----------------------------------------------------------------------------
void SpillSide::Offer(const overflow::RejectedRequest& refused, const ClientAsk& ask,
                      const RequestReceived& received) {
  Open& open = open_[refused.request];
  open.ask = ask;
  open.received = received;
  Feed(refused);
}

void SpillSide::Gone(RequestId request) {
  if (open_.erase(request) > 0) Feed(overflow::ClientGone{request});
}

void SpillSide::Feed(const overflow::Event& event) {
  std::vector<overflow::Action> actions;
  spill_.Handle(host_.Now(), event, &actions);
  for (const auto& action : actions) std::visit([this](const auto& a) { Do(a); }, action);
}

void SpillSide::Do(const overflow::ForwardTo& action) {
  const auto found = open_.find(action.request);
  if (found == open_.end()) return;
  Open& open = found->second;
  open.at = action.destination;
  open.sent = host_.Now();
  open.timeout = open.sent + action.timeout;
  ClientAsk ask = open.ask;
  ask.left = action.timeout;
  ask.mark = overflow::FormatMark({own_site_, host_.Name()});
  checks_.Spilled(own_site_, open.at.site, open.received, {ask.call, ask.tried});
  host_.Send(wiring_.addresses.at(open.at.gateway), std::move(ask), kAskBytes);
}

void SpillSide::Receive(const Endpoint& from, const ClientAnswer& answer) {
  if (!answer.estimate.empty())
    if (const auto estimate = overflow::FromJson(nlohmann::json::parse(answer.estimate)))
      Feed(overflow::EstimateReceived{*estimate, host_.Wall()});
  const auto found = std::find_if(open_.begin(), open_.end(), [&](const auto& each) {
    const Open& open = each.second;
    return open.ask.call == answer.call && open.ask.tried == answer.tried && open.timeout != Time::max() &&
           wiring_.addresses.at(open.at.gateway) == from;
  });
  if (found != open_.end()) OnDone(found->first, OutcomeOf(answer.ending));
}

void SpillSide::OnDone(RequestId request, overflow::ForwardOutcome outcome) {
  Open& open = open_.at(request);
  const overflow::RemoteGateway neighbour = open.at;
  const Span took = host_.Now() - open.sent;
  open.timeout = Time::max();
  if (outcome == overflow::ForwardOutcome::kOk) {
    open_.erase(request);
    requests_.OnSpillServed(request);
  }
  Feed(overflow::ForwardEnded{request, neighbour, outcome, took, std::nullopt});
}

void SpillSide::Do(const overflow::GiveUp& action) {
  if (open_.erase(action.request) == 0) return;
  if (action.may_have_run) return requests_.OnSpillFailed(action.request);
  requests_.OnSpillRefused(action.request, action.retry_after);
}

// ---- requests that come from others -------------------------------------------------------------------
bool SpillSide::TakeMark(ClientAsk* ask, const Endpoint& peer) const {
  const std::string mark = std::exchange(ask->mark, "");
  return !mark.empty() &&
         overflow::VerifyMark(wiring_.directory, own_site_, mark, peer.address()).has_value();
}

std::string SpillSide::EstimateText() const {
  const overflow::Estimate* estimate = spill_.FindEstimate(own_site_);
  return estimate ? overflow::ToJson(*estimate).dump() : "";
}

// ---- estimates ----------------------------------------------------------------------------------------
void SpillSide::OnPoolFact(const fleet::FencedValue& fact) {
  const auto estimate = overflow::FromJson(fact.value);
  if (estimate && fact.key == "estimate/" + estimate->site &&
      fact.role == Wiring::AmbassadorOf(estimate->site))
    Feed(overflow::EstimateReceived{*estimate, host_.Wall()});
}

Time SpillSide::Next() const {
  Time next = next_look_;
  for (const auto& [request, open] : open_) next = std::min(next, open.timeout);
  return next;
}

void SpillSide::Tick() {
  const Time now = host_.Now();
  std::vector<RequestId> late;
  for (const auto& [request, open] : open_)
    if (open.timeout <= now) late.push_back(request);
  for (const RequestId request : late) OnDone(request, overflow::ForwardOutcome::kMayHaveRun);
  if (now < next_look_) return;
  next_look_ = now + wiring_.spill.estimate_interval;
  Look();
}

void SpillSide::Look() {
  LookAtPresence();
  Feed(overflow::Tick{});
  TellSpare();
  MakeEstimate();
}

void SpillSide::LookAtPresence() {
  const auto& others = wide_.membership().others();
  for (const auto& [site, gateways] : wiring_.directory) {
    if (site == own_site_) continue;
    for (const auto& [name, at] : gateways) {
      const auto found = others.find(name);
      if (found == others.end()) continue;  // not heard of yet
      const fleet::MemberState state = found->second.update.state;
      const bool present = state == fleet::MemberState::kAlive || state == fleet::MemberState::kSuspect;
      const auto [before, fresh] = present_.try_emplace(name, present);
      if (!fresh && before->second == present) continue;
      before->second = present;
      Feed(overflow::PresenceChanged{{site, name}, present});
    }
  }
}

overflow::MemberSpareCapacity SpillSide::OwnSpare() const {
  const load_balancer::SpareCapacity spare = requests_.SpareNow();
  return {spare.work_per_ms * kPerSecond, spare.work_per_ms_lower_bound * kPerSecond,
          std::chrono::ceil<std::chrono::milliseconds>(spare.wait)};
}

// To the ambassador, wherever it is.
void SpillSide::TellSpare() {
  const overflow::MemberSpareCapacity spare = OwnSpare();
  if (ambassador_) ambassador_->RecordMember(host_.Now(), host_.Name(), spare);
  const std::string holder = site_.HolderOf(duty_);
  const auto member = site_.membership().others().find(holder);
  if (holder == host_.Name() || member == site_.membership().others().end()) return;
  site_.Send(member->second.update.address, kChannel,
             {{"mean", spare.mean}, {"low", spare.low}, {"wait_ms", spare.wait.count()}});
}

void SpillSide::HearSpare(const std::string& member, const nlohmann::json& payload) {
  if (!ambassador_) return;
  const auto wait = std::chrono::milliseconds(payload.at("wait_ms").get<std::int64_t>());
  ambassador_->RecordMember(host_.Now(), member,
                            {payload.at("mean").get<double>(), payload.at("low").get<double>(), wait});
}

void SpillSide::MakeEstimate() {
  const auto proof = site_.ProveLease(duty_);
  if (!proof) {
    ambassador_.reset();
    office_ = 0;
    return;
  }
  if (std::exchange(office_, proof->token()) != proof->token()) {
    ambassador_.emplace(wiring_.spill, own_site_);
    ambassador_->RecordMember(host_.Now(), host_.Name(), OwnSpare());
    return;  // the others are heard until the next time
  }
  const auto estimate = ambassador_->MakeEstimate(host_.Now(), host_.Wall(), *proof);
  if (!estimate) return;
  if (!wide_.Publish(*proof, "estimate/" + own_site_, overflow::ToJson(*estimate), wiring_.spill.staleness))
    return;
  checks_.Acted(machine_, kSitePool, duty_, proof->token());
  checks_.Estimated(own_site_, std::min(wiring_.spill.offered_fraction * static_cast<double>(estimate->mean),
                                        static_cast<double>(estimate->low)));
  Feed(overflow::EstimateReceived{*estimate, host_.Wall()});
}

bool SpillSide::HasEstimateOf(const std::string& site) const {
  const overflow::Estimate* estimate = spill_.FindEstimate(site);
  const auto lives =
      static_cast<std::uint64_t>((wiring_.spill.staleness + wiring_.spill.max_clock_skew).count());
  return estimate && estimate->made_at + lives > host_.Wall();
}

}  // namespace load_balancer::model
