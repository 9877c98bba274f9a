// SPDX-License-Identifier: Apache-2.0
//
// A fleet of proxies with the fault relay between all members. Each member advertises the address of its own
// relay route. A route distinguishes the senders, so that a fault can be limited to one pair of members.
#ifndef LOAD_BALANCER_TESTS_FLEET_CLUSTER_H_
#define LOAD_BALANCER_TESTS_FLEET_CLUSTER_H_

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <sstream>

#include "harness.h"
#include "loopback.h"
#include "program_paths.h"

namespace load_balancer::testing::fleet {

using Udp = boost::asio::ip::udp;

// Returns the loopback address with this port as text.
inline std::string LoopbackAddress(unsigned short port) { return "127.0.0.1:" + std::to_string(port); }

// Starts the proxies and the relay, and controls and observes them.
class Cluster {
 public:
  // Starts `count` proxies. `section` contains the keys of the configuration section `fleet` that differ from
  // the defaults, and the first `seeds` members become its seeds. `config` is the rest of the configuration.
  // `edit` may change the configuration of each member.
  Cluster(std::size_t count, nlohmann::json section,
          nlohmann::json config = ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), {}),
          const std::function<void(std::size_t, nlohmann::json&)>& edit = NoEdit, std::size_t seeds = 2)
      : binds_(count),
        relay_(load_balancer::testing::kRelayPath, Routes(binds_)),
        fleet_(load_balancer::testing::kProxyPath) {
    for (std::size_t i = 0; i < std::min(seeds, count); ++i)
      section["seeds"].push_back(LoopbackAddress(relay_.Port(Name(i))));
    for (std::size_t i = 0; i < count; ++i) {
      section["bind"] = LoopbackAddress(bind(i));
      section["advertise"] = LoopbackAddress(relay_.Port(Name(i)));
      config["fleet"] = section;
      nlohmann::json member_config = config;
      edit(i, member_config);
      fleet_.Start(std::move(member_config));
    }
  }

  static void NoEdit(std::size_t, nlohmann::json&) {}
  static std::string Name(std::size_t index) {
    std::string name = std::to_string(index + 1);
    name.insert(0, 1, 'n');
    return name;
  }
  Member& operator[](std::size_t index) { return fleet_[index]; }
  Process& process(std::size_t index) { return *fleet_[index].process; }
  std::size_t size() const { return fleet_.size(); }
  void Restart(std::size_t index) { fleet_.Restart(index); }
  std::string SendRelayCommand(const std::string& line) const { return relay_.SendCommand(line); }
  unsigned short bind(std::size_t index) const { return binds_.at(index).port(); }

  // Blocks datagrams in both directions between the given members and all others.
  void Cut(const std::vector<std::size_t>& members) {
    const auto is_listed = [&](std::size_t i) {
      return std::find(members.begin(), members.end(), i) != members.end();
    };
    for (std::size_t to = 0; to < size(); ++to)
      for (std::size_t from = 0; from < size(); ++from)
        if (is_listed(to) != is_listed(from))
          SendRelayCommand("FAULT " + Name(to) + " from=" + LoopbackAddress(bind(from)) + " cut=1");
  }
  // Ends all faults of the relay.
  void Heal() const { SendRelayCommand("CLEAR *"); }

  // Waits until `observer` logs that `member` is in `state`, at line `from` or later. Returns the index of
  // that line, or nothing after `max_wait`.
  std::optional<std::size_t> WaitForState(std::size_t observer, std::size_t member, const std::string& state,
                                          std::size_t from = 0, milliseconds max_wait = kMaxWait) {
    const auto line =
        process(observer).WaitFor("member=" + Name(member) + " state=" + state + " ", from, max_wait);
    if (!line) return std::nullopt;
    return line->first;
  }
  // Waits until every member has logged every other one as alive. Returns false if one does not within
  // kMaxWait.
  bool WaitUntilAllAlive() {
    for (std::size_t i = 0; i < size(); ++i)
      for (std::size_t j = 0; j < size(); ++j)
        if (i != j && !WaitForState(i, j, "alive")) return false;
    return true;
  }
  // Returns the number of lines that each member has logged so far.
  std::vector<std::size_t> LineCounts() {
    std::vector<std::size_t> counts;
    for (std::size_t i = 0; i < size(); ++i) counts.push_back(process(i).LineCount());
    return counts;
  }

  // Returns a map from each member's name to its "state incarnation" in the observer's answer to MEMBERS.
  std::map<std::string, std::string> View(std::size_t observer) {
    std::map<std::string, std::string> view;
    const std::string answer = Call(fleet_[observer].operators, "MEMBERS");
    std::istringstream entries(answer.substr(4, answer.find(';') - 4));
    for (std::string entry; std::getline(entries, entry, ',');) {
      std::istringstream words(entry);
      std::string name, state, incarnation;
      words >> name >> state >> incarnation;
      view[name] = state + " " + incarnation;
    }
    return view;
  }
  // Returns a counter from the end of the observer's answer to MEMBERS.
  std::uint64_t Counter(std::size_t observer, const std::string& key) {
    const std::string answer = Call(fleet_[observer].operators, "MEMBERS");
    const auto at = answer.find(" " + key + "=");
    if (at == std::string::npos)
      throw std::runtime_error("the counter " + key + " is missing in the answer: " + answer);
    return std::stoull(answer.substr(at + key.size() + 2));
  }
  // Waits until all given members have the same view. Returns false after `max_wait`.
  bool WaitUntilViewsAgree(const std::vector<std::size_t>& members, milliseconds max_wait) {
    const auto until = std::chrono::steady_clock::now() + max_wait;
    do {
      const auto first = View(members.front());
      if (std::all_of(members.begin(), members.end(), [&](std::size_t i) { return View(i) == first; }))
        return true;
      std::this_thread::sleep_for(milliseconds(20));
    } while (std::chrono::steady_clock::now() < until);
    return false;
  }
  // Returns the number of log lines of all members that contain `text`.
  std::size_t Count(const std::string& text) {
    std::size_t count = 0;
    for (std::size_t i = 0; i < size(); ++i)
      for (const std::string& line : process(i).Lines()) count += line.find(text) != std::string::npos;
    return count;
  }

 private:
  static std::vector<std::string> Routes(const std::vector<LeasedPort>& binds) {
    std::vector<std::string> routes;
    for (std::size_t i = 0; i < binds.size(); ++i)
      routes.push_back(Name(i) + "=udp:127.0.0.1:0=" + LoopbackAddress(binds[i].port()));
    return routes;
  }

  std::vector<LeasedPort> binds_;
  class Relay relay_;
  Fleet fleet_;
};

}  // namespace load_balancer::testing::fleet

#endif  // LOAD_BALANCER_TESTS_FLEET_CLUSTER_H_
