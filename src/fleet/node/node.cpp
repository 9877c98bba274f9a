// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/node.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/log.h"
#include "base/wall_clock.h"
#include "fleet/failures.h"
#include "fleet/lease/failures.h"
#include "fleet/node/describe.h"

namespace brackenspoke::fleet {
namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;
using Steady = std::chrono::steady_clock;

MembershipOptions OptionsOf(const FleetSection& section, const std::string& name, std::uint64_t seed) {
  MembershipOptions options;
  options.fleet = section.name;
  options.name = name;
  options.address = section.advertise;
  options.seeds = section.seeds;
  options.probe_interval = section.probe_interval;
  options.suspicion_multiplier = section.suspicion_multiplier;
  options.indirect_probes = section.indirect_probes;
  options.retransmit_multiplier = section.retransmit_multiplier;
  options.sync_interval = section.sync_interval;
  options.forget_after = section.forget;
  options.incarnation = UnixMilliseconds();
  options.seed = seed;
  return options;
}

double Seconds(Span span) { return std::chrono::duration<double>(span).count(); }

TransportOptions TransportOptionsOf(const FleetSection& section, const std::string& component) {
  TransportOptions options;
  options.component = component;
  options.fleet = section.name;
  options.bind = section.bind;
  options.retry = section.probe_interval;
  options.most_bytes_per_second = section.most_bytes_per_second;
  return options;
}

}  // namespace

Node::Node(asio::io_context& io, const FleetSection& section, const std::string& name, std::uint64_t seed,
           Facts& facts, NodeOptions options)
    : section_(section),
      name_(name),
      seed_(seed),
      options_(std::move(options)),
      facts_(facts),
      timer_(io),
      transport_(io, TransportOptionsOf(section, options_.component), *this),
      state_(section, name, options_.component, facts, *this),
      share_(io, section, options_.component, facts) {
  transport_.Open();
}

void Node::OnOpen() {
  log::Info(options_.component, "joining fleet=" + section_.name + " member=" + name_ + " bind=" +
                                    Text(section_.bind) + " advertise=" + Text(section_.advertise));
  membership_.emplace(OptionsOf(section_, name_, seed_), Steady::now(),
                      static_cast<Membership::Outlet&>(*this));
  state_.Join(&*membership_);
  share_.Join(&*membership_);
  if (away_) membership_->Leave(Steady::now());
  StartLeases();
  share_.Settle();
  Arm();
}

void Node::OnMessage(const Message& message) {
  membership_->Receive(Steady::now(), message);
  state_.Receive(message);
  if (leases_ && message.lease) leases_->Receive(Steady::now(), message.sender.address, *message.lease);
  const bool payload = message.kind == Message::Kind::kPayload && message.sender.name != name_;
  if (payload && !channels_.Deliver(message)) transport_.Count(Drop::kOtherChannel);
  if (!stopped_) Arm();
}

void Node::StartLeases() {
  if (section_.lease_term.count() == 0) return Restore(kept_);
  LeaseOptions options;
  options.holder = holder_ = fmt::format("{}/{}.{}", name_, membership_->self().last.incarnation,
                                         Steady::now().time_since_epoch().count());
  options.address = section_.advertise;
  options.voters = section_.seeds;
  options.term = section_.lease_term;
  options.drift = section_.lease_drift;
  options.duties = options_.duties;
  options.seed = seed_;
  LoadVotes(&options);
  leases_.emplace(std::move(options), Steady::now(), static_cast<Leases::Outlet&>(*this));
  if (away_) leases_->Release(Steady::now());
  Restore(kept_);
}

// Once the address is had: the process that had it before votes no more.
void Node::LoadVotes(LeaseOptions* options) {
  if (options_.votes.empty()) return;
  std::vector<std::string> voters;
  for (const Udp::endpoint& voter : options->voters) voters.push_back(Text(voter));
  votes_ = std::make_unique<VoteFile>(options_.votes, name_, std::move(voters));
  options->store = votes_.get();
  auto loaded = votes_->Load();
  if (loaded) {
    options->votes = std::move(*loaded);
    return;
  }
  options->may_vote = &loaded.error().kind() != &kVotersLeapt;
  log::Error(options_.component, loaded.error());
}

