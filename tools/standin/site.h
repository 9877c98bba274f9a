// SPDX-License-Identifier: Apache-2.0
//
// Stand-ins for what the proxies of one site need about them, on loopback and free ports: a discovery, and
// servers that it lists, each with so many cores and a queue.
#ifndef LOAD_BALANCER_TOOLS_STANDIN_SITE_H_
#define LOAD_BALANCER_TOOLS_STANDIN_SITE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace load_balancer::standin {

using Tcp = boost::asio::ip::tcp;
using Request = boost::beast::http::request<boost::beast::http::string_body>;

struct Options {
  std::string site;  // before each server's id
  int servers = 3;
  int cores = 0;                          // requests that a server works on at a time; 0: any number
  std::chrono::microseconds work{20000};  // of a request that has no hint (Req-Cost)
};

class Site {
 public:
  // What has come to one of the servers, whether it is answered or not.
  using OnRequest = std::function<void(const Request&)>;

  // A server answers each request with 200, its id and the request's, when it has worked on it for as long as
  // its hint says; others wait in the order of their arrival. `io` outlives this, and runs it.
  Site(
      boost::asio::io_context& io, Options options, OnRequest on_request = [](const Request&) {});
  ~Site();

  Tcp::endpoint discovery() const { return discovery_.local_endpoint(); }
  // Id and address of each.
  std::vector<std::pair<std::string, Tcp::endpoint>> servers() const;

  // The server's process dies: connections are reset, none is taken, and discovery drops it.
  void End(std::size_t server);

 private:
  struct Server {
    Server(boost::asio::io_context& io, std::string name);
    std::string id;
    Tcp::acceptor acceptor;
    std::vector<std::weak_ptr<Tcp::socket>> sockets;
    int busy = 0;
    std::deque<std::shared_ptr<boost::asio::steady_timer>> waiting;
    bool ended = false;
  };
  using Serve = boost::asio::awaitable<bool> (Site::*)(Tcp::socket&, const Request&, Server*);

  boost::asio::awaitable<void> Accept(Tcp::acceptor& acceptor, Serve serve, Server* server);
  boost::asio::awaitable<void> Session(std::shared_ptr<Tcp::socket> socket, Serve serve, Server* server);
  boost::asio::awaitable<bool> Work(Tcp::socket& socket, const Request& request, Server* server);
  boost::asio::awaitable<bool> Discover(Tcp::socket& socket, const Request& request, Server* none);
  std::string List() const;

  boost::asio::io_context& io_;
  const Options options_;
  const OnRequest on_request_;
  Tcp::acceptor discovery_;
  std::vector<std::unique_ptr<Server>> servers_;
  int revision_ = 1;
};

}  // namespace load_balancer::standin

#endif  // LOAD_BALANCER_TOOLS_STANDIN_SITE_H_
