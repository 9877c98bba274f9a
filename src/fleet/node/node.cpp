// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/node.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/log.h"
#include "base/wall_clock.h"
#include "fleet/failures.h"
#include "fleet/node/describe.h"

namespace load_balancer::fleet {
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
  options.forget_after = section.forget_after;
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
  options.max_bytes_per_second = section.max_bytes_per_second;
  return options;
}

}  // namespace

Node::Node(asio::io_context& io, const FleetSection& section, const std::string& name, std::uint64_t seed,
           FleetListener& facts, NodeOptions options)
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
  log::Info(options_.component, "joining fleet=" + section_.name + " member=" + name_ +
                                    " bind=" + FormatEndpoint(section_.bind) +
                                    " advertise=" + FormatEndpoint(section_.advertise));
  membership_.emplace(OptionsOf(section_, name_, seed_), Steady::now(),
                      static_cast<Membership::Callbacks&>(*this));
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
  if (payload && !channels_.Deliver(message)) transport_.Count(DropReason::kOtherChannel);
  if (!stopped_) Arm();
}

Node::Kept Node::Keep() const {
  Kept kept = kept_;
  if (membership_) kept.incarnation = membership_->self().last.incarnation;
  for (const auto& [duty, kind] : options_.duties)
    if (leases_) kept.tokens[duty] = leases_->largest_token(duty);
  return kept;
}

void Node::Restore(const Kept& kept) {
  kept_ = kept;
  if (membership_) membership_->RaiseIncarnation(Steady::now(), kept.incarnation);
  if (!leases_) return;
  for (const auto& [duty, token] : kept.tokens) leases_->RaiseLargestToken(duty, token);
}

void Node::Announce(Ejection ejection) { state_.Announce(std::move(ejection)); }
void Node::Announce(KeyAffinity affinity) { state_.Announce(std::move(affinity)); }

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
  if (channel.empty() || channel.size() > kMaxChannelBytes ||
      nlohmann::json::to_msgpack(payload).size() > kMaxPayloadBytes)
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
  state_.AttachState(&whole);
  transport_.Send(to, whole);
}

void Node::OnMemberChanged(const Member& member, std::optional<MemberState> before, std::string_view why) {
  const Update& last = member.last;
  std::string line = "member=" + last.name + " state=" + std::string(Name(last.state)) +
                     " was=" + std::string(before ? Name(*before) : "unknown") +
                     " incarnation=" + std::to_string(last.incarnation) +
                     " address=" + FormatEndpoint(last.address) + " by=" + std::string(why);
  log::Info(options_.component, line);
  share_.Update();
}

void Node::OnStalled(Span late) {
  log::Warn(options_.component,
            Failure(kStalled, "stalled for " + std::to_string(std::lround(Seconds(late) * 1000)) + " ms"));
  share_.Settle();  // the others may have taken this one's share meanwhile
}

void Node::OnDisplaced(const Udp::endpoint& by) {
  log::Error(options_.component, Failure(kDisplaced, "displaced by=" + FormatEndpoint(by)));
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

}  // namespace load_balancer::fleet
