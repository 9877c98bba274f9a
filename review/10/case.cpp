// SPDX-License-Identifier: Apache-2.0
//
// Clients send large purchases, whole and at once. One server of three begins to hang: it takes connections
// and reads nothing. Does each client get its final answer in its time?
#include "harness.h"

namespace {

using namespace review;

constexpr int kRequests = 12;
constexpr std::size_t kBodyBytes = 5'000'000;
constexpr double kDeadline = 2.5, kGrace = 0.5, kSlack = 0.3, kLookFor = 13;

std::string ConfigOf(int clients_port, int discovery_port) {
  return R"({"name":"n1","listen":")" + At(clients_port) + R"(","discovery":")" + At(discovery_port) +
         R"(","seed":"1","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"settings":{"balancers":1,"me":0,"zone":0,"zones":["a"],"kinds":["m"],"tenants":[],
"classes":[{"name":"kauf-buchen","effect":"non_idempotent","goalTimeMs":1000.0,"deadlineMs":4000.0}],
"permissions":{"maxAttempts":6,"connectTimeoutMs":200.0,"connIdleMs":10000.0},
"rules":{"coldFrom":0.3,"warmUpMs":9000.0,"fallMultiple":3.0,"overloadForMs":1500.0}}})";
}

}  // namespace

int main(int, char** argv) {
  Record record(argv[1]);
  Workplace place;
  std::vector<Entry> members;
  std::vector<std::unique_ptr<Listener>> servers;
  std::atomic<int> hung{0};  // the server that has answered first hangs from then on
  for (int i = 1; i <= 3; ++i) {
    const std::string id = "s-" + std::to_string(i);
    servers.push_back(std::make_unique<Listener>([&record, &hung, id, i](Connection& connection) {
      while (hung != i) {
        const auto request = connection.Read(3600);
        if (!request) return;
        SleepFor(0.1);
        record.Line("server %s ran %s, %zu bytes", id.c_str(), request->Get("Req-Id").c_str(),
                    request->body.size());
        int none = 0;
        if (HasTrouble() && hung.compare_exchange_strong(none, i))
          record.Line("server %s hangs after this answer: it reads nothing more", id.c_str());
        if (!connection.Send(Answer("booked " + request->Get("Req-Id") + "\n"))) return;
      }
      SleepFor(3600);
    }));
    servers.back()->Begin();
    members.push_back({id, servers.back()->port()});
  }
  Discovery discovery(members);
  const int port = FreePort();
  place.Start("n1", ConfigOf(port, discovery.port()));
  if (!WaitReady(port)) return kCouldNotRun;

  const std::string body(kBodyBytes, 'x');
  std::atomic<int> written{0}, lost{0};
  std::vector<std::thread> clients;
  for (int client = 1; client <= kRequests; ++client) {
    clients.emplace_back([&, client] {
      SleepFor(0.3 * client);
      const std::string id = "p" + std::to_string(client);
      const auto connection = Connection::To(port);
      const double began = Now();
      if (!connection ||
          !connection->Send("POST /kauf-buchen/" + id + " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " +
                            id + "\r\nReq-Kind: kauf-buchen\r\nReq-Deadline-Ms: 2500\r\nContent-Length: " +
                            std::to_string(kBodyBytes) + "\r\n\r\n" + body))
        return record.Line("%s was not written whole", id.c_str());
      const double sent = Now();
      ++written;
      auto answer = connection->Read(kDeadline + kGrace + kSlack);
      const bool in_time = answer.has_value();
      lost += !in_time;
      // Only for the record: what comes later.
      if (!in_time && !connection->ended()) answer = connection->Read(kLookFor - kDeadline);
      record.Line("%s, written whole in %.3f s: %s %.3f s after its last byte%s", id.c_str(), sent - began,
                  answer ? answer->first_line.c_str() : "no answer", Now() - sent, in_time ? "" : " -- LOST");
    });
  }
  for (auto& client : clients) client.join();
  record.Line("purchases written whole: %d; with no answer 0.5 s after their time: %d", written.load(),
              lost.load());
  const bool ran = place.AllRun() && written > kRequests / 2;
  place.End();
  if (!ran) std::_Exit(kCouldNotRun);
  std::_Exit(lost > 0 ? kBroken : kHeld);
}
