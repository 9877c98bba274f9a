// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/node.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cmath>
#include <cstdio>

#include "base/log.h"
#include "brackenspoke/balancer.h"
#include "fleet/lease/failures.h"
#include "fleet/wire/codec.h"

namespace brackenspoke::fleet {
namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;
using Steady = std::chrono::steady_clock;

constexpr std::chrono::seconds kBetweenReports{10};  // of what was dropped
constexpr int kMostRefusalLines = 20;                // in that time
constexpr std::size_t kPushFanout = 3;               // members told at once of a new verdict

std::uint64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

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

StateOptions StateOptionsOf(const FleetSection& section, const std::string& name) {
  StateOptions options;
  options.name = name;
  options.verdicts = section.share_verdicts;
  options.affinity_entries = static_cast<std::size_t>(section.affinity_entries);
  options.affinity_ttl = static_cast<UnixMs>(section.affinity_ttl.count());
  options.most_skew = static_cast<UnixMs>(section.most_skew.count());
  options.longest_ejection = static_cast<UnixMs>(kLongestEjection.count());
  options.way = static_cast<UnixMs>(2 * section.probe_interval.count());
  return options;
}

double Seconds(Span span) { return std::chrono::duration<double>(span).count(); }

std::string LineOf(const Member& member, Time now) {
  char age[32];
  std::snprintf(age, sizeof age, "%.1fs", Seconds(now - member.since));
  return member.last.name + " " + std::string(Name(member.last.state)) + " " +
         std::to_string(member.last.incarnation) + " " + age;
}

std::string DropsLine(const Counts& counts) {
  std::string line;
  for (int i = 0; i < kDrops; ++i)
    line += std::string(Name(static_cast<Drop>(i))) + "=" +
            std::to_string(counts.dropped[static_cast<std::size_t>(i)]) + " ";
  return line + "throttled=" + std::to_string(counts.throttled);
}

}  // namespace

Node::Node(asio::io_context& io, const FleetSection& section, const std::string& name, std::uint64_t seed,
           Facts& facts, std::string votes)
    : section_(section),
      socket_(io),
      timer_(io),
      again_(io),
      settle_(io),
      facts_(facts),
      state_(StateOptionsOf(section, name), *this),
      allowance_(section.most_bytes_per_second),
      allowed_at_(Steady::now()),
      name_(name),
      seed_(seed),
      votes_path_(std::move(votes)) {
  Open();
}

void Node::Open() {
  Error failed;
  socket_.open(section_.bind.protocol(), failed);
  if (!failed) socket_.bind(section_.bind, failed);
  if (!failed) socket_.non_blocking(true, failed);
  if (!failed) {
    log::Info("fleet", "joining fleet=" + section_.name + " member=" + name_ +
                           " bind=" + Text(section_.bind) + " advertise=" + Text(section_.advertise));
    membership_.emplace(OptionsOf(section_, name_, seed_), Steady::now(),
                        static_cast<Membership::Outlet&>(*this));
    if (away_) membership_->Leave(Steady::now());
    StartLeases();
    Receive();
    Settle();
    return Arm();
  }
  if (!std::exchange(waits_, true))
    log::Warn("fleet", "cannot have " + Text(section_.bind) + " yet: " + failed.message());
  Error ignored;
  socket_.close(ignored);
  again_.expires_after(section_.probe_interval);
  again_.async_wait([this](const Error& cancelled) {
    if (!cancelled && !stopped_) Open();
  });
}

void Node::Receive() {
  socket_.async_receive_from(asio::buffer(in_), from_, [this](const Error& failed, std::size_t size) {
    if (failed == asio::error::operation_aborted || stopped_) return;
    if (!failed) OnDatagram(size);
    Receive();
  });
}

