// SPDX-License-Identifier: Apache-2.0
//
// Gateways of several sites as processes, each on a loopback address of its own, with the fault relay on
// every path between sites: that of the federation's pool, and that of spilled requests, whose route
// `a1>b2` is where gateway a1 has b2 by its configuration.
#ifndef LOAD_BALANCER_TESTS_FEDERATION_GATEWAYS_H_
#define LOAD_BALANCER_TESTS_FEDERATION_GATEWAYS_H_

#include <array>
#include <atomic>
#include <functional>

#include "cluster.h"
#include "program_paths.h"
#include "sites.h"

namespace load_balancer::testing::federation {

using fleet::kMaxWait;
using fleet::milliseconds;
using fleet::Process;
using nlohmann::json;
using Steady = std::chrono::steady_clock;

inline std::string SiteName(int site) { return std::string(1, static_cast<char>('a' + site)); }

class Gateways {
 public:
  static constexpr int kSites = 3, kPerSite = 3, kAll = kSites * kPerSite;
  // `config` is what all share; `edit` adds to each one's, by its site and number there.
  using Edit = std::function<void(int site, int gateway, json& config)>;

  Gateways(const json& config, const json& sites, const Edit& edit)
      : ports_(3 * kAll), relay_(load_balancer::testing::kRelayPath, Routes()) {
    for (int i = 0; i < kAll; ++i) clients_.push_back(HostOf(i) + ":" + PortText(2 * kAll + i));
    for (int i = 0; i < kAll; ++i) folders_.push_back(std::make_unique<fleet::Folder>());
    for (int i = 0; i < kAll; ++i) {
      json own = config;
      own["name"] = Name(i);
      own["listen"] = clients_[Index(i)];
      own["ops"] = HostOf(i) + ":0";
      own["fleet"]["bind"] = HostOf(i) + ":" + PortText(kAll + i);
      for (int g = 0; g < kPerSite; ++g) {
        const int mate = i / kPerSite * kPerSite + g;
        own["fleet"]["seeds"].push_back(HostOf(mate) + ":" + PortText(kAll + mate));
      }
      own["sites"] = sites;
      own["sites"]["site"] = SiteName(i / kPerSite);
      own["sites"]["bind"] = Bind(i);
      own["sites"]["advertise"] = Pool(i);
      for (int each = 0; each < kAll; ++each)
        own["sites"]["gateways"][SiteName(each / kPerSite)][Name(each)] = {{"pool", Pool(each)},
                                                                           {"clients", Clients(i, each)}};
      for (int site = 0; site < kSites; ++site) own["sites"]["voters"].push_back(Pool(site * kPerSite));
      edit(i / kPerSite, i % kPerSite, own);
      std::ofstream(folders_[Index(i)]->path / "config.json") << own.dump();
    }
    processes_.resize(kAll);
    for (int i = 0; i < kAll; ++i) Launch(i);
    for (int i = 0; i < kAll; ++i) AwaitStart(i);
  }

  static std::size_t Index(int i) { return static_cast<std::size_t>(i); }
  static std::string Name(int i) { return GatewayName(i / kPerSite, i % kPerSite); }
  Process& operator[](int i) { return *processes_[Index(i)]; }
  fleet::Tcp::endpoint clients(int i) const { return fleet::EndpointAfter(clients_[Index(i)], ""); }
  std::string Operator(int i, const std::string& call) { return fleet::Call(operators_[Index(i)], call); }
  std::string Relay(const std::string& line) const { return relay_.SendCommand(line); }

  // A new process in the place of one, with its folder.
  void Launch(int i) {
    const std::string file = folders_[Index(i)]->path / "config.json";
    processes_[Index(i)] = std::make_unique<Process>(
        load_balancer::testing::kProxyPath, std::vector<std::string>{"--config", file},
        std::map<std::string, std::string>{{"TMPDIR", folders_[Index(i)]->path}});
  }
  void AwaitStart(int i) {
    const auto line = (*this)[i].WaitFor(fleet::Fleet::kListening);
    if (!line) throw std::runtime_error(Name(i) + " did not start");
    operators_[Index(i)] = fleet::EndpointAfter(line->second, "operators at ");
  }

  // Of all that goes from one site to another: `datagrams` of the pool, and `requests` of spilling gateways
  // there. Faults as the relay has them; "" leaves one as it is.
  void Fault(int from, int to, const std::string& datagrams, const std::string& requests) {
    for (const int sender : Site(from))
      for (const int receiver : Site(to)) {
        if (!datagrams.empty()) Relay("FAULT " + Name(receiver) + " from=" + Bind(sender) + " " + datagrams);
        if (!requests.empty()) Relay("FAULT " + Way(sender, receiver) + " " + requests);
      }
  }
  // The pool's datagrams pass only within each group.
  void Part(const std::vector<std::vector<int>>& groups) {
    std::vector<int> group_of(kAll);
    for (std::size_t g = 0; g < groups.size(); ++g)
      for (const int i : groups[g]) group_of[Index(i)] = static_cast<int>(g);
    for (int to = 0; to < kAll; ++to)
      for (int from = 0; from < kAll; ++from)
        if (group_of[Index(to)] != group_of[Index(from)])
          Relay("FAULT " + Name(to) + " from=" + Bind(from) + " cut=1");
  }
  void Heal() const { Relay("CLEAR *"); }
  static std::vector<int> Site(int site) {
    return {site * kPerSite, site * kPerSite + 1, site * kPerSite + 2};
  }