void Node::OnFailure(const Failure& failure) { log::Error(options_.component, failure); }

Node::Kept Node::Keep() const {
  Kept kept = kept_;
  if (membership_) kept.incarnation = membership_->self().last.incarnation;
  for (const auto& [duty, kind] : options_.duties)
    if (leases_) kept.tokens[duty] = leases_->largest(duty);
  return kept;
}

void Node::Restore(const Kept& kept) {
  kept_ = kept;
  if (membership_) membership_->Outlive(Steady::now(), kept.incarnation);
  if (!leases_) return;
  for (const auto& [duty, token] : kept.tokens) leases_->Outgrow(duty, token);
}

void Node::Send(const Udp::endpoint& to, const LeaseMessage& lease) {
  Message message;
  message.kind = Message::Kind::kLease;
  message.sender = membership_->self().last;
  message.lease = lease;
  Send(to, message);
}

void Node::OnRole(const std::string& duty, Role role, Token token, Span left, std::string_view why) {
  const auto left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
  log::Info(options_.component, fmt::format("lease duty={} role={} token={} left_ms={} why={}", duty,
                                            Name(role), token, left_ms, why));
  facts_.OnRole(duty, role);
  const auto guard = Guard(duty);
  if (!guard) return;
  const auto published = Publish(*guard, "lease/" + duty, {{"holder", holder_}, {"left_ms", left_ms}}, left);
  if (!published) log::Warn(options_.component, published.error());
}

bool Node::Does(const std::string& duty) const {
  // An exclusive one never without a lease, though the address is not had yet.
  const auto exclusive = [&](const DutySpec& each) {
    return each.name == duty && each.kind == DutyKind::kExclusive;
  };
  if (!leases_) return !leased() || std::none_of(options_.duties.begin(), options_.duties.end(), exclusive);
  const Role role = leases_->role(Steady::now(), duty);
  return role == Role::kHolder || role == Role::kAlone;
}

std::optional<LeaseGuard> Node::Guard(const std::string& duty) const {
  return leases_ ? leases_->Guard(Steady::now(), duty) : std::nullopt;
}

bool Node::FollowerOf(const std::string& duty) const {
  return leases_ && leases_->role(Steady::now(), duty) == Role::kFollower;
}

Token Node::HeldToken(const std::string& duty) const {
  return leases_ && leases_->role(Steady::now(), duty) == Role::kHolder ? leases_->token(duty) : 0;
}

std::string Node::HolderOf(const std::string& duty) const { return leases_ ? leases_->holder(duty) : ""; }

Result<void> Node::Publish(const LeaseGuard& guard, const std::string& key, nlohmann::json value,
                           Span lasts) {
  if (!guard.Holds(Steady::now())) return tl::unexpected(Failure(kPastDeadline, key));
  const UnixMs now = UnixMilliseconds();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(lasts).count();
  state_.Tell(DutyFact{guard.duty(), key, guard.token(), now + static_cast<UnixMs>(ms), std::move(value)});
  return {};
}

std::string Node::DescribeLeases() const {
  if (!leases_) return "";
  const Time now = Steady::now();
  std::string line;
  for (const auto& [duty, kind] : options_.duties)
    line += fmt::format("{}{} {} holder={} token={} left={:.1f}s kind={}", line.empty() ? "" : ", ", duty,
                        Name(leases_->role(now, duty)),
                        leases_->holder(duty).empty() ? "-" : leases_->holder(duty), leases_->token(duty),
                        Seconds(leases_->left(now, duty)), Name(kind));
  return line;
}