void Node::OnDatagram(std::size_t size) {
  ++counts_.received;
  counts_.bytes_received += size;
  const auto decoded = Decode(section_.name, std::span(in_).first(size));
  if (const Drop* drop = std::get_if<Drop>(&decoded)) return Count(*drop);
  const Message& message = std::get<Message>(decoded);
  membership_->Receive(Steady::now(), message);
  ReceiveState(message);
  if (leases_ && message.lease) leases_->Receive(Steady::now(), message.sender.address, *message.lease);
  Arm();
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
  options.duties = {{kDiscoveryDuty, DutyKind::kAvailable}, {kMaintenanceDuty, DutyKind::kExclusive}};
  options.seed = seed_;
  LoadVotes(&options);
  leases_.emplace(std::move(options), Steady::now(), static_cast<Leases::Outlet&>(*this));
  if (away_) leases_->Release(Steady::now());
  Restore(kept_);
}

// Once the address is had: the process that had it before votes no more.
void Node::LoadVotes(LeaseOptions* options) {
  if (votes_path_.empty()) return;
  std::vector<std::string> voters;
  for (const Udp::endpoint& voter : options->voters) voters.push_back(Text(voter));
  votes_ = std::make_unique<VoteFile>(votes_path_, name_, std::move(voters));
  options->store = votes_.get();
  auto loaded = votes_->Load();
  if (loaded) {
    options->votes = std::move(*loaded);
    return;
  }
  options->may_vote = &loaded.error().kind() != &kVotersLeapt;
  log::Error("fleet", loaded.error().Text());
}

void Node::OnFailure(const Failure& failure) { log::Error("fleet", failure.Text()); }

Node::Kept Node::Keep() const {
  Kept kept = kept_;
  if (membership_) kept.incarnation = membership_->self().last.incarnation;
  for (const char* duty : {kDiscoveryDuty, kMaintenanceDuty})
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
  log::Info("fleet", fmt::format("lease duty={} role={} token={} left_ms={} why={}", duty, Name(role), token,
                                 left_ms, why));
  facts_.OnRole(duty, role);
  const auto guard = Guard(duty);
  if (!guard) return;
  const auto published = Publish(*guard, "lease/" + duty, {{"holder", holder_}, {"left_ms", left_ms}}, left);
  if (!published) log::Warn("fleet", published.error().Text());
}

bool Node::Does(const std::string& duty) const {
  if (!leases_) return !leased() || duty != kMaintenanceDuty;
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
  state_.Write(now,
               DutyFact{guard.duty(), key, guard.token(), now + static_cast<UnixMs>(ms), std::move(value)});
  if (!stopped_) PushState();
  return {};
}

std::string Node::DescribeLeases() const {
  if (!leases_) return "";
  const Time now = Steady::now();
  std::string line;
  for (const char* duty : {kDiscoveryDuty, kMaintenanceDuty})
    line += fmt::format("{}{} {} holder={} token={} left={:.1f}s", line.empty() ? "" : ", ", duty,
                        Name(leases_->role(now, duty)),
                        leases_->holder(duty).empty() ? "-" : leases_->holder(duty), leases_->token(duty),
                        Seconds(leases_->left(now, duty)));
  return line;
}

void Node::ReceiveState(const Message& message) {
  if (stopped_ || !membership_ || message.sender.name == name_) return;
  if (!message.state.is_null() && state_.Receive(UnixMilliseconds(), message.state)) PushState();
  if (message.kind == Message::Kind::kSync && message.digest != state_.Digest(UnixMilliseconds()))
    SendState(message.sender.address);
  // A peer's table that came with the digest of its state, once that is held here, too.
  if (message.kind == Message::Kind::kSync && !message.updates.empty()) joining_digest_ = message.digest;
  if (joined_ || !joining_digest_ || *joining_digest_ != state_.Digest(UnixMilliseconds())) return;
  joined_ = true;
  facts_.OnJoined();
}

// A new verdict goes to a few members at once; each passes it on when it is new there, too.
void Node::PushState() {
  Message message;
  message.kind = Message::Kind::kState;
  message.sender = membership_->self().last;
  for (const Udp::endpoint& to : membership_->Sample(kPushFanout)) Send(to, message);
}

