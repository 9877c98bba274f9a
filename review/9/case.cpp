// SPDX-License-Identifier: Apache-2.0
//
// A client that has had an answer writes its next request on the same connection in two parts, 1 s apart. A
// crowd connects and idles meanwhile. Is the request answered?
#include "harness.h"

namespace {

using namespace review;

constexpr double kBetweenParts = 1.0;
constexpr int kCrowd = 1000, kCrowdPerSecond = 600, kSlowClients = 5;

// Requests that arrived at a server, whole.
struct Arrived {
  std::mutex mutex;
  std::set<std::string> requests;
};

std::string ConfigOf(int clients_port, int discovery_port) {
  return R"({"name":"n1","listen":")" + At(clients_port) + R"(","discovery":")" + At(discovery_port) +
         R"(","seed":"1","limits":{"cores":1.0,"memory_mb":192,"sockets":512},
"settings":{"balancers":1,"me":0,"zone":0,"zones":["a"],"kinds":["m"],"tenants":[],
"classes":[{"name":"kauf-buchen","effect":"non_idempotent","goalTimeMs":1000.0,"deadlineMs":4000.0}],
"permissions":{"maxAttempts":6,"connectTimeoutMs":200.0,"connIdleMs":10000.0},
"rules":{"coldFrom":0.3,"warmUpMs":9000.0,"fallMultiple":3.0,"overloadForMs":1500.0}}})";
}

std::string HeadOf(const std::string& id) {
  return "POST /kauf-buchen/" + id + " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + id +
         "\r\nReq-Kind: kauf-buchen\r\nReq-Deadline-Ms: 4000\r\nContent-Length: 8\r\n\r\n";
}

}  // namespace

int main(int, char** argv) {
  Record record(argv[1]);
  Workplace place;
  Arrived arrived;
  std::vector<Entry> members;
  std::vector<std::unique_ptr<Listener>> servers;
  for (const char* id : {"s-1", "s-2"}) {
    servers.push_back(std::make_unique<Listener>([&](Connection& connection) {
      while (const auto request = connection.Read(3600)) {
        const std::string request_id = request->Get("Req-Id");
        {
          const std::lock_guard lock(arrived.mutex);
          arrived.requests.insert(request_id);
        }
        SleepFor(0.02);
        if (!connection.Send(Answer("booked " + request_id + "\n"))) return;
      }
    }));
    servers.back()->Begin();
    members.push_back({id, servers.back()->port()});
  }
  Discovery discovery(members);
  const int port = FreePort();
  place.Start("n1", ConfigOf(port, discovery.port()));
  if (!WaitReady(port)) return kCouldNotRun;

  std::atomic<int> lost{0}, answered{0};
  std::atomic<bool> may_come{false}, over{false};
  std::vector<std::thread> threads;
  for (int client = 1; client <= kSlowClients; ++client) {
    threads.emplace_back([&, client] {
      const std::string first = "p" + std::to_string(client) + "-1",
                        second = "p" + std::to_string(client) + "-2";
      const auto connection = Connection::To(port);
      if (!connection) return;
      connection->Send(HeadOf(first) + "buy one\n");
      const auto answer = connection->Read(4.5);
      if (!answer || answer->Status() != 200) return record.Line("client %d has no first answer", client);
      const std::string head = HeadOf(second);
      connection->Send(head.substr(0, head.size() / 2));
      record.Line("client %d has written half of the head of %s", client, second.c_str());
      may_come = true;
      SleepFor(kBetweenParts);
      const bool sent = connection->Send(head.substr(head.size() / 2) + "buy two\n");
      record.Line("client %d has written the rest of %s%s", client, second.c_str(), sent ? "" : ", in vain");
      const auto next = connection->Read(4.5);
      if (next) {
        ++answered;
        return record.Line("client %d got: %s", client, next->first_line.c_str());
      }
      lost += sent;
      record.Line("client %d got no answer to %s: %s", client, second.c_str(),
                  connection->ended() ? "the proxy ended the connection" : "nothing came");
    });
  }
  std::vector<std::unique_ptr<Connection>> crowd;
  while (!may_come && Now() < 10) SleepFor(0.01);
  if (HasTrouble()) {
    record.Line("a crowd begins to come: %d connections, %d a second", kCrowd, kCrowdPerSecond);
    const double began = Now();
    for (int i = 0; i < kCrowd; ++i) {
      crowd.push_back(Connection::To(port));
      SleepFor(began + static_cast<double>(i) / kCrowdPerSecond - Now());
    }
    record.Line("the crowd has come");
  }
  for (auto& thread : threads) thread.join();
  over = true;
  record.Line("second requests written whole and answered: %d, never answered: %d", answered.load(),
              lost.load());
  const bool ran = place.AllRun() && answered + lost > 0;
  place.End();
  if (!ran) std::_Exit(kCouldNotRun);
  std::_Exit(lost > 0 ? kBroken : kHeld);
}
