// SPDX-License-Identifier: Apache-2.0
//
// One server's answer comes a second time, 5 ms after the first: whose answer do other clients get?
#include "harness.h"

namespace {

using namespace review;

constexpr int kServers = 3, kClients = 6;
constexpr double kSeconds = 8, kWork = 0.04, kSecondAnswerAfter = 0.005;
constexpr int kSpoilt = 60;  // the answer, counted over all servers, that comes twice

// What the servers have made, by request.
struct Made {
  std::mutex mutex;
  std::map<std::string, std::string> by_request;
  int answers = 0;
};

void ServeRequests(Connection& connection, const std::string& server, Made& made, Record& record) {
  while (const auto request = connection.Read(3600)) {
    const std::string id = request->Get("Req-Id");
    SleepFor(kWork);
    const std::string body = "stand of " + id + " from " + server + "\n";
    bool twice = false;
    {
      const std::lock_guard lock(made.mutex);
      made.by_request[id] = body;
      twice = ++made.answers == kSpoilt && HasTrouble();
    }
    if (!connection.Send(Answer(body))) return;
    if (!twice) continue;
    SleepFor(kSecondAnswerAfter);
    record.Line("server %s sends its answer to %s a second time", server.c_str(), id.c_str());
    if (!connection.Send(Answer(body))) return;
  }
}

std::string ConfigOf(int clients_port, int discovery_port) {
  return R"({"name":"n1","listen":")" + At(clients_port) + R"(","discovery":")" + At(discovery_port) +
         R"(","seed":"1","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"settings":{"balancers":1,"me":0,"zone":0,"zones":["a"],"kinds":["m"],"tenants":[],
"classes":[{"name":"stand-laden","effect":"read_like","goalTimeMs":400.0,"deadlineMs":1000.0}],
"permissions":{"maxAttempts":3,"connectTimeoutMs":250.0,"connIdleMs":15000.0},
"rules":{"coldFrom":0.3,"warmUpMs":8000.0,"fallMultiple":3.0,"overloadForMs":1500.0}}})";
}

}  // namespace

int main(int, char** argv) {
  Record record(argv[1]);
  Made made;
  Workplace place;
  std::vector<Entry> members;
  std::vector<std::unique_ptr<Listener>> servers;
  for (int i = 1; i <= kServers; ++i) {
    const std::string id = "s-" + std::to_string(i);
    servers.push_back(
        std::make_unique<Listener>([&, id](Connection& c) { ServeRequests(c, id, made, record); }));
    servers.back()->Begin();
    members.push_back({id, servers.back()->port()});
  }
  Discovery discovery(members);
  const int port = FreePort();
  place.Start("n1", ConfigOf(port, discovery.port()));
  if (!WaitReady(port)) return kCouldNotRun;
  record.Line("the proxy is ready");

  std::atomic<int> answered{0}, foreign{0}, missing{0};
  std::vector<std::thread> clients;
  const double until = Now() + kSeconds;
  for (int client = 1; client <= kClients; ++client) {
    clients.emplace_back([&, client] {
      const auto connection = Connection::To(port);
      for (int number = 1; connection && Now() < until; ++number) {
        const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
        connection->Send("GET /stand-laden/" + id + " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + id +
                         "\r\nReq-Kind: stand-laden\r\nReq-Deadline-Ms: 1000\r\n\r\n");
        const auto answer = connection->Read(1.6);
        if (!answer) {
          ++missing;
          record.Line("client %d: no answer to %s", client, id.c_str());
          return;
        }
        if (answer->Status() != 200) continue;
        ++answered;
        const std::lock_guard lock(made.mutex);
        const auto own = made.by_request.find(id);
        if (own != made.by_request.end() && own->second == answer->body) continue;
        ++foreign;
        record.Line("client %d: 200 to %s with the body: %s", client, id.c_str(), answer->body.c_str());
      }
    });
  }
  for (auto& client : clients) client.join();
  const bool ran = place.AllRun() && answered > 100;
  record.Line("answered 200: %d; with a body that no server made for the request: %d; no answer: %d",
              answered.load(), foreign.load(), missing.load());
  place.End();
  if (!ran) return kCouldNotRun;
  std::_Exit(foreign > 0 ? kBroken : kHeld);
}