// All that is held, in as many messages as it takes.
void Node::SendState(const Udp::endpoint& to) {
  Message message;
  message.kind = Message::Kind::kState;
  message.sender = membership_->self().last;
  for (auto& piece : state_.All(UnixMilliseconds(), RoomFor(section_.name, message))) {
    message.state = std::move(piece);
    Send(to, message);
  }
}

// Entries as far as there is room, and of a table the digest of them all.
void Node::AddState(Message* message) {
  if (message->kind == Message::Kind::kSync) {
    message->digest = state_.Digest(UnixMilliseconds());
    return;
  }
  if (!message->state.is_null()) return;
  std::size_t room = RoomFor(section_.name, *message);
  for (const Update& update : message->updates) room -= std::min(room, SizeOf(update));
  auto entries =
      state_.Fill(UnixMilliseconds(), room, MostTransmits(membership_->options(), membership_->present()));
  if (!entries.empty()) message->state = std::move(entries);
}

void Node::Tell(Verdict verdict) {
  state_.Write(UnixMilliseconds(), std::move(verdict));
  if (membership_ && !stopped_) PushState();
}

void Node::Tell(KeySite site) { state_.Write(UnixMilliseconds(), std::move(site)); }

bool Node::Listed(const std::string& server) const { return facts_.Listed(server); }

void Node::Taken(const Entry& entry) {
  if (const auto* site = std::get_if<KeySite>(&entry.fact))
    return facts_.OnKey(*site, MillisecondsOf(entry.version.stamp));
  if (const auto* fact = std::get_if<DutyFact>(&entry.fact)) return TakenFact(*fact);
  const Verdict& verdict = std::get<Verdict>(entry.fact);
  const UnixMs now = UnixMilliseconds();
  log::Info("fleet",
            fmt::format("verdict server={} from={} failures={} attempts={} left_ms={} age_ms={} taken",
                        verdict.server, entry.version.origin, verdict.failures, verdict.attempts,
                        verdict.until - now, now - std::min(now, MillisecondsOf(entry.version.stamp))));
  facts_.OnVerdict(verdict);
}

