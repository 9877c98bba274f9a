// SPDX-License-Identifier: Apache-2.0
#include "clients.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "client/peer_state.h"
#include "client/session.h"
#include "socket_buffers.h"

namespace load_balancer::proxy {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::chrono::milliseconds kAcceptRetryDelay{50};  // after a failed accept
constexpr std::chrono::milliseconds kStopPollInterval{10};  // during a stop
// During a drain, connections that have been idle for kMinIdleBeforeClose are closed at every sweep.
constexpr std::chrono::seconds kMinIdleBeforeClose{2};
constexpr std::chrono::milliseconds kIdleSweepInterval{100};
constexpr std::chrono::milliseconds kFinalPhase{
    1000};  // the last part of a stop, in which no new requests are accepted
// Time after connecting in which the first byte of a request is expected.
constexpr std::chrono::milliseconds kFirstByteGrace{100};
constexpr std::chrono::milliseconds kStallBeforeEviction{
    250};  // time without a byte within its first request before a connection may be evicted
constexpr int kMaxAcceptsPerTurn = 32;            // limited so that other handlers run in between
constexpr std::size_t kMaxEndingConnections = 8;  // ending connections allowed above the limit
constexpr std::chrono::milliseconds kCloseNoticeTime{
    200};  // for clients to notice the close of their connections during a stop

}  // namespace

Clients::Clients(asio::io_context& io, const Tcp::endpoint& address,
                 std::function<std::size_t()> max_connections, MemoryBudget& memory, EventCounts& events,
                 RequestHandler& handler)
    : io_(io),
      address_(address),
      max_connections_(std::move(max_connections)),
      memory_(memory),
      events_(events),
      handler_(handler),
      acceptor_(io),
      accept_retry_timer_(io),
      idle_sweep_timer_(io),
      stop_timer_(io) {}

void Clients::Open() {
  acceptor_.open(address_.protocol());
  LimitSocketBuffers(acceptor_);
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));  // a restarted process uses the same address
  // Without SO_REUSEPORT no second process can listen on this address. The proxy works nevertheless, so
  // errors are ignored.
  const int on = 1;
  ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  acceptor_.bind(address_);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  Accept();
}

Clients::~Clients() {
  const auto sessions = std::move(sessions_);
  sessions_.clear();
  for (const auto& session : sessions) session->DetachFromOwner();
}

void Clients::Accept() {
  waiting_for_capacity_ = false;
  if (acceptor_closed_ || accepting_) return;
  accepting_ = true;
  acceptor_.async_wait(Tcp::acceptor::wait_read, [this](const Error& cancelled) {
    accepting_ = false;
    if (!cancelled) AcceptBatch();
  });
}

void Clients::AcceptBatch() {
  for (int i = 0; i < kMaxAcceptsPerTurn && !acceptor_closed_; ++i) {
    const AcceptResult accepted = AcceptOne();
    if (accepted == AcceptResult::kQueueEmpty || accepted == AcceptResult::kRetryLater) break;
    // Further connections wait in the accept queue of the kernel.
    if (accepted == AcceptResult::kFull) waiting_for_capacity_ = true;
    // The acceptor stays readable while the queue cannot be emptied, for example when no descriptor is left.
    // The pause prevents a busy loop.
    if (accepted != AcceptResult::kAccepted) return RetryAcceptLater();
  }
  Accept();
}

Clients::AcceptResult Clients::AcceptOne() {
  if (!queue_began_) queue_began_ = Steady::now();
  // The connection to close or evict is chosen here but closed only after a new one has been accepted.
  const std::size_t max_sessions = max_connections_(),
                    ending = sessions_.size() < max_sessions ? 0 : CountEnding();
  std::shared_ptr<Session> closing, evicted;
  if (sessions_.size() >= max_sessions + std::min(ending, kMaxEndingConnections)) {
    if (ending >= kMaxEndingConnections && !(closing = LongestClosing())) return AcceptResult::kRetryLater;
    if (ending <= kMaxEndingConnections && !(evicted = ConnectionToEvict())) return AcceptResult::kFull;
  }
  Error failed;
  Tcp::socket socket = acceptor_.accept(io_, failed);
  if (failed == asio::error::would_block) {
    queue_began_.reset();
    return AcceptResult::kQueueEmpty;
  }
  if (failed == asio::error::connection_aborted) return AcceptResult::kAccepted;
  if (failed) {  // no descriptor is left
    if (closing || (closing = LongestClosing())) closing->Close();
    if (evicted || (evicted = ConnectionToEvict())) evicted->End();
    return AcceptResult::kFailed;
  }
  if (closing) closing->Close();
  if (evicted) evicted->End();
  const auto arrived_at = ArrivalTime(socket);
  sessions_.push_back(std::make_shared<Session>(*this, std::move(socket)));
  const auto session = sessions_.back();
  session->place = std::prev(sessions_.end());
  session->Start(arrived_at);
  return AcceptResult::kAccepted;
}

// Returns the earliest time at which the bytes of a connection that has just been accepted can have arrived.
Steady::time_point Clients::ArrivalTime(Tcp::socket& socket) const {
  const auto now = Steady::now();
  const auto since_arrival = TimeSinceLastArrival(socket.native_handle());
  return since_arrival ? std::max(*queue_began_, now - *since_arrival) : now;
}

