// SPDX-License-Identifier: Apache-2.0
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "config.h"
#include "proxy.h"

namespace {

const char* Env(const char* name) { return std::getenv(name); }

// The platform has replaced the configuration file. One that is not whole and right changes nothing.
void FollowConfig(boost::asio::signal_set& hangups, brackenspoke::proxy::Proxy& proxy) {
  hangups.async_wait([&](const boost::system::error_code& failed, int) {
    if (failed) return;
    FollowConfig(hangups, proxy);
    try {
      proxy.Reconfigure(brackenspoke::proxy::ReloadConfig(Env, proxy.config()));
      std::fprintf(stderr, "kestrelline: reloaded\n");
    } catch (const brackenspoke::proxy::BadConfig& error) {
      std::fprintf(stderr, "kestrelline: not reloaded: %s\n", error.what());
    }
  });
}

// A fault in one handler costs what that handler was about, not the proxy.
void Run(boost::asio::io_context& io) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "kestrelline: %s\n", error.what());
    }
  }
}

}  // namespace

int main() {
  std::setvbuf(stderr, nullptr, _IOLBF, 0);
  try {
    boost::asio::io_context io(1);
    boost::asio::signal_set hangups(io, SIGHUP);  // from here on it does not end the process
    brackenspoke::proxy::Proxy proxy(io, brackenspoke::proxy::LoadConfig(Env));
    FollowConfig(hangups, proxy);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& failed, int) {
      if (!failed) proxy.Stop([&] { io.stop(); });
    });
    Run(io);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "kestrelline: %s\n", error.what());
    return 1;
  }
  return 0;
}