void Node::TakenFact(const DutyFact& fact) {
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

// At most so many lines in a time: a member that lies must not fill the log.
bool Node::MayLogRefusal() {
  const Time now = Steady::now();
  if (now - refusals_from_ >= kBetweenReports) {
    refusals_from_ = now;
    refusals_ = 0;
  }
  return ++refusals_ <= kMostRefusalLines;
}

void Node::Refused(const std::string& about, const std::string& origin, Refusal why) {
  if (MayLogRefusal())
    log::Warn("fleet", "state server=" + (about.empty() ? "-" : about) +
                           " from=" + (origin.empty() ? "-" : origin) + " refused=" + std::string(Name(why)));
}

// Until news of this process have gone round, the others hold on to its share.
void Node::Settle() {
  settled_ = false;
  UpdateShare();
  const auto began = Steady::now();
  settle_.expires_after(section_.probe_interval * MostTransmits(membership_->options(), 9));
  settle_.async_wait([this, began](const Error& cancelled) {
    if (cancelled || stopped_) return;
    const auto needed =
        section_.probe_interval * MostTransmits(membership_->options(), membership_->present());
    if (Steady::now() - began < needed) return Settle();
    settled_ = true;
    UpdateShare();
  });
}

// The members that hold a share: those that are present and, unless the present ones are most of all known,
// those that are dead, too, since they may be the other side of a partition that goes on.
int Node::Share() const {
  std::size_t dead = 0;
  for (const auto& [name, member] : membership_->others()) dead += member.last.state == MemberState::kDead;
  const std::size_t present = std::max<std::size_t>(1, membership_->present());
  std::size_t holders = 2 * present > present + dead ? present : present + dead;
  if (present == 1) holders = std::max(holders, section_.seeds.size());
  return settled_ ? std::max(1, section_.server_limit / static_cast<int>(holders)) : 1;
}

void Node::UpdateShare() {
  if (section_.server_limit == 0 || !membership_) return;
  const int share = Share();
  if (share == std::exchange(share_, share)) return;
  log::Info("fleet", "limit=" + std::to_string(section_.server_limit) + " share=" + std::to_string(share) +
                         " present=" + std::to_string(membership_->present()));
  facts_.OnShare(share);
}

void Node::Count(Drop drop) {
  ++counts_.dropped[static_cast<std::size_t>(drop)];
  ReportDrops();
}

// One line for the first, and then at most one in ten seconds: whoever floods must not fill the log.
void Node::ReportDrops() {
  const Time now = Steady::now();
  if (now < report_at_) return;
  report_at_ = now + kBetweenReports;
  log::Warn("fleet", "dropped " + DropsLine(counts_));
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

// A bucket of one second's worth.
bool Node::MaySend(std::size_t size) {
  const Time now = Steady::now();
  const double most = section_.most_bytes_per_second;
  allowance_ = std::min(most, allowance_ + most * Seconds(now - std::exchange(allowed_at_, now)));
  if (allowance_ < static_cast<double>(size)) return false;
  allowance_ -= static_cast<double>(size);
  return true;
}

void Node::Send(const Udp::endpoint& to, const Message& message) {
  if (!socket_.is_open()) return;
  Message whole = message;
  AddState(&whole);
  const auto bytes = Encode(section_.name, whole);
  if (!MaySend(bytes.size())) {
    ++counts_.throttled;
    return ReportDrops();
  }
  Error lost;  // as any datagram may be
  socket_.send_to(asio::buffer(bytes), to, 0, lost);
  ++counts_.sent;
  counts_.bytes_sent += bytes.size();
}

void Node::Changed(const Member& member, std::optional<MemberState> before, std::string_view why) {
  const Update& last = member.last;
  std::string line = "member=" + last.name + " state=" + std::string(Name(last.state)) +
                     " was=" + std::string(before ? Name(*before) : "unknown") +
                     " incarnation=" + std::to_string(last.incarnation) + " address=" + Text(last.address) +
                     " by=" + std::string(why);
  log::Info("fleet", line);
  UpdateShare();
}

void Node::Stalled(Span late) {
  log::Warn("fleet", "stalled for " + std::to_string(std::lround(Seconds(late) * 1000)) + " ms");
  Settle();  // the others may have taken this one's share meanwhile
}

void Node::Displaced(const Udp::endpoint& by) {
  log::Error("fleet", "displaced by=" + Text(by) + ": another process has this name at a newer incarnation");
  settle_.cancel();
  settled_ = false;
  UpdateShare();
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
  again_.cancel();
  timer_.cancel();
  settle_.cancel();
  Error ignored;
  socket_.close(ignored);
}

std::string Node::DescribeState() {
  const auto all = state_.Summarize(UnixMilliseconds());
  std::string line = fmt::format(
      "verdicts={} newest_ms={} oldest_ms={}, affinity={} newest_ms={} oldest_ms={}, facts={}, limit={} "
      "share={}; refused",
      all.verdicts, all.newest_verdict, all.oldest_verdict, all.sites, all.newest_site, all.oldest_site,
      all.facts, section_.server_limit, std::max(0, share_));
  for (int i = 0; i < kRefusals; ++i)
    line += fmt::format(" {}={}", Name(static_cast<Refusal>(i)), all.refused[static_cast<std::size_t>(i)]);
  return line;
}

std::string Node::Describe() const {
  if (!membership_) return name_ + " waits for its address";
  const Time now = Steady::now();
  std::string line = LineOf(membership_->self(), now);
  for (const auto& [name, member] : membership_->others()) line += ", " + LineOf(member, now);
  line += "; health=" + std::to_string(membership_->health()) + " sent=" + std::to_string(counts_.sent) +
          " bytes_sent=" + std::to_string(counts_.bytes_sent) +
          " received=" + std::to_string(counts_.received) + " " + DropsLine(counts_);
  return line;
}

}  // namespace brackenspoke::fleet
