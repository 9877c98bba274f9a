// SPDX-License-Identifier: Apache-2.0
#include "clients.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "client/session.h"

namespace load_balancer::proxy {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::chrono::milliseconds kPause{50};      // after a failed accept
constexpr std::chrono::milliseconds kLookAgain{10};  // at the stop
// In a drain: what has stood idle for so long may be closed, and this often it is looked for.
constexpr std::chrono::seconds kIdleLongEnough{2};
constexpr std::chrono::milliseconds kSweep{100};
constexpr std::chrono::milliseconds kLastRequests{
    1000};                                             // before the end of a stop: nothing is begun any more
constexpr std::chrono::milliseconds kFirstBytes{500};  // of a request, after it was connected for
constexpr std::chrono::milliseconds kSilent{250};  // within a request, after which it may give way to others
constexpr double kCrowded = 0.75;                  // of the connections there may be, over which none is kept
constexpr int kAtOnce = 32;                        // connections accepted before others have their turn
constexpr std::size_t kMostEnding = 8;             // connections that end beside those there may be
constexpr std::chrono::milliseconds kSeeEnd{200};  // for clients to see their connections' end, at the stop

}  // namespace

Clients::Clients(asio::io_context& io, const Tcp::endpoint& address,
                 std::function<std::size_t()> most_connections, Buffers& buffers, RequestHandler& handler)
    : io_(io),
      address_(address),
      most_connections_(std::move(most_connections)),
      buffers_(buffers),
      handler_(handler),
      acceptor_(io),
      pause_(io),
      sweep_(io),
      grace_(io) {}

void Clients::Open() {
  acceptor_.open(address_.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));  // restarts come on the same address
  // Where there is no such option no other process can listen beside this one, which is no reason to end.
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
  for (const auto& session : sessions) session->Orphan();
}

void Clients::Accept() {
  waiting_for_room_ = false;
  if (shut_ || accepting_) return;
  accepting_ = true;
  acceptor_.async_wait(Tcp::acceptor::wait_read, [this](const Error& cancelled) {
    accepting_ = false;
    if (!cancelled) AcceptSome();
  });
}

void Clients::AcceptSome() {
  for (int i = 0; i < kAtOnce && !shut_; ++i) {
    const Accepted accepted = AcceptOne();
    if (accepted == Accepted::kNone || accepted == Accepted::kLater) break;
    // The next connections wait in the kernel's queue.
    if (accepted == Accepted::kNoRoom) waiting_for_room_ = true;
    // Guards against spinning when descriptors run out: the queue stays readable all the while.
    if (accepted != Accepted::kOne) return AcceptLater();
  }
  Accept();
}

Clients::Accepted Clients::AcceptOne() {
  // Nobody gives way before somebody is there to take the place.
  const std::size_t most = most_connections_(), ending = sessions_.size() < most ? 0 : Ending();
  std::shared_ptr<Session> cut_short, gives_way;
  if (sessions_.size() >= most + std::min(ending, kMostEnding)) {
    if (ending >= kMostEnding && !(cut_short = LongestShut())) return Accepted::kLater;
    if (ending <= kMostEnding && !(gives_way = WhoGivesWay())) return Accepted::kNoRoom;
  }
  Error failed;
  Tcp::socket socket = acceptor_.accept(io_, failed);
  if (failed == asio::error::would_block) return Accepted::kNone;
  if (failed == asio::error::connection_aborted) return Accepted::kOne;
  if (failed) {  // no descriptor is left
    if (cut_short || (cut_short = LongestShut())) cut_short->Close();
    if (gives_way || (gives_way = WhoGivesWay())) gives_way->End();
    return Accepted::kFailed;
  }
  if (cut_short) cut_short->Close();
  if (gives_way) gives_way->End();
  sessions_.push_back(std::make_shared<Session>(*this, std::move(socket)));
  const auto session = sessions_.back();
  session->place = std::prev(sessions_.end());
  session->Start();
  return Accepted::kOne;
}

void Clients::AcceptLater() {
  pause_.expires_after(kPause);
  pause_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Accept();
  });
}

