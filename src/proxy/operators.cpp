// SPDX-License-Identifier: Apache-2.0
#include "operators.h"

#include <fcntl.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

#include "base/log.h"
#include "proxy/failures.h"

namespace load_balancer::proxy {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;
using Verb = OperatorCall::Verb;

constexpr std::size_t kMostLine = 256;
constexpr std::chrono::seconds kPatience{3};     // for a whole line to come, and for its answer to be taken
constexpr std::chrono::milliseconds kPause{20};  // after a failed accept

struct Form {
  std::string_view name;
  Verb verb;
  bool takes_id;
};
constexpr Form kForms[] = {{"PING", Verb::kPing, false},     {"DETACH", Verb::kDetach, true},
                           {"ATTACH", Verb::kAttach, true},  {"LAMEDUCK", Verb::kLameduck, false},
                           {"REJOIN", Verb::kRejoin, false}, {"MEMBERS", Verb::kMembers, false},
                           {"STATE", Verb::kState, false},   {"LEASES", Verb::kLeases, false},
                           {"USAGE", Verb::kUsage, false}};

// A call that only asks is not worth a line of the log.
bool Asks(Verb verb) {
  return verb == Verb::kPing || verb == Verb::kMembers || verb == Verb::kState || verb == Verb::kLeases ||
         verb == Verb::kUsage;
}

std::string_view NextWord(std::string_view* rest) {
  const auto from = std::min(rest->find_first_not_of(" \t"), rest->size());
  const auto to = std::min(rest->find_first_of(" \t", from), rest->size());
  const auto word = rest->substr(from, to - from);
  rest->remove_prefix(to);
  return word;
}

tl::unexpected<Failure> NoCall(const char* why) { return tl::unexpected(Failure(kNoCall, why)); }

}  // namespace

Result<OperatorCall> ParseCall(std::string_view line) {
  const auto is_text = [](unsigned char c) { return (c >= 0x20 && c != 0x7f) || c == '\t'; };
  if (!std::all_of(line.begin(), line.end(), is_text)) return NoCall("not text");
  const std::string_view name = NextWord(&line), id = NextWord(&line);
  if (name.empty()) return NoCall("empty call");
  const auto form = std::find_if(std::begin(kForms), std::end(kForms),
                                 [name](const Form& known) { return known.name == name; });
  if (form == std::end(kForms)) return NoCall("unknown call");
  if (form->takes_id && id.empty()) return NoCall("ID missing");
  if (!NextWord(&line).empty() || (!form->takes_id && !id.empty())) return NoCall("too many words");
  return OperatorCall{form->verb, std::string(id)};
}

// A caller, from its connection to the answer's last byte and the connection's end.
class Operators::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Operators& owner, Tcp::socket socket) : owner_(&owner), stream_(std::move(socket)) {}

  std::list<std::shared_ptr<Session>>::iterator place;

  void Start() {
    stream_.expires_after(kPatience);
    Read();
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    stream_.close();
    if (owner_) owner_->Remove(this);
  }
  void Orphan() {
    owner_ = nullptr;
    Close();
  }
  // Has sent no whole line: nothing is owed to it.
  bool Waits() const { return !called_; }

 private:
  void Read() {
    stream_.async_read_some(asio::buffer(line_.data() + size_, line_.size() - size_),
                            [self = shared_from_this()](const Error& failed, std::size_t n) {
                              if (self->closed_) return;
                              self->OnRead(failed, n);
                            });
  }

  void OnRead(const Error& failed, std::size_t n) {
    if (failed == asio::error::eof && size_ > 0)
      return Answer(OperatorReply::No(Failure(kNoCall, "line not ended")));
    if (failed) return Close();
    size_ += n;
    const std::string_view got(line_.data(), size_);
    const std::size_t end = got.find('\n');
    if (end != std::string_view::npos) return Call(got.substr(0, end));
    if (size_ == line_.size()) return Answer(OperatorReply::No(Failure(kNoCall, "line too long")));
    Read();
  }

  void Call(std::string_view line) {
    called_ = true;
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const auto call = ParseCall(line);
    if (!call) return Answer(OperatorReply::No(call.error()));
    owner_->handler_.OnCall(*call, [weak = weak_from_this(), line = std::string(line),
                                    asks = Asks(call->verb)](OperatorReply reply) {
      if (!asks) log::Info("operators", line + ": " + reply.line());
      if (const auto self = weak.lock()) self->Answer(reply);
    });
  }

  void Answer(const OperatorReply& reply) {
    if (closed_) return;
    called_ = true;
    answer_ = reply.line() + '\n';
    stream_.expires_after(kPatience);
    asio::async_write(stream_, asio::buffer(answer_),
                      [self = shared_from_this()](const Error& failed, std::size_t) {
                        if (self->closed_) return;
                        if (failed) return self->Close();
                        self->CloseGently();
                      });
  }

  // Guards against a reset overtaking the answer: with unread input left, a plain close would send one.
  void CloseGently() {
    Error ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    Drain();
  }
  void Drain() {
    stream_.async_read_some(asio::buffer(line_),
                            [self = shared_from_this()](const Error& failed, std::size_t) {
                              if (self->closed_) return;
                              if (failed) return self->Close();
                              self->Drain();
                            });
  }

  Operators* owner_;
  boost::beast::tcp_stream stream_;
  std::array<char, kMostLine> line_;
  std::size_t size_ = 0;
  std::string answer_;
  bool called_ = false, closed_ = false;
};

Operators::Operators(asio::io_context& io, const Tcp::endpoint& address, OperatorHandler& handler)
    : io_(io), handler_(handler), acceptor_(io), pause_(io) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  SetAside();
  Accept();
}

Operators::~Operators() {
  const auto sessions = std::move(sessions_);
  sessions_.clear();
  for (const auto& session : sessions) session->Orphan();
}

void Operators::Accept() {
  acceptor_.async_wait(Tcp::acceptor::wait_read, [this](const Error& cancelled) {
    if (!cancelled) AcceptOne();
  });
}

// The place's descriptor is given up and the connection taken without leaving this thread, so that no other
// part of the process can have it in between.
void Operators::AcceptOne() {
  MakeRoom();
  if (!reserve_.empty()) reserve_.pop_back();
  Error failed;
  Tcp::socket socket = acceptor_.accept(io_, failed);
  if (!failed) {
    sessions_.push_back(std::make_shared<Session>(*this, std::move(socket)));
    const auto session = sessions_.back();
    session->place = std::prev(sessions_.end());
    session->Start();
    return Accept();
  }
  SetAside();
  if (failed == asio::error::would_block || failed == asio::error::connection_aborted) return Accept();
  // Guards against spinning when descriptors run out: the queue stays readable all the while.
  pause_.expires_after(kPause);
  pause_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Accept();
  });
}

// One that owes a line goes before one that is owed an answer.
void Operators::MakeRoom() {
  if (sessions_.size() < kPlaces) return;
  const auto waiting =
      std::find_if(sessions_.begin(), sessions_.end(), [](const auto& session) { return session->Waits(); });
  const auto session = waiting != sessions_.end() ? *waiting : sessions_.front();
  session->Close();
}

void Operators::Remove(Session* session) {
  sessions_.erase(session->place);
  SetAside();
}

void Operators::SetAside() {
  while (reserve_.size() + sessions_.size() < kPlaces) {
    Descriptor descriptor(::open("/dev/null", O_RDONLY | O_CLOEXEC));
    if (!descriptor) return;
    reserve_.push_back(std::move(descriptor));
  }
}

}  // namespace load_balancer::proxy
