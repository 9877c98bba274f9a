// SPDX-License-Identifier: Apache-2.0
#include "discovery.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "base/log.h"
#include "object_reader.h"
#include "proxy/failures.h"

namespace load_balancer::proxy {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;
using Steady = std::chrono::steady_clock;

constexpr std::size_t kSmallListBytes = 256 * 1024;  // is taken even while clients need all memory
constexpr std::size_t kWorkPerByte = 4;  // memory that it takes to read a list, for each byte of its text
constexpr std::chrono::milliseconds kLeastBackoff{50}, kMostBackoff{1000};
// After a call that was given up, which has lasted long already, and after a watch that told something.
constexpr std::chrono::milliseconds kMostShortPause{250};
constexpr std::chrono::milliseconds kSteadyFor{1000};  // a watch so long open ends the backoff

}  // namespace

// One watch, from its connection to its end.
class Discovery::Stream : public std::enable_shared_from_this<Stream> {
 public:
  explicit Stream(Discovery& owner)
      : owner_(&owner), stream_(owner.io_), lists_(owner.options_.max_list_bytes) {}

  void Start() {
    Extend();
    stream_.async_connect(owner_->options_.address, [self = shared_from_this()](const Error& failed) {
      if (!self->owner_) return;
      if (failed) return self->End(failed);
      self->Ask();
    });
  }

  void Orphan() {
    owner_ = nullptr;
    stream_.close();
  }

 private:
  void Extend() {
    deadline_ = Steady::now() + owner_->options_.silence;
    stream_.expires_at(deadline_);
  }

  void End(const Error& failed) { End(failed.message(), failed == beast::error::timeout); }
  void End(const std::string& why, bool given_up = false) {
    Discovery* const owner = std::exchange(owner_, nullptr);
    if (!owner) return;
    stream_.close();
    if (opened_at_ && Steady::now() - *opened_at_ >= kSteadyFor) owner->backoff_ = {};
    owner->OnEnd(why, given_up || listed_ ? kMostShortPause : kMostBackoff);
  }

  void Ask() {
    request_.method(http::verb::get);
    request_.version(11);
    request_.target("/v1/endpoints?stream=1&index=" + std::to_string(owner_->options_.revision));
    request_.set(http::field::host, owner_->options_.address.address().to_string());
    if (owner_->options_.token != 0) request_.set("Fencing-Token", std::to_string(owner_->options_.token));
    http::async_write(stream_, request_, [self = shared_from_this()](const Error& failed, std::size_t) {
      if (!self->owner_) return;
      if (failed) return self->End(failed);
      self->ReadHeader();
    });
  }

  void ReadHeader() {
    parser_.emplace().body_limit(boost::none);
    http::async_read_header(stream_, buffer_, *parser_,
                            [self = shared_from_this()](const Error& failed, std::size_t) {
                              if (!self->owner_) return;
                              if (failed) return self->End(failed);
                              self->OnHeader(self->parser_->get().result_int());
                            });
  }

  void OnHeader(unsigned status) {
    if (status / 100 == 1 && status != 101) return ReadHeader();  // interim; 101 begins another protocol
    if (status != 200) return End("answer " + std::to_string(status));
    opened_at_ = Steady::now();
    Extend();
    ReadSome();
  }

  void ReadSome() {
    if (parser_->is_done()) return End("the watch ended");
    parser_->get().body().data = piece_.data();
    parser_->get().body().size = piece_.size();
    http::async_read_some(stream_, buffer_, *parser_, [self = shared_from_this()](Error failed, std::size_t) {
      if (!self->owner_) return;
      if (failed == http::error::need_buffer) failed = {};
      const std::size_t got = self->piece_.size() - self->parser_->get().body().size;
      if (!self->Take({self->piece_.data(), got})) return;
      if (!failed && Steady::now() >= self->deadline_) failed = beast::error::timeout;
      if (failed) return self->End(failed);
      self->ReadSome();
    });
  }

