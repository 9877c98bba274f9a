// SPDX-License-Identifier: Apache-2.0
#include "standin/site.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace load_balancer::standin {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr std::chrono::milliseconds kLook{100};  // at the list, of a watch
constexpr int kLooksUntilHeartbeat = 20;

Tcp::endpoint AnyPort() { return {asio::ip::make_address("127.0.0.1"), 0}; }

std::string Text(const Tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

asio::awaitable<void> Answer(Tcp::socket& socket, const Request& request, std::string body) {
  http::response<http::string_body> response(http::status::ok, request.version());
  response.keep_alive(request.keep_alive());
  response.body() = std::move(body);
  response.prepare_payload();
  co_await http::async_write(socket, response, asio::use_awaitable);
}

std::string Chunk(const std::string& line) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size());
  return size + line + "\r\n";
}

std::chrono::microseconds WorkOf(const Request& request, std::chrono::microseconds unhinted) {
  const auto hint = request.find("Req-Cost");
  if (hint == request.end()) return unhinted;
  return std::chrono::microseconds(std::strtoll(std::string(hint->value()).c_str(), nullptr, 10));
}

}  // namespace

Site::Server::Server(asio::io_context& io, std::string name) : id(std::move(name)), acceptor(io, AnyPort()) {}

Site::Site(asio::io_context& io, Options options, OnRequest on_request)
    : io_(io), options_(std::move(options)), on_request_(std::move(on_request)), discovery_(io, AnyPort()) {
  asio::co_spawn(io, Accept(discovery_, &Site::Discover, nullptr), asio::detached);
  for (int i = 1; i <= options_.servers; ++i) {
    servers_.push_back(std::make_unique<Server>(io, options_.site + "s-" + std::to_string(i)));
    Server& server = *servers_.back();
    asio::co_spawn(io, Accept(server.acceptor, &Site::Work, &server), asio::detached);
  }
}

Site::~Site() = default;

std::vector<std::pair<std::string, Tcp::endpoint>> Site::servers() const {
  std::vector<std::pair<std::string, Tcp::endpoint>> all;
  for (const auto& server : servers_) all.emplace_back(server->id, server->acceptor.local_endpoint());
  return all;
}

void Site::End(std::size_t index) {
  Server& server = *servers_.at(index);
  server.ended = true;
  ++revision_;
  Error ignored;
  server.acceptor.close(ignored);
  for (const auto& weak : server.sockets) {
    const auto socket = weak.lock();
    if (!socket) continue;
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

asio::awaitable<void> Site::Accept(Tcp::acceptor& acceptor, Serve serve, Server* server) {
  for (;;) {
    Error closed;
    auto socket = std::make_shared<Tcp::socket>(
        co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, closed)));
    if (closed) co_return;
    if (server) {
      std::erase_if(server->sockets, [](const auto& each) { return each.expired(); });
      server->sockets.push_back(socket);
    }
    asio::co_spawn(io_, Session(std::move(socket), serve, server), asio::detached);
  }
}

asio::awaitable<void> Site::Session(std::shared_ptr<Tcp::socket> socket, Serve serve, Server* server) {
  boost::beast::flat_buffer buffer;
  try {
    for (;;) {
      Request request;
      co_await http::async_read(*socket, buffer, request, asio::use_awaitable);
      if (!co_await (this->*serve)(*socket, request, server)) co_return;
    }
  } catch (const boost::system::system_error&) {
    // The other side has gone.
  }
}

asio::awaitable<bool> Site::Work(Tcp::socket& socket, const Request& request, Server* server) {
  on_request_(request);
  auto timer = std::make_shared<asio::steady_timer>(io_);
  if (options_.cores > 0 && server->busy >= options_.cores) {
    Error woken;
    timer->expires_at(asio::steady_timer::time_point::max());
    server->waiting.push_back(timer);
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, woken));
  } else {
    ++server->busy;
  }
  timer->expires_after(WorkOf(request, options_.work));
  co_await timer->async_wait(asio::use_awaitable);
  if (server->waiting.empty()) {
    --server->busy;
  } else {  // its core is the next one's
    server->waiting.front()->cancel();
    server->waiting.pop_front();
  }
  if (server->ended) co_return false;
  co_await Answer(socket, request, server->id + " " + std::string(request["Req-Id"]) + "\n");
  co_return request.keep_alive();
}

asio::awaitable<bool> Site::Discover(Tcp::socket& socket, const Request& request, Server* /*none*/) {
  if (request.target().find("stream=1") == boost::beast::string_view::npos) {
    co_await Answer(socket, request, List());
    co_return true;
  }
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
  asio::steady_timer timer(io_);
  for (int told = 0, looks = 0;; ++looks) {
    if (told != revision_ || looks == kLooksUntilHeartbeat) {
      const std::string piece = Chunk((told != revision_ ? List() : "") + "\n");
      told = revision_;
      looks = 0;
      co_await asio::async_write(socket, asio::buffer(piece), asio::use_awaitable);
    }
    timer.expires_after(kLook);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

std::string Site::List() const {
  auto members = nlohmann::json::array();
  for (const auto& server : servers_)
    if (!server->ended)
      members.push_back({{"id", server->id},
                         {"host_port", Text(server->acceptor.local_endpoint())},
                         {"locality", "a"},
                         {"flavor", "m"},
                         {"cell", 0},
                         {"phase", "in_service"},
                         {"size", 1.0},
                         {"up_since_ms", 0}});
  return nlohmann::json{{"revision", revision_}, {"complete", true}, {"members", members}}.dump();
}

}  // namespace load_balancer::standin