void Node::Tell(Verdict verdict) { state_.Tell(std::move(verdict)); }
void Node::Tell(KeySite site) { state_.Tell(std::move(site)); }

void Node::OnFact(const DutyFact& fact) {
  if (fact.key != "lease/" + fact.duty) return facts_.OnDutyFact(fact);
  if (!leases_ || !fact.value.is_object()) return;
  const auto holder = fact.value.find("holder"), left = fact.value.find("left_ms");
  if (holder == fact.value.end() || !holder->is_string() || left == fact.value.end() ||
      !left->is_number_integer())
    return;
  const auto ms = std::clamp<std::int64_t>(left->get<std::int64_t>(), 0, section_.lease_term.count());
  leases_->Hear(Steady::now(), fact.duty, holder->get<std::string>(), fact.token,
                std::chrono::milliseconds(ms));
}

void Node::Arm() {
  const Time next = leases_ ? std::min(membership_->Next(), leases_->Next()) : membership_->Next();
  if (next == armed_) return;
  armed_ = next;
  if (next == Time::max()) return void(timer_.cancel());
  timer_.expires_at(next);
  timer_.async_wait([this](const Error& cancelled) {
    if (cancelled || stopped_) return;
    membership_->Tick(Steady::now());
    if (leases_) leases_->Tick(Steady::now(), UnixMilliseconds());
    armed_ = {};
    Arm();
  });
}

bool Node::Send(const Udp::endpoint& to, std::string channel, nlohmann::json payload) {
  if (channel.empty() || channel.size() > kMostChannel ||
      nlohmann::json::to_msgpack(payload).size() > kMostPayload)
    return false;
  if (!membership_) return true;
  Message message;
  message.kind = Message::Kind::kPayload;
  message.sender = membership_->self().last;
  message.channel = std::move(channel);
  message.payload = std::move(payload);
  Send(to, message);
  return true;
}

void Node::Send(const Udp::endpoint& to, const Message& message) {
  if (!transport_.open()) return;
  Message whole = message;
  state_.AddTo(&whole);
  transport_.Send(to, whole);
}

void Node::Changed(const Member& member, std::optional<MemberState> before, std::string_view why) {
  const Update& last = member.last;
  std::string line = "member=" + last.name + " state=" + std::string(Name(last.state)) +
                     " was=" + std::string(before ? Name(*before) : "unknown") +
                     " incarnation=" + std::to_string(last.incarnation) + " address=" + Text(last.address) +
                     " by=" + std::string(why);
  log::Info(options_.component, line);
  share_.Update();
}

void Node::Stalled(Span late) {
  log::Warn(options_.component,
            Failure(kStalled, "stalled for " + std::to_string(std::lround(Seconds(late) * 1000)) + " ms"));
  share_.Settle();  // the others may have taken this one's share meanwhile
}

void Node::Displaced(const Udp::endpoint& by) {
  log::Error(options_.component, Failure(kDisplaced, "displaced by=" + Text(by)));
  share_.Unsettle();
  if (leases_) leases_->Release(Steady::now());
}

void Node::Leave() {
  away_ = true;
  if (!membership_) return;
  if (leases_) leases_->Release(Steady::now());
  membership_->Leave(Steady::now());
  Arm();
}

void Node::Rejoin() {
  away_ = false;
  if (!membership_) return;
  membership_->Rejoin(Steady::now());
  if (leases_) leases_->Resume(Steady::now());
  Arm();
}

void Node::Stop() {
  if (stopped_) return;
  Leave();
  stopped_ = true;
  timer_.cancel();
  share_.Stop();
  state_.Stop();
  transport_.Close();
}

std::string Node::DescribeState() {
  return fleet::DescribeState(state_.Summarize(), share_.limit(), share_.share());
}

std::string Node::Describe() const {
  if (!membership_) return name_ + " waits for its address";
  return DescribeMembers(*membership_, counts(), Steady::now());
}

}  // namespace brackenspoke::fleet
