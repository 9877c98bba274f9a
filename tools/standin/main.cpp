// SPDX-License-Identifier: Apache-2.0
//
// Stand-ins for what a proxy needs about it, on loopback and free ports: a discovery, and servers that it
// lists.
//
//   standin [--servers N] [--delay-ms MS] [--cores N] [--site NAME]
//
// Prints `standin discovery HOST:PORT` and a line `standin server ID HOST:PORT` for each server. The
// discovery answers GET /v1/endpoints with the whole list, and with ?stream=1 as a watch that holds the list
// and then an empty line every 2 s. A server answers each request with 200, its id and the request's after
// the delay or, if it has one, the time of its Req-Cost (us); with --cores at most so many at a time, while
// the others wait. Ids begin with NAME. Ends on SIGTERM or SIGINT.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <string>

#include "standin/site.h"

namespace {

namespace asio = boost::asio;
using namespace load_balancer;

std::string Text(const standin::Tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

void Run(standin::Options options) {
  asio::io_context io(1);
  standin::Site site(io, std::move(options));
  std::printf("standin discovery %s\n", Text(site.discovery()).c_str());
  for (const auto& [id, address] : site.servers())
    std::printf("standin server %s %s\n", id.c_str(), Text(address).c_str());
  std::fflush(stdout);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-in discovery and servers on loopback.");
  standin::Options options;
  int delay_ms = 20;
  app.add_option("--servers", options.servers, "how many")->check(CLI::Range(1, 100));
  app.add_option("--delay-ms", delay_ms, "of an answer without a hint")->check(CLI::Range(0, 60000));
  app.add_option("--cores", options.cores, "requests at a time at each server; 0: any number")
      ->check(CLI::Range(0, 1000));
  app.add_option("--site", options.site, "begins the ids of the servers");
  CLI11_PARSE(app, argc, argv);
  options.work = std::chrono::milliseconds(delay_ms);
  try {
    Run(std::move(options));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "standin: %s\n", error.what());
    return 1;
  }
  return 0;
}
