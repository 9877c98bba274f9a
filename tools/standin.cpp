// SPDX-License-Identifier: Apache-2.0
//
// Stand-ins for what a proxy needs about it, on loopback and free ports: a discovery, and servers that it
// lists.
//
//   standin [--servers N] [--delay-ms MS]
//
// Prints `standin discovery HOST:PORT` and a line `standin server ID HOST:PORT` for each server. The
// discovery answers GET /v1/endpoints with the whole list, and with ?stream=1 as a watch that holds the list
// and then an empty line every 2 s. A server answers each request with 200 and its id after the delay. Ends
// on SIGTERM or SIGINT.
#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Serve =
    std::function<asio::awaitable<bool>(Tcp::socket&, const Request&)>;  // false ends the connection

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

asio::awaitable<void> Session(Tcp::socket socket, const Serve& serve) {
  boost::beast::flat_buffer buffer;
  try {
    for (;;) {
      Request request;
      co_await http::async_read(socket, buffer, request, asio::use_awaitable);
      if (!co_await serve(socket, request)) co_return;
    }
  } catch (const boost::system::system_error&) {
    // The other side has gone.
  }
}

asio::awaitable<void> Accept(Tcp::acceptor& acceptor, const Serve& serve) {
  for (;;) {
    Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    asio::co_spawn(acceptor.get_executor(), Session(std::move(socket), serve), asio::detached);
  }
}

std::string Chunk(const std::string& line) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size());
  return size + line + "\r\n";
}

asio::awaitable<bool> Discover(Tcp::socket& socket, const Request& request, const std::string& list) {
  if (request.target().find("stream=1") == boost::beast::string_view::npos) {
    co_await Answer(socket, request, list);
    co_return true;
  }
  std::string piece = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(list + "\n");
  asio::steady_timer timer(socket.get_executor());
  for (;;) {
    co_await asio::async_write(socket, asio::buffer(piece), asio::use_awaitable);
    timer.expires_after(std::chrono::seconds(2));
    co_await timer.async_wait(asio::use_awaitable);
    piece = Chunk("\n");
  }
}

struct Server {
  std::string id;
  Tcp::acceptor acceptor;
  Serve serve;
};

Tcp::endpoint AnyPort() { return {asio::ip::make_address("127.0.0.1"), 0}; }

std::string ListOf(const std::vector<Server>& servers) {
  auto members = nlohmann::json::array();
  for (const Server& server : servers)
    members.push_back({{"id", server.id},
                       {"host_port", Text(server.acceptor.local_endpoint())},
                       {"locality", "a"},
                       {"flavor", "m"},
                       {"cell", 0},
                       {"phase", "in_service"},
                       {"size", 1.0},
                       {"up_since_ms", 0}});
  return nlohmann::json{{"revision", 1}, {"complete", true}, {"members", members}}.dump();
}

void Run(int count, int delay_ms) {
  asio::io_context io(1);
  std::vector<Server> servers;
  for (int i = 1; i <= count; ++i) {
    const std::string id = "s-" + std::to_string(i);
    servers.push_back({id, Tcp::acceptor(io, AnyPort()),
                       [id, delay_ms](Tcp::socket& socket, const Request& request) -> asio::awaitable<bool> {
                         asio::steady_timer timer(socket.get_executor(), std::chrono::milliseconds(delay_ms));
                         co_await timer.async_wait(asio::use_awaitable);
                         co_await Answer(socket, request, id + "\n");
                         co_return request.keep_alive();
                       }});
  }
  Tcp::acceptor discovery(io, AnyPort());
  const std::string list = ListOf(servers);
  const Serve discover = [&list](Tcp::socket& socket, const Request& request) {
    return Discover(socket, request, list);
  };
  std::printf("standin discovery %s\n", Text(discovery.local_endpoint()).c_str());
  for (const Server& server : servers)
    std::printf("standin server %s %s\n", server.id.c_str(), Text(server.acceptor.local_endpoint()).c_str());
  std::fflush(stdout);
  asio::co_spawn(io, Accept(discovery, discover), asio::detached);
  for (Server& server : servers) asio::co_spawn(io, Accept(server.acceptor, server.serve), asio::detached);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-in discovery and servers on loopback.");
  int servers = 3, delay_ms = 20;
  app.add_option("--servers", servers, "how many")->check(CLI::Range(1, 100));
  app.add_option("--delay-ms", delay_ms, "of each answer")->check(CLI::Range(0, 60000));
  CLI11_PARSE(app, argc, argv);
  try {
    Run(servers, delay_ms);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "standin: %s\n", error.what());
    return 1;
  }
  return 0;
}
