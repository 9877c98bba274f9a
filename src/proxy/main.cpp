// SPDX-License-Identifier: Apache-2.0
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <optional>
#include <string>

#include "base/log.h"
#include "config.h"
#include "heap_usage.h"
#include "proxy.h"
#include "proxy/failures.h"

namespace {

namespace proxy = load_balancer::proxy;
namespace log = load_balancer::log;
using load_balancer::Failure;

struct Options {
  std::optional<std::string> config;  // in place of ROUTER_CONFIG
  bool check = false;
  log::Format format = log::Format::kText;
};

// The environment, but for the file that the command line names.
proxy::Environment EnvironmentOf(const Options& options) {
  return [config = options.config](const char* name) -> const char* {
    if (config && std::string_view(name) == "ROUTER_CONFIG") return config->c_str();
    return std::getenv(name);
  };
}

// The platform has replaced the configuration file. One that is not whole and right changes nothing.
void FollowConfig(boost::asio::signal_set& hangups, proxy::Proxy& running, const proxy::Environment& env) {
  hangups.async_wait([&](const boost::system::error_code& failed, int) {
    if (failed) return;
    FollowConfig(hangups, running, env);
    try {
      running.Reconfigure(proxy::ReloadConfig(env, running.config()));
      log::Info("config", "reloaded");
    } catch (const proxy::BadConfig& error) {
      for (const std::string& fault : error.faults())
        log::Error("config", Failure(proxy::kNotReloaded, "not reloaded: " + fault));
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
      log::Error("process", Failure(proxy::kHandlerFault, error.what()));
    }
  }
}

std::string Text(const boost::asio::ip::tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

int Check(const proxy::Environment& env) {
  const std::vector<std::string> faults = proxy::CheckConfig(env);
  for (const std::string& fault : faults) std::printf("%s\n", fault.c_str());
  if (faults.empty()) std::printf("configuration is fit to start with\n");
  return faults.empty() ? 0 : 1;
}

int Serve(const Options& options) {
  proxy::ConfigureHeap();
  const proxy::Environment env = EnvironmentOf(options);
  log::Start(options.format, "");
  try {
    boost::asio::io_context io(1);
    // From here on none of them ends the process by itself; what comes early waits until it is listened for.
    boost::asio::signal_set hangups(io, SIGHUP), ends(io, SIGTERM, SIGINT);
    proxy::Config config = proxy::LoadConfig(env);
    log::Start(options.format, config.name);
    for (const std::string& unknown : proxy::UnknownTopKeys(*config.file))
      log::Warn("config", Failure(proxy::kUnknownKey, unknown));
    const bool called = config.operators.has_value();
    const std::string clients = Text(config.listen);
    proxy::Proxy running(io, std::move(config));
    log::Info("process", "started: clients at " + clients + " once servers are listed" +
                             (called ? ", operators at " + Text(running.operators_address()) : ""));
    const proxy::HeapTrimmer trimmer(io);
    FollowConfig(hangups, running, env);
    ends.async_wait([&](const boost::system::error_code& failed, int) {
      if (!failed) running.Stop([&] { io.stop(); });
    });
    Run(io);
  } catch (const proxy::BadConfig& error) {
    for (const std::string& fault : error.faults()) log::Error("config", Failure(proxy::kBadConfig, fault));
    return 1;
  } catch (const std::exception& error) {
    log::Error("process", Failure(proxy::kNotStarted, error.what()));
    return 1;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::setvbuf(stderr, nullptr, _IOLBF, 0);
  CLI::App app(
      "load_balancer_proxy: a load-balancing HTTP/1.1 proxy. With no flags it reads ROUTER_CONFIG and the "
      "other ROUTER_ variables.");
  Options options;
  app.add_option("--config", options.config, "configuration file, in place of $ROUTER_CONFIG");
  app.add_flag("--check-config", options.check,
               "check the configuration whole, one line per fault; exit 0 or 1");
  std::string format = "text";
  app.add_option("--log-format", format, "log lines as text (the default) or as JSON objects, one a line")
      ->check(CLI::IsMember({"text", "json"}));
  app.set_version_flag("--version", std::string("load_balancer_proxy ") + LOAD_BALANCER_VERSION);
  CLI11_PARSE(app, argc, argv);
  options.format = format == "json" ? log::Format::kJson : log::Format::kText;
  if (options.check) return Check(EnvironmentOf(options));
  return Serve(options);
}