  std::vector<std::size_t> Marks() {
    std::vector<std::size_t> marks;
    for (int i = 0; i < kAll; ++i) marks.push_back((*this)[i].LineCount());
    return marks;
  }
  // The gateway whose log has a line with `part` after its mark, other than `but`; -1 if none has in time.
  int WaitForAny(const std::string& part, const std::vector<std::size_t>& marks, int but = -1) {
    const auto until = Steady::now() + kMaxWait;
    while (Steady::now() < until)
      for (int i = 0; i < kAll; ++i)
        if (i != but && (*this)[i].WaitFor(part, marks[Index(i)], milliseconds(5))) return i;
    return -1;
  }
  bool WaitForAll(const std::string& part, const std::vector<std::size_t>& marks) {
    for (int i = 0; i < kAll; ++i)
      if (!(*this)[i].WaitFor(part, marks[Index(i)])) return false;
    return true;
  }

 private:
  static std::string HostOf(int i) { return federation::HostOf(i / kPerSite, i % kPerSite); }
  void Set(const std::string& fault) const {
    const std::string answer = Relay("FAULT " + fault);
    if (!answer.starts_with("ACK")) throw std::runtime_error(answer + ": " + fault);
  }
  std::string Bind(int i) const { return HostOf(i) + ":" + PortText(i); }
  std::string Pool(int i) { return HostOf(i) + ":" + std::to_string(relay_.Port(Name(i))); }
  static std::string Way(int from, int to) { return Name(from) + ">" + Name(to); }
  // Where gateway `of` finds another one's clients' address.
  std::string Clients(int of, int to) {
    if (of / kPerSite == to / kPerSite) return clients_[Index(to)];
    return HostOf(to) + ":" + std::to_string(relay_.Port(Way(of, to)));
  }
  std::vector<std::string> Routes() const {
    std::vector<std::string> routes;
    for (int i = 0; i < kAll; ++i) routes.push_back(Name(i) + "=udp:" + HostOf(i) + ":0=" + Bind(i));
    for (int from = 0; from < kAll; ++from)
      for (int to = 0; to < kAll; ++to)
        if (from / kPerSite != to / kPerSite)
          routes.push_back(Way(from, to) + "=tcp:" + HostOf(to) + ":0=" + HostOf(to) + ":" +
                           PortText(2 * kAll + to));
    return routes;
  }

  std::string PortText(int i) const { return std::to_string(ports_[Index(i)].port()); }

  std::vector<LeasedPort> ports_;  // of the pool, the fleets and the clients
  fleet::Relay relay_;
  std::vector<std::string> clients_;
  std::vector<std::unique_ptr<fleet::Folder>> folders_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::array<fleet::Tcp::endpoint, kAll> operators_;
};

// When each request was sent by its client and when it first arrived at a server. What a gateway decided of
// it, it decided in between.
class Journal {
 public:
  struct Entry {
    Steady::time_point sent, arrived;
    int arrivals = 0;
  };
  std::string Sent() {
    const std::lock_guard lock(mutex_);
    entries_.push_back({Steady::now(), {}, 0});
    return std::to_string(entries_.size());
  }
  void Arrived(const std::string& id) {
    const std::lock_guard lock(mutex_);
    Entry& entry = entries_.at(std::stoul(id) - 1);
    if (entry.arrivals++ > 0) return;
    entry.arrived = Steady::now();
    ++count_;
    changed_.notify_all();
  }
  std::size_t count() {
    const std::lock_guard lock(mutex_);
    return count_;
  }
  // So many more have arrived.
  bool WaitForMore(std::size_t more) {
    std::unique_lock lock(mutex_);
    const std::size_t least = count_ + more;
    return changed_.wait_for(lock, kMaxWait, [&] { return count_ >= least; });
  }
  // All that arrived, by when they were sent.
  std::vector<Entry> Take() {
    const std::lock_guard lock(mutex_);
    std::vector<Entry> arrived;
    for (const Entry& entry : entries_)
      if (entry.arrivals > 0) arrived.push_back(entry);
    return arrived;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Entry> entries_;
  std::size_t count_ = 0;
};

}  // namespace load_balancer::testing::federation

#endif  // LOAD_BALANCER_TESTS_FEDERATION_GATEWAYS_H_
