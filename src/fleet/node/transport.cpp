// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/transport.h"

#include <boost/asio/buffer.hpp>
#include <utility>

#include "base/log.h"
#include "fleet/failures.h"

namespace load_balancer::fleet {
namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;
using Steady = std::chrono::steady_clock;

constexpr std::chrono::seconds kDropLogInterval{10};

}  // namespace

Transport::Transport(asio::io_context& io, TransportOptions options, Host& host)
    : options_(std::move(options)),
      host_(host),
      socket_(io),
      retry_timer_(io),
      budget_(options_.max_bytes_per_second, Steady::now()) {}

void Transport::Open() {
  if (const Error failure = Bind()) return RetryOpen(failure);
  host_.OnOpen();
  Receive();
}

Error Transport::Bind() {
  Error failure;
  socket_.open(options_.bind.protocol(), failure);
  if (!failure) socket_.bind(options_.bind, failure);
  if (!failure) socket_.non_blocking(true, failure);
  return failure;
}

void Transport::RetryOpen(const Error& failure) {
  if (!std::exchange(has_logged_failure_, true)) {
    const std::string address = FormatEndpoint(options_.bind);
    log::Warn(options_.component,
              Failure(kAddressInUse, "cannot have " + address + " yet: " + failure.message()));
  }
  Error ignored;
  socket_.close(ignored);
  retry_timer_.expires_after(options_.retry_interval);
  retry_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled && !is_closed_) Open();
  });
}

void Transport::Close() {
  is_closed_ = true;
  retry_timer_.cancel();
  Error ignored;
  socket_.close(ignored);
}

void Transport::Receive() {
  socket_.async_receive_from(asio::buffer(receive_buffer_), sender_,
                             [this](const Error& failure, std::size_t size) {
                               if (failure == asio::error::operation_aborted || is_closed_) return;
                               if (!failure) OnDatagram(size);
                               Receive();
                             });
}

void Transport::OnDatagram(std::size_t size) {
  ++counters_.received;
  counters_.bytes_received += size;
  const auto decoded = Decode(options_.fleet, std::span(receive_buffer_).first(size));
  if (const auto* reason = std::get_if<DropReason>(&decoded)) return CountDrop(*reason);
  host_.OnMessage(std::get<Message>(decoded));
}

void Transport::CountDrop(DropReason reason) {
  ++counters_.dropped[static_cast<std::size_t>(reason)];
  LogDrops();
}

// Logs the first drop and then at most one line per kDropLogInterval, so that a flood cannot fill the log.
void Transport::LogDrops() {
  const Time now = Steady::now();
  if (now < next_drop_log_) return;
  next_drop_log_ = now + kDropLogInterval;
  log::Warn(options_.component, Failure(kDatagramsDropped, "dropped " + FormatDropCounters(counters_)));
}

void Transport::LogThrottled() {
  const Time now = Steady::now();
  if (now < next_throttle_log_) return;
  next_throttle_log_ = now + kDropLogInterval;
  log::Warn(options_.component, Failure(kBandwidthLimitReached, FormatThrottleCounters(counters_)));
}

// Piggybacked state can be delayed like a push. If only reserved bandwidth is left, the message is sent
// without it.
void Transport::Send(const Udp::endpoint& to, const Message& message) {
  if (!message.state.is_null()) {
    if (TrySend(to, message)) return;
    Message without_state = message;
    without_state.state = nullptr;
    return Send(to, without_state);
  }
  const auto datagram = Encode(options_.fleet, message);
  if (budget_.TrySpend(Steady::now(), datagram.size())) return Deliver(to, message, datagram);
  ++counters_.throttled;
  ++counters_.throttled_by_kind.at(static_cast<std::size_t>(message.kind));
  LogThrottled();
}

bool Transport::TrySend(const Udp::endpoint& to, const Message& message) {
  const auto datagram = Encode(options_.fleet, message);
  if (!budget_.TrySpendBulk(Steady::now(), datagram.size())) return false;
  Deliver(to, message, datagram);
  return true;
}

void Transport::Deliver(const Udp::endpoint& to, const Message& message,
                        std::span<const std::uint8_t> datagram) {
  Error ignored;  // datagrams may be lost in any case, so a failure needs no handling
  socket_.send_to(asio::buffer(datagram.data(), datagram.size()), to, 0, ignored);
  ++counters_.sent;
  counters_.bytes_sent += datagram.size();
  counters_.bytes_sent_by_kind.at(static_cast<std::size_t>(message.kind)) += datagram.size();
}

}  // namespace load_balancer::fleet
