// SPDX-License-Identifier: Apache-2.0
#include "node.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cmath>
#include <cstdio>

#include "log.h"

namespace brackenspoke::fleet {
namespace {

namespace asio = boost::asio;
namespace log = proxy::log;
using Error = boost::system::error_code;
using Steady = std::chrono::steady_clock;

constexpr std::chrono::seconds kBetweenReports{10};  // of what was dropped

std::uint64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

MembershipOptions OptionsOf(const proxy::FleetSection& section, const std::string& name, std::uint64_t seed) {
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

std::string Entry(const Member& member, Time now) {
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

Node::Node(asio::io_context& io, const proxy::FleetSection& section, const std::string& name,
           std::uint64_t seed)
    : section_(section),
      socket_(io),
      timer_(io),
      again_(io),
      allowance_(section.most_bytes_per_second),
      allowed_at_(Steady::now()),
      name_(name),
      seed_(seed) {
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
    Receive();
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
  membership_->Receive(Steady::now(), std::get<Message>(decoded));
  Arm();
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
  const Time next = membership_->Next();
  if (next == armed_) return;
  armed_ = next;
  if (next == Time::max()) return void(timer_.cancel());
  timer_.expires_at(next);
  timer_.async_wait([this](const Error& cancelled) {
    if (cancelled || stopped_) return;
    membership_->Tick(Steady::now());
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
  const auto bytes = Encode(section_.name, message);
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
}

void Node::Stalled(Span late) {
  log::Warn("fleet", "stalled for " + std::to_string(std::lround(Seconds(late) * 1000)) + " ms");
}

void Node::Displaced(const Udp::endpoint& by) {
  log::Error("fleet", "displaced by=" + Text(by) + ": another process has this name at a newer incarnation");
}

void Node::Leave() {
  away_ = true;
  if (!membership_) return;
  membership_->Leave(Steady::now());
  Arm();
}

void Node::Rejoin() {
  away_ = false;
  if (!membership_) return;
  membership_->Rejoin(Steady::now());
  Arm();
}

void Node::Stop() {
  if (stopped_) return;
  Leave();
  stopped_ = true;
  again_.cancel();
  timer_.cancel();
  Error ignored;
  socket_.close(ignored);
}

std::string Node::Describe() const {
  if (!membership_) return name_ + " waits for its address";
  const Time now = Steady::now();
  std::string line = Entry(membership_->self(), now);
  for (const auto& [name, member] : membership_->others()) line += ", " + Entry(member, now);
  line += "; health=" + std::to_string(membership_->health()) + " sent=" + std::to_string(counts_.sent) +
          " bytes_sent=" + std::to_string(counts_.bytes_sent) +
          " received=" + std::to_string(counts_.received) + " " + DropsLine(counts_);
  return line;
}

}  // namespace brackenspoke::fleet