// False if connections may still wait to be accepted.
bool Clients::EmptyQueue() {
  while (acceptor_.is_open()) {
    const Accepted accepted = AcceptOne();
    if (accepted != Accepted::kOne) return accepted == Accepted::kNone;
  }
  return true;
}

bool Clients::Steer(int listener) {
  sock_filter choose[] = {BPF_STMT(BPF_RET | BPF_K, static_cast<unsigned>(listener))};
  const sock_fprog program{1, choose};
  return ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program,
                      sizeof program) == 0;
}

void Clients::Shrink(std::size_t connections) {
  const auto before = Steady::now() - kIdleLongEnough;
  std::size_t open = sessions_.size() - Ending();
  for (auto it = sessions_.begin(); it != sessions_.end() && open > connections; ++it) {
    if (!(*it)->IdleSince(before)) continue;
    (*it)->End();
    --open;
  }
}

std::size_t Clients::Ending() const {
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(), [](const auto& s) { return s->Ending(); }));
}

// Of those whose clients can see the end, the one that has shown it for longest; null if there is none.
std::shared_ptr<Clients::Session> Clients::LongestShut() const {
  std::shared_ptr<Session> longest;
  for (const auto& session : sessions_)
    if (session->Shut() && (!longest || session->ending_since() < longest->ending_since())) longest = session;
  return longest;
}

// Whoever has been silent for longest gives way: of those that have had an answer and stand idle, or else of
// all that are silent. A slow client's first request may be on its way.
std::shared_ptr<Clients::Session> Clients::WhoGivesWay() const {
  const auto silent = Steady::now() - kSilent;
  const auto first = [this](auto test) { return std::find_if(sessions_.begin(), sessions_.end(), test); };
  auto found = first([](const auto& s) { return s->Answered() && s->Idle(); });
  if (found == sessions_.end()) found = first([silent](const auto& s) { return s->StoppedSince(silent); });
  if (found == sessions_.end()) found = first([](const auto& s) { return s->Idle(); });
  return found == sessions_.end() ? nullptr : *found;
}

void Clients::Heard(Session* session) { sessions_.splice(sessions_.end(), sessions_, session->place); }

void Clients::Remove(Session* session) {
  sessions_.erase(session->place);
  if (waiting_for_room_) Accept();
}

void Clients::Drain() {
  if (!std::exchange(draining_, true)) CloseIdleLater();
}

void Clients::Rejoin() {
  if (stopping_) return;
  draining_ = false;
  sweep_.cancel();
}

void Clients::CloseIdleLater() {
  sweep_.expires_after(kSweep);
  sweep_.async_wait([this](const Error& cancelled) {
    if (cancelled || !draining_) return;
    Shrink(0);
    CloseIdleLater();
  });
}

void Clients::Stop(Duration grace, Duration idle, Steady::time_point end, std::function<void()> done) {
  if (std::exchange(stopping_, true)) return;
  Drain();
  idle_at_stop_ = std::chrono::ceil<Steady::duration>(idle);
  end_ = end;
  stopped_ = std::move(done);
  grace_.expires_after(std::chrono::ceil<Steady::duration>(grace));
  grace_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Shut();
  });
}

// Looks again until no answer is owed and no request is half read.
void Clients::Shut() {
  const auto now = Steady::now();
  const bool late = now >= end_ - kLastRequests;
  if (!shut_ && (EmptyQueue() || late)) {
    shut_ = true;
    Error ignored;
    acceptor_.close(ignored);
  }
  const auto before = now - (late ? Steady::duration(0) : idle_at_stop_);
  bool wait = !shut_;
  for (auto it = sessions_.begin(); shut_ && it != sessions_.end();) {
    const auto session = *it++;
    if (session->IdleSince(before)) session->End();
    wait |= session->Ending() ? now < std::min(session->ending_since() + kSeeEnd, end_)
                              : session->Owes() || (session->Reading() && (!late || session->Unread()));
  }
  if (!wait) return stopped_();
  grace_.expires_after(kLookAgain);
  grace_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Shut();
  });
}

}  // namespace load_balancer::proxy
