// SPDX-License-Identifier: Apache-2.0
//
// What a proxy is told at its start: environment and configuration file, checked.
#ifndef LOAD_BALANCER_PROXY_CONFIG_H_
#define LOAD_BALANCER_PROXY_CONFIG_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/federation/section.h"
#include "fleet/section.h"
#include "load_balancer/balancer.h"
#include "members.h"
#include "overflow/section.h"
#include "quota/section.h"
#include "state/section.h"

namespace load_balancer::proxy {

// what() is one line that says what is missing or wrong.
class BadConfig : public std::runtime_error {
 public:
  explicit BadConfig(const std::string& fault) : BadConfig(std::vector<std::string>{fault}) {}
  explicit BadConfig(std::vector<std::string> faults);

  const std::vector<std::string>& faults() const { return faults_; }  // one line each

 private:
  std::vector<std::string> faults_;
};

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen, discovery;
  std::optional<boost::asio::ip::tcp::endpoint> operators;  // where operators call, if they do
  // Where processes of this proxy keep what they share; empty where none is ever replaced beside itself.
  std::string state_path;
  std::uint64_t seed = 0;
  int sockets = 1024;                      // descriptors that the process may hold
  std::size_t memory = 192 * 1024 * 1024;  // bytes
  Settings settings;
  std::vector<std::string> classes, tenants, zones, kinds;  // their names, by index
  Duration connect_timeout{0};
  Duration conn_idle{0};  // backends close what stands idle for this long
  MemberList known;
  fleet::FleetSection fleet;
  state::StateSection state;
  fleet::SitesSection sites;
  quota::QuotaSection quota;
  overflow::OverflowSection spill;
  std::shared_ptr<const nlohmann::json> file;  // without what is known
};

// Returns the index of `name` in one of a configuration's lists of names, or -1 if it is not in the list.
int IndexOf(const std::vector<std::string>& names, std::string_view name);

// `text` is the configuration file; what the environment names goes before it.
using Environment = std::function<const char*(const char*)>;
Config ParseConfig(std::string_view text, const Environment& env);

// Reads the file that ROUTER_CONFIG names. The system may allow fewer descriptors than that tells.
Config LoadConfig(const Environment& env);

// The settings and discovery of a new file in place of those in force; the rest needs a new start, and what
// the environment says is as old as the process. A file is taken whole or not at all: one that lacks a key
// that the one in force has is not whole.
Config Reconfigure(std::string_view text, const Config& current);

// Of the file that ROUTER_CONFIG names now.
Config ReloadConfig(const Environment& env, const Config& current);

// Keys of the root object that no part of the program reads, one line each.
std::vector<std::string> UnknownTopKeys(const nlohmann::json& root);

// Every fault of the file that ROUTER_CONFIG names, one line each, as a start would see it with `env`; empty
// if it is fit to start with. Keys that no part reads are faults here, while a start only warns of them.
std::vector<std::string> CheckConfig(const Environment& env);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CONFIG_H_
