// SPDX-License-Identifier: Apache-2.0
//
// A request whose repeats servers drop for a window. Its first attempt runs and is reset late in the window;
// the connection for the repeat comes up 1 s late. Does the repeat arrive within the window?
#include "harness.h"

namespace {

using namespace review;

constexpr double kWindow = 3.0, kSlack = 0.2;  // the pages' slack is 0.05 s
constexpr double kResetAfter = 2.6;            // from the arrival of the first attempt
constexpr const char* kKey = "k1";
constexpr int kEarlier = 4;            // bookings before it, each on a connection that comes up at once
constexpr double kQueueFullFor = 0.4;  // from the first attempt's reset

// The servers that drop each other's repeats: one store of what has run.
struct Store {
  std::mutex mutex;
  std::map<std::string, double> ran_at;  // by idempotency key
  int runs = 0, arrivals = 0;            // of the request in question
};

// A server that can stop accepting connections for a while, with its queue full.
class Server {
 public:
  Server(std::string id, Store& store, Record& record, std::function<void(Server&)> on_first)
      : id_(std::move(id)), store_(store), record_(record), on_first_(std::move(on_first)) {
    fd_ = BoundSocket(SOCK_STREAM);
    if (fd_ < 0 || ::listen(fd_, 128) != 0) std::exit(kCouldNotRun);
    std::thread([this] { Accept(); }).detach();
  }
  int port() const { return PortOf(fd_); }
  const std::string& id() const { return id_; }

  void StopAccepting() {
    accepts_ = false;
    SleepFor(0.05);  // the thread has noticed
    ::listen(fd_, 0);
    for (int i = 0; i < 2; ++i) {  // two callers of its own fill the queue
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      const sockaddr_in address = Loopback(port());
      (void)!::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    }
    record_.Line("server %s accepts no connection for now", id_.c_str());
  }
  void AcceptAgain() {
    ::listen(fd_, 128);
    accepts_ = true;
    record_.Line("server %s accepts connections again", id_.c_str());
  }

 private:
  void Accept() {
    for (;;) {
      if (!accepts_ || !WaitReadable(fd_, 0.01)) {
        SleepFor(0.005);
        continue;
      }
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      std::thread([this, fd] {
        Connection connection(fd);
        while (const auto request = connection.Read(3600))
          if (!Work(connection, *request)) return;
      }).detach();
    }
  }

  bool Work(Connection& connection, const Message& request) {
    const std::string key = request.Get("Idempotency-Key");
    if (key != kKey) {  // an earlier booking; its connection is not kept
      record_.Line("server %s: run of an earlier booking, key %s", id_.c_str(), key.c_str());
      connection.Send(Answer("booked " + key + "\n", "200 OK", "Connection: close\r\n"));
      return false;
    }
    const double now = Now();
    bool is_first = false, runs = false;
    double since = 0;
    {
      const std::lock_guard lock(store_.mutex);
      is_first = ++store_.arrivals == 1;
      const auto ran = store_.ran_at.find(key);
      if (ran != store_.ran_at.end()) since = now - ran->second;
      runs = ran == store_.ran_at.end() || since > kWindow + kSlack;
      if (runs) {
        store_.ran_at[key] = now;
        ++store_.runs;
      }
    }
    record_.Line("server %s: %s of request %s, key %s, %.3f s after its first run", id_.c_str(),
                 runs ? "RUN" : "repeat dropped", request.Get("Req-Id").c_str(), key.c_str(), since);
    if (!is_first) return connection.Send(Answer("booked " + key + "\n"));
    on_first_(*this);
    SleepFor(kResetAfter - (Now() - now));
    record_.Line("server %s: the connection is reset under the request that has begun", id_.c_str());
    Reset(connection.fd());
    return false;
  }

  const std::string id_;
  Store& store_;
  Record& record_;
  const std::function<void(Server&)> on_first_;
  int fd_ = -1;
  std::atomic<bool> accepts_{true};
};

std::string ConfigOf(int clients_port, int discovery_port) {
  return R"({"name":"n1","listen":")" + At(clients_port) + R"(","discovery":")" + At(discovery_port) +
         R"(","seed":"1","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"settings":{"balancers":1,"me":0,"zone":0,"zones":["a"],"kinds":["m"],"tenants":[],
"classes":[{"name":"kauf-buchen","effect":"idempotency_key","group":"all","windowMs":3000.0,
"goalTimeMs":1000.0,"deadlineMs":5000.0}],
"permissions":{"maxAttempts":6,"connectTimeoutMs":1500.0,"connIdleMs":10000.0},
"rules":{"coldFrom":0.3,"warmUpMs":9000.0,"fallMultiple":3.0,"overloadForMs":1500.0}}})";
}

}  // namespace

int main(int, char** argv) {
  Record record(argv[1]);
  Workplace place;
  Store store;
  std::vector<std::unique_ptr<Server>> servers;
  const auto on_first = [&](Server& first) {
    if (!HasTrouble()) return;
    for (const auto& server : servers) {
      if (server.get() == &first) continue;
      server->StopAccepting();
      std::thread([&server] {
        SleepFor(kResetAfter + kQueueFullFor);
        server->AcceptAgain();
      }).detach();
    }
  };
  std::vector<Entry> members;
  for (const char* id : {"s-1", "s-2"}) {
    servers.push_back(std::make_unique<Server>(id, store, record, on_first));
    members.push_back({id, servers.back()->port()});
  }
  Discovery discovery(members);
  const int port = FreePort();
  place.Start("n1", ConfigOf(port, discovery.port()));
  if (!WaitReady(port)) return kCouldNotRun;
  const auto connection = Connection::To(port);
  if (!connection) return kCouldNotRun;
  for (int i = 1; i <= kEarlier; ++i) {
    const std::string id = "e" + std::to_string(i);
    connection->Send("POST /kauf-buchen/" + id + " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + id +
                     "\r\nReq-Kind: kauf-buchen\r\nIdempotency-Key: " + id +
                     "\r\nReq-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbuy\n");
    const auto answer = connection->Read(5.6);
    if (!answer || answer->Status() != 200) return kCouldNotRun;
  }
  record.Line("the client sends request b1 once, with a deadline of 5 s");
  connection->Send(
      "POST /kauf-buchen/b1 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: b1\r\nReq-Kind: kauf-buchen\r\n"
      "Idempotency-Key: k1\r\nReq-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbuy\n");
  const auto answer = connection->Read(5.6);
  record.Line("the client got: %s", answer ? answer->first_line.c_str() : "nothing");
  SleepFor(0.5);
  const std::lock_guard lock(store.mutex);
  record.Line("arrivals: %d, runs: %d", store.arrivals, store.runs);
  const bool ran = place.AllRun() && store.arrivals > 1;
  place.End();
  if (!ran) std::_Exit(kCouldNotRun);
  std::_Exit(store.runs > 1 ? kBroken : kHeld);
}
