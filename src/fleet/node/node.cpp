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
#include "fleet/node/section_options.h"

namespace load_balancer::fleet {
namespace {

namespace asio = boost::asio;
using Steady = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

TransportOptions TransportOptionsOf(const FleetSection& section, const std::string& component) {
  TransportOptions options;
  options.component = component;
  options.fleet = section.name;
  options.bind = section.bind;
  options.retry_interval = section.probe_interval;
  options.max_bytes_per_second = section.max_bytes_per_second;
  return options;
}

bool IsValidPayload(const std::string& channel, const nlohmann::json& payload) {
  return !channel.empty() && channel.size() <= kMaxChannelBytes &&
         nlohmann::json::to_msgpack(payload).size() <= kMaxPayloadBytes;
}

}  // namespace

Node::Node(asio::io_context& io, const FleetSection& section, const std::string& name, std::uint64_t seed,
           FleetListener& listener, NodeOptions options)
    : section_(section),
      name_(name),
      seed_(seed),
      options_(std::move(options)),
      listener_(listener),
      timer_(io),
      transport_(io, TransportOptionsOf(section, options_.component), *this),
      state_(section, name, options_.component, listener, *this),
      limit_share_(io, section, options_.component, listener),
      leases_(section_, name_, seed_, options_, listener_, *this) {
  transport_.Open();
}

void Node::OnOpen() {
  log::Info(options_.component,
            fmt::format("joining fleet={} member={} bind={} advertise={}", section_.name, name_,
                        FormatEndpoint(section_.bind), FormatEndpoint(section_.advertise)));
  membership_.emplace(MembershipOptionsOf(section_, name_, UnixMilliseconds(), seed_), Steady::now(),
                      static_cast<Membership::Callbacks&>(*this));
  state_.Join(&*membership_);
  limit_share_.Join(&*membership_);
  if (has_left_) membership_->Leave(Steady::now());
  leases_.Start(membership_->self().update.incarnation);
  if (has_left_) leases_.Release();
  Restore(saved_);
  limit_share_.Settle();
  ScheduleTick();
}

void Node::OnMessage(const Message& message) {
  membership_->Receive(Steady::now(), message);
  state_.Receive(message);
  if (message.lease) leases_.Receive(message.sender.address, *message.lease);
  const bool is_payload = message.kind == Message::Kind::kPayload && message.sender.name != name_;
  if (is_payload && !subscriptions_.Deliver(message)) transport_.CountDrop(DropReason::kOtherChannel);
  if (!is_stopped_) ScheduleTick();
}

void Node::OnFencedValue(const FencedValue& fenced) {
  if (!leases_.ReceiveAnnouncement(fenced)) listener_.OnFencedValue(fenced);
}

Node::SavedState Node::Save() const {
  SavedState saved = saved_;
  if (membership_) saved.incarnation = membership_->self().update.incarnation;
  for (const auto& [duty, token] : leases_.HighestTokens()) saved.tokens[duty] = token;
  return saved;
}

void Node::Restore(const SavedState& saved) {
  saved_ = saved;
  if (membership_) membership_->RaiseIncarnation(Steady::now(), saved.incarnation);
  leases_.RaiseTokens(saved.tokens);
}

Result<void> Node::Publish(const LeaseProof& proof, const std::string& key, nlohmann::json value,
                           Span lifetime) {
  std::vector<NamedValue> values;
  values.push_back({key, std::move(value)});
  return Publish(proof, std::move(values), lifetime);
}

Result<void> Node::Publish(const LeaseProof& proof, std::vector<NamedValue> values, Span lifetime) {
  if (values.empty()) return {};
  if (!proof.IsValid(Steady::now())) return tl::unexpected(Failure(kLeaseExpired, values.front().key));
  const auto lifetime_ms = std::chrono::duration_cast<std::chrono::milliseconds>(lifetime).count();
  const UnixMs until = UnixMilliseconds() + static_cast<UnixMs>(lifetime_ms);
  std::vector<FencedValue> fenced;
  for (NamedValue& each : values)
    fenced.push_back({proof.lease_name(), std::move(each.key), proof.token(), until, std::move(each.value)});
  state_.Announce(std::move(fenced));
  return {};
}

void Node::PublishUnfenced(FencedValue value) {
  std::vector<FencedValue> values;
  values.push_back(std::move(value));
  state_.Announce(std::move(values));
}

void Node::ScheduleTick() {
  const Time next = std::min(membership_->Next(), leases_.Next());
  if (next == scheduled_tick_) return;
  scheduled_tick_ = next;
  if (next == Time::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(next);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled && !is_stopped_) Tick();
  });
}

