// SPDX-License-Identifier: Apache-2.0
//
// A site of a few proxies that are one fleet with leases, for the cases about maintenance.
#ifndef LOAD_BALANCER_REVIEW_COMMON_2_FLEET_H_
#define LOAD_BALANCER_REVIEW_COMMON_2_FLEET_H_

#include "harness.h"

namespace review {

struct Arrival {
  double at = 0;
  std::string server, request;
};

// Servers, each on a port of its own, that answer at once and note what arrives.
class Servers {
 public:
  Servers(const std::vector<std::string>& ids) {
    for (const std::string& id : ids) {
      listeners_.push_back(std::make_unique<Listener>([this, id](Connection& c) { Serve(c, id); }));
      listeners_.back()->Begin();
      members_.push_back({id, listeners_.back()->port()});
    }
  }
  const std::vector<Entry>& members() const { return members_; }
  // What has arrived so far at the servers `ids` after `since`, of requests whose ids begin with `prefix`.
  std::vector<Arrival> ArrivedAt(const std::set<std::string>& ids, const std::string& prefix, double since) {
    const std::lock_guard lock(mutex_);
    std::vector<Arrival> found;
    for (const Arrival& each : arrivals_)
      if (each.at > since && ids.contains(each.server) && each.request.rfind(prefix, 0) == 0)
        found.push_back(each);
    return found;
  }

 private:
  void Serve(Connection& connection, const std::string& id) {
    while (const auto request = connection.Read(3600)) {
      {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back({Now(), id, request->Get("Req-Id")});
      }
      SleepFor(0.005);
      if (!connection.Send(Answer("stand of " + request->Get("Req-Id") + "\n"))) return;
    }
  }

  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::vector<Entry> members_;
  std::vector<std::unique_ptr<Listener>> listeners_;
};

struct FleetMember {
  std::string name;
  int clients = 0, operators = 0, bind = 0, route = 0;
  pid_t process = 0;
};

// Three proxies. Each reaches the others over the relay.
class Fleet {
 public:
  Fleet(Workplace& place, Record& record, int discovery) : record_(record) {
    for (int n = 1; n <= 3; ++n) {
      FleetMember member;
      member.name = "n" + std::to_string(n);
      member.clients = FreePort();
      member.operators = FreePort();
      member.bind = FreePort();
      member.route = relay_.Add(member.bind);
      members_.push_back(member);
    }
    relay_.Begin();
    for (FleetMember& member : members_)
      member.process = place.Start(member.name, ConfigOf(member, discovery));
  }

  const std::vector<FleetMember>& members() const { return members_; }
  DatagramRelay& relay() { return relay_; }

  bool WaitUntilReady() {
    return std::all_of(members_.begin(), members_.end(),
                       [](const FleetMember& member) { return WaitReady(member.clients); });
  }

  // The member that holds the duty of maintenance; null if none says so in time.
  const FleetMember* WaitForHolder(double seconds) {
    const double until = Now() + seconds;
    while (Now() < until) {
      for (const FleetMember& member : members_)
        if (Call(member.operators, "LEASES").find("maintenance holder ") != std::string::npos) return &member;
      SleepFor(0.1);
    }
    return nullptr;
  }

  // One call of an operator, which goes to the record.
  std::string Operate(const FleetMember& member, const std::string& line) {
    const std::string answer = Call(member.operators, line);
    record_.Line("operator to %s: %s -> %s", member.name.c_str(), line.c_str(), answer.c_str());
    return answer;
  }

  // Sends `count` requests through the member, one after another, `gap` seconds apart. Returns how many were
  // answered 200.
  int Ask(const FleetMember& member, int count, double gap) {
    int served = 0;
    for (int i = 0; i < count; ++i) {
      const std::string id = member.name + "-" + std::to_string(++last_request_);
      const auto connection = Connection::To(member.clients);
      if (connection) {
        connection->Send("GET /stand-laden/" + id + " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + id +
                         "\r\nReq-Kind: stand-laden\r\nReq-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n");
        const auto answer = connection->Read(1.6);
        served += answer && answer->Status() == 200;
      }
      SleepFor(gap);
    }
    return served;
  }

 private:
  std::string ConfigOf(const FleetMember& member, int discovery) const {
    std::string seeds;
    for (const FleetMember& each : members_)
      seeds += std::string(seeds.empty() ? "\"" : ",\"") + At(each.route) + '"';
    return R"({"name":")" + member.name + R"(","listen":")" + At(member.clients) + R"(","ops":")" +
           At(member.operators) + R"(","discovery":")" + At(discovery) + R"(","seed":")" +
           std::to_string(member.bind) + R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"settings":{"balancers":3,"me":0,"zone":0,"zones":["a"],"kinds":["m"],"tenants":[],
"classes":[{"name":"stand-laden","effect":"read_like","goalTimeMs":400.0,"deadlineMs":1000.0}],
"permissions":{"maxAttempts":3,"connectTimeoutMs":250.0,"connIdleMs":15000.0},
"rules":{"coldFrom":0.3,"warmUpMs":8000.0,"fallMultiple":3.0,"overloadForMs":1500.0}},
"fleet":{"bind":")" +
           At(member.bind) + R"(","advertise":")" + At(member.route) + R"(","seeds":[)" + seeds +
           R"(],"lease_term_ms":3000},"state":{}})";
  }

  Record& record_;
  DatagramRelay relay_;
  std::vector<FleetMember> members_;
  int last_request_ = 0;
};

}  // namespace review

#endif  // LOAD_BALANCER_REVIEW_COMMON_2_FLEET_H_
