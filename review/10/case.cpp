// SPDX-License-Identifier: Apache-2.0
//
// A client reads a large answer at 64 kB a second, without a pause. Does it get the whole answer?
#include "harness.h"

namespace {

using namespace review;

constexpr std::size_t kAnswerBytes = 6'000'000;
constexpr double kBytesPerSecond = 64'000, kStep = 0.05, kMostSeconds = 105;

std::string ConfigOf(int clients_port, int discovery_port) {
  return R"({"name":"n1","listen":")" + At(clients_port) + R"(","discovery":")" + At(discovery_port) +
         R"(","seed":"1","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"settings":{"balancers":1,"me":0,"zone":0,"zones":["a"],"kinds":["m"],"tenants":[],
"classes":[{"name":"stand-laden","effect":"read_like","goalTimeMs":400.0,"deadlineMs":1000.0}],
"permissions":{"maxAttempts":3,"connectTimeoutMs":250.0,"connIdleMs":15000.0},
"rules":{"coldFrom":0.3,"warmUpMs":8000.0,"fallMultiple":3.0,"overloadForMs":1500.0}}})";
}

// What a client gets of the answer's body, and what ended its reading.
struct Got {
  std::size_t head = 0, body = 0;
  bool ended = false, right = true;
};

char ByteAt(std::size_t i) { return static_cast<char>('a' + i * 7919 % 23); }

Got ReadAnswer(int fd, bool slowly, Record& record) {
  Got got;
  std::string head;
  std::string bytes(static_cast<std::size_t>(kBytesPerSecond * kStep), '\0');
  const double began = Now();
  double told = began;
  std::size_t read = 0;
  while (got.body < kAnswerBytes && Now() < began + kMostSeconds) {
    if (!WaitReadable(fd, 15)) break;  // nothing for 15 s
    const ssize_t n = ::recv(fd, bytes.data(), bytes.size(), 0);
    if (n <= 0) {
      got.ended = true;
      break;
    }
    read += static_cast<std::size_t>(n);
    std::string piece = bytes.substr(0, static_cast<std::size_t>(n));
    if (got.head == 0) {
      head += piece;
      const auto end = head.find("\r\n\r\n");
      if (end == std::string::npos) continue;
      got.head = end + 4;
      piece = head.substr(got.head);
    }
    for (const char c : piece) got.right &= c == ByteAt(got.body++);
    if (Now() > told + 10) {
      told = Now();
      record.Line("the client has read %zu bytes of the body", got.body);
    }
    if (slowly) SleepFor(began + static_cast<double>(read) / kBytesPerSecond - Now());
  }
  return got;
}

}  // namespace

int main(int, char** argv) {
  Record record(argv[1]);
  Workplace place;
  std::string body(kAnswerBytes, '\0');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = ByteAt(i);
  std::atomic<bool> server_gave_all{false};
  std::vector<Entry> members;
  std::vector<std::unique_ptr<Listener>> servers;
  for (const char* id : {"s-1", "s-2"}) {
    servers.push_back(std::make_unique<Listener>([&](Connection& connection) {
      while (const auto request = connection.Read(3600)) {
        record.Line("a server got %s and begins its answer", request->Get("Req-Id").c_str());
        const bool whole = connection.Send(Answer(body));
        server_gave_all = whole;
        record.Line(whole ? "the server has written its answer whole"
                          : "the server's connection was ended by the proxy within its answer");
        if (!whole) return;
      }
    }));
    servers.back()->Begin();
    members.push_back({id, servers.back()->port()});
  }
  Discovery discovery(members);
  const int port = FreePort();
  place.Start("n1", ConfigOf(port, discovery.port()));
  if (!WaitReady(port)) return kCouldNotRun;
  const auto connection = Connection::To(port);
  if (!connection) return kCouldNotRun;
  connection->Send(
      "GET /stand-laden/l1 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: l1\r\nReq-Kind: stand-laden\r\n"
      "Req-Deadline-Ms: 1000\r\n\r\n");
  const Got got = ReadAnswer(connection->fd(), HasTrouble(), record);
  record.Line("the client got %zu of %zu bytes of the body, %s; %s", got.body, kAnswerBytes,
              got.right ? "as the server made them" : "others than the server made",
              got.ended ? "then the proxy ended the connection" : "the connection is open");
  const bool ran = place.AllRun() && got.head > 0;
  place.End();
  if (!ran) std::_Exit(kCouldNotRun);
  std::_Exit(got.body < kAnswerBytes || !got.right ? kBroken : kHeld);
}