void Node::Tick() {
  membership_->Tick(Steady::now());
  leases_.Tick();
  state_.ContinuePush();
  scheduled_tick_ = {};
  ScheduleTick();
}

Message Node::MakeMessage(Message::Kind kind) const {
  Message message;
  message.kind = kind;
  message.sender = membership_->self().update;
  return message;
}

bool Node::Send(const Udp::endpoint& to, std::string channel, nlohmann::json payload) {
  if (!IsValidPayload(channel, payload)) return false;
  if (!membership_) return true;
  Message message = MakeMessage(Message::Kind::kPayload);
  message.channel = std::move(channel);
  message.payload = std::move(payload);
  Send(to, message);
  return true;
}

void Node::SendLease(const Udp::endpoint& to, const LeaseMessage& lease) {
  Message message = MakeMessage(Message::Kind::kLease);
  message.lease = lease;
  Send(to, message);
}

void Node::Send(const Udp::endpoint& to, const Message& message) {
  if (!transport_.is_open()) return;
  Message complete = message;
  state_.AttachState(&complete);
  transport_.Send(to, complete);
}

// Messages sent through TrySend already carry state, so no state is attached.
bool Node::TrySend(const Udp::endpoint& to, const Message& message) {
  return !transport_.is_open() || transport_.TrySend(to, message);
}

void Node::OnMemberChanged(const Member& member, std::optional<MemberState> before, std::string_view why) {
  const Update& last = member.update;
  log::Info(options_.component, fmt::format("member={} state={} was={} incarnation={} address={} by={}",
                                            last.name, Name(last.state), before ? Name(*before) : "unknown",
                                            last.incarnation, FormatEndpoint(last.address), why));
  limit_share_.Update();
}

void Node::OnStalled(Span late) {
  const long late_ms = std::lround(Seconds(late).count() * 1000);
  log::Warn(options_.component, Failure(kStalled, fmt::format("stalled for {} ms", late_ms)));
  limit_share_.Settle();  // the other members may have divided this member's share among themselves
}

void Node::OnDisplaced(const Udp::endpoint& by) {
  log::Error(options_.component, Failure(kDisplaced, "displaced by=" + FormatEndpoint(by)));
  limit_share_.Unsettle();
  leases_.Release();
}

void Node::Leave() {
  has_left_ = true;
  if (!membership_) return;
  leases_.Release();
  membership_->Leave(Steady::now());
  ScheduleTick();
}

void Node::Rejoin() {
  has_left_ = false;
  if (!membership_) return;
  membership_->Rejoin(Steady::now());
  leases_.Resume();
  ScheduleTick();
}

void Node::Stop() {
  if (is_stopped_) return;
  Leave();
  is_stopped_ = true;
  timer_.cancel();
  limit_share_.Stop();
  state_.Stop();
  transport_.Close();
}

std::string Node::DescribeState() {
  return fleet::DescribeState(state_.Summarize(), limit_share_.limit(), limit_share_.share());
}

std::string Node::DescribeMembers() const {
  if (!membership_) return name_ + " waits for its address";
  return fleet::DescribeMembers(*membership_, counters(), Steady::now());
}

}  // namespace load_balancer::fleet