  // False when the watch is over.
  bool Take(std::string_view piece) {
    if (!owner_->HasRoomForList(lists_.size() + piece.size())) {
      End("no memory for a list of more than " + std::to_string(lists_.size()) + " bytes");
      return false;
    }
    lists_.Add(piece);
    const std::size_t before = lists_.whole();
    std::string text;
    ObjectReader::Result result;
    while ((result = lists_.Next(&text)) == ObjectReader::Result::kObject) {
      const bool good = owner_->OnText(text);
      if (!owner_) return false;
      if (!good) {
        result = ObjectReader::Result::kGarbled;
        break;
      }
      listed_ = true;
    }
    if (result == ObjectReader::Result::kGarbled) {
      End("a garbled list");
      return false;
    }
    // A part of an object shows nothing: the rest may come byte by byte, or never.
    if (lists_.whole() != before) Extend();
    return true;
  }

  Discovery* owner_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  std::optional<http::response_parser<http::buffer_body>> parser_;  // a new one after each interim answer
  std::array<char, 16384> piece_;
  ObjectReader lists_;
  Steady::time_point deadline_;
  std::optional<Steady::time_point> opened_at_;  // once it was answered with 200
  bool listed_ = false;                          // a list has come on it
};

Discovery::Discovery(asio::io_context& io, Options options, OnList on_list, OnFailure on_failure)
    : io_(io),
      options_(std::move(options)),
      on_list_(std::move(on_list)),
      on_failure_(std::move(on_failure)),
      again_(io),
      jitter_(options_.seed | 1) {}

Discovery::~Discovery() {
  if (stream_) stream_->Orphan();
}

void Discovery::Watch() {
  paused_ = false;
  again_.cancel();
  if (stream_) stream_->Orphan();
  stream_ = std::make_shared<Stream>(*this);
  stream_->Start();
}

void Discovery::Pause() {
  paused_ = true;
  again_.cancel();
  if (stream_) stream_->Orphan();
  stream_.reset();
}

void Discovery::MoveTo(const asio::ip::tcp::endpoint& address) {
  if (address == options_.address) return;
  options_.address = address;
  backoff_ = std::chrono::milliseconds(0);  // earned at the old one
  if (!paused_) Watch();
}

bool Discovery::HasRoomForList(std::size_t bytes) const {
  return bytes <= kSmallListBytes || options_.has_room(kWorkPerByte * bytes);
}

bool Discovery::OnText(std::string_view text) {
  std::string why;
  const auto list = ParseMembers(text, options_.max_list_entries, &why);
  if (!list) {
    log::Warn("discovery", Failure(kGarbledLine, "garbled list: " + why));
    return false;
  }
  if (std::exchange(told_, false)) log::Info("discovery", "back");
  // A change older than the list that it would change must not undo it.
  if (!list->complete && list->revision < options_.revision) return true;
  const std::uint64_t known = std::exchange(options_.revision, list->revision);
  on_list_(*list);
  if (paused_) options_.revision = known;  // it was not taken
  return true;
}

void Discovery::OnEnd(const std::string& why, std::chrono::milliseconds most_pause) {
  if (!std::exchange(told_, true)) log::Warn("discovery", Failure(kDiscoveryAway, "away: " + why));
  stream_.reset();
  if (options_.reconnect == Reconnect::kWhenAsked) return on_failure_();
  backoff_ = std::clamp(backoff_ * 2, kLeastBackoff, kMostBackoff);
  again_.expires_after(Jittered(std::min(backoff_, most_pause)));
  // Once the time is up, nothing cancels this any more: in the same turn a watch may have been opened, or
  // paused, or all of this ended.
  again_.async_wait([this, alive = std::weak_ptr<const bool>(alive_)](const Error& cancelled) {
    if (cancelled || alive.expired() || paused_ || stream_) return;
    Watch();
  });
}

// Between a half and the whole of it: proxies must not come back in step.
std::chrono::milliseconds Discovery::Jittered(std::chrono::milliseconds pause) {
  jitter_ = jitter_ * 6364136223846793005u + 1442695040888963407u;
  return pause / 2 + pause * (jitter_ >> 33) / 2 / (1ull << 31);
}

}  // namespace load_balancer::proxy