void Clients::RetryAcceptLater() {
  accept_retry_timer_.expires_after(kAcceptRetryDelay);
  accept_retry_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Accept();
  });
}

// Accepts all queued connections. Returns false if connections may still be queued.
bool Clients::AcceptQueued() {
  while (acceptor_.is_open()) {
    const AcceptResult accepted = AcceptOne();
    if (accepted != AcceptResult::kAccepted) return accepted == AcceptResult::kQueueEmpty;
  }
  return true;
}

bool Clients::SteerNewConnections(int listener) {
  sock_filter choose[] = {BPF_STMT(BPF_RET | BPF_K, static_cast<unsigned>(listener))};
  const sock_fprog program{1, choose};
  return ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program,
                      sizeof program) == 0;
}

void Clients::Shrink(std::size_t connections) {
  const auto idle_since = Steady::now() - kMinIdleBeforeClose;
  std::size_t open = sessions_.size() - CountEnding();
  for (auto it = sessions_.begin(); it != sessions_.end() && open > connections; ++it) {
    if (!(*it)->IsIdleSince(idle_since)) continue;
    (*it)->End();
    --open;
  }
}

std::size_t Clients::CountEnding() const {
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(), [](const auto& s) { return s->IsEnding(); }));
}

// Returns the session whose sending side has been shut down for longest, or null if there is none.
std::shared_ptr<Clients::Session> Clients::LongestClosing() const {
  std::shared_ptr<Session> longest;
  for (const auto& session : sessions_)
    if (session->IsSendingShut() && (!longest || session->ending_since() < longest->ending_since()))
      longest = session;
  return longest;
}

// Returns the connection to evict for a new one, or null. Prefers idle connections that have had a response,
// then connections that have sent nothing since they connected: both are between requests, so none is lost.
// Then come connections that are stalled within their first request, and those that have just connected. A
// request on a connection that has had a response is never given up for a new client; only its own time
// limits apply. Within each group, chooses the connection that has been silent for longest.
std::shared_ptr<Clients::Session> Clients::ConnectionToEvict() const {
  const auto now = Steady::now();
  const auto first = [this](auto test) { return std::find_if(sessions_.begin(), sessions_.end(), test); };
  auto found = first([](const auto& s) { return s->HasAnswered() && s->IsIdle(); });
  if (found == sessions_.end()) {
    found = first([silent_since = now - kFirstByteGrace](const auto& s) {
      return s->IsSilentSince(silent_since) && s->IsIdle();
    });
  }
  if (found == sessions_.end()) {
    found = first([stalled_since = now - kStallBeforeEviction](const auto& s) {
      return !s->HasAnswered() && s->IsSilentSince(stalled_since);
    });
  }
  if (found == sessions_.end()) found = first([](const auto& s) { return s->IsIdle(); });
  return found == sessions_.end() ? nullptr : *found;
}

void Clients::MarkActive(Session* session) { sessions_.splice(sessions_.end(), sessions_, session->place); }

void Clients::Remove(Session* session) {
  sessions_.erase(session->place);
  if (waiting_for_capacity_) Accept();
}

void Clients::Drain() {
  if (!std::exchange(draining_, true)) ScheduleIdleSweep();
}

void Clients::Rejoin() {
  if (stopping_) return;
  draining_ = false;
  idle_sweep_timer_.cancel();
}

void Clients::ScheduleIdleSweep() {
  idle_sweep_timer_.expires_after(kIdleSweepInterval);
  idle_sweep_timer_.async_wait([this](const Error& cancelled) {
    if (cancelled || !draining_) return;
    Shrink(0);
    ScheduleIdleSweep();
  });
}

void Clients::Stop(Duration grace, Duration idle, Steady::time_point end, std::function<void()> done) {
  if (std::exchange(stopping_, true)) return;
  Drain();
  min_idle_at_stop_ = std::chrono::ceil<Steady::duration>(idle);
  stop_deadline_ = end;
  on_stopped_ = std::move(done);
  stop_timer_.expires_after(std::chrono::ceil<Steady::duration>(grace));
  stop_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled) ContinueStop();
  });
}

// Closes the listener and idle connections, and repeats until no response is left to be written and no
// request is incomplete.
void Clients::ContinueStop() {
  const auto now = Steady::now();
  const bool in_final_phase = now >= stop_deadline_ - kFinalPhase;
  if (!acceptor_closed_ && (AcceptQueued() || in_final_phase)) {
    acceptor_closed_ = true;
    Error ignored;
    acceptor_.close(ignored);
  }
  const auto idle_since = now - (in_final_phase ? Steady::duration(0) : min_idle_at_stop_);
  bool wait = !acceptor_closed_;
  for (auto it = sessions_.begin(); acceptor_closed_ && it != sessions_.end();) {
    const auto session = *it++;
    if (session->IsIdleSince(idle_since)) session->End();
    wait |= session->IsEnding() ? now < std::min(session->ending_since() + kCloseNoticeTime, stop_deadline_)
                                : session->OwesResponse() || (session->IsReading() &&
                                                              (!in_final_phase || session->HasUnreadBytes()));
  }
  if (!wait) return on_stopped_();
  stop_timer_.expires_after(kStopPollInterval);
  stop_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled) ContinueStop();
  });
}

}  // namespace load_balancer::proxy
