// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/transport.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <utility>

#include "base/log.h"
#include "fleet/failures.h"

namespace load_balancer::fleet {
namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;
using Steady = std::chrono::steady_clock;

constexpr std::chrono::seconds kBetweenReports{10};  // of what was dropped

}  // namespace

Transport::Transport(asio::io_context& io, TransportOptions options, Host& host)
    : options_(std::move(options)),
      host_(host),
      socket_(io),
      again_(io),
      allowance_(options_.max_bytes_per_second),
      allowed_at_(Steady::now()) {}

void Transport::Open() {
  Error failed;
  socket_.open(options_.bind.protocol(), failed);
  if (!failed) socket_.bind(options_.bind, failed);
  if (!failed) socket_.non_blocking(true, failed);
  if (!failed) {
    host_.OnOpen();
    return Receive();
  }
  if (!std::exchange(waits_, true))
    log::Warn(options_.component, Failure(kAddressTaken, "cannot have " + FormatEndpoint(options_.bind) +
                                                             " yet: " + failed.message()));
  Error ignored;
  socket_.close(ignored);
  again_.expires_after(options_.retry);
  again_.async_wait([this](const Error& cancelled) {
    if (!cancelled && !closed_) Open();
  });
}

void Transport::Close() {
  closed_ = true;
  again_.cancel();
  Error ignored;
  socket_.close(ignored);
}

void Transport::Receive() {
  socket_.async_receive_from(asio::buffer(in_), from_, [this](const Error& failed, std::size_t size) {
    if (failed == asio::error::operation_aborted || closed_) return;
    if (!failed) OnDatagram(size);
    Receive();
  });
}

void Transport::OnDatagram(std::size_t size) {
  ++counts_.received;
  counts_.bytes_received += size;
  const auto decoded = Decode(options_.fleet, std::span(in_).first(size));
  if (const DropReason* drop = std::get_if<DropReason>(&decoded)) return Count(*drop);
  host_.OnMessage(std::get<Message>(decoded));
}

void Transport::Count(DropReason drop) {
  ++counts_.dropped[static_cast<std::size_t>(drop)];
  ReportDrops();
}

// One line for the first, and then at most one in ten seconds: whoever floods must not fill the log.
void Transport::ReportDrops() {
  const Time now = Steady::now();
  if (now < report_at_) return;
  report_at_ = now + kBetweenReports;
  log::Warn(options_.component, Failure(kDatagramsDropped, "dropped " + FormatDropCounters(counts_)));
}

// A bucket of one second's worth.
bool Transport::MaySend(std::size_t size) {
  const Time now = Steady::now();
  const double most = options_.max_bytes_per_second;
  const std::chrono::duration<double> since = now - std::exchange(allowed_at_, now);
  allowance_ = std::min(most, allowance_ + most * since.count());
  if (allowance_ < static_cast<double>(size)) return false;
  allowance_ -= static_cast<double>(size);
  return true;
}

void Transport::Send(const Udp::endpoint& to, const Message& message) {
  const auto bytes = Encode(options_.fleet, message);
  if (!MaySend(bytes.size())) {
    ++counts_.throttled;
    return ReportDrops();
  }
  Error lost;  // as any datagram may be
  socket_.send_to(asio::buffer(bytes), to, 0, lost);
  ++counts_.sent;
  counts_.bytes_sent += bytes.size();
}

}  // namespace load_balancer::fleet
