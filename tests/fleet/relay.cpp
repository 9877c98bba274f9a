// SPDX-License-Identifier: Apache-2.0
//
// The fault relay of the tests. It forwards UDP datagrams and TCP connections between processes on loopback.
// On command it drops, delays, duplicates or reorders traffic, or cuts a route.
//
//   relay [--seed N] --route NAME=udp|tcp:LISTEN=TARGET ...
//
// Each route listens on LISTEN (port 0 selects a free port) and forwards to TARGET. A UDP route sends
// datagrams that it receives from TARGET to the sender of the last datagram. At its start the relay prints
// `relay control HOST:PORT`, and `relay route NAME HOST:PORT` for each route, on standard output. Then it
// accepts commands at the control address, one line per connection, and answers each with one line that
// begins with ACK or NAK. The NAME * selects all routes.
//
//   FAULT NAME [from=HOST:PORT] [drop=SHARE] [delay=MS] [duplicate=SHARE] [reorder=SHARE] [cut=0|1]
//              [stall_there=0|1] [stall_back=0|1]
//                      sets the faults of the route or, with `from`, of the datagrams from one sender (a
//                      pair)
//   CLEAR NAME         ends all faults of the route and of its pairs
//   COUNTS NAME        returns ACK passed=N dropped=N duplicated=N reordered=N cut=N
//
// A cut drops every datagram, closes the route's TCP connections, and closes new connections at once. On a
// TCP route only delay, cut and the two stalls apply, so the byte stream stays complete. A stall delays the
// data from clients (stall_there) or to clients (stall_back) until the stall ends, which is how TCP behaves
// on a link that is cut in one direction. The connections to the target have the source IP address of the
// client.
#include <CLI/CLI.hpp>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;
using Bytes = std::shared_ptr<const std::vector<char>>;

// The faults of a route or of one sender. Shares are probabilities from 0 to 1.
struct Faults {
  double drop = 0, duplicate = 0, reorder = 0;
  int delay_ms = 0;
  bool cut = false, stall_to_target = false, stall_to_client = false;
};

// Counts the datagrams and pieces of data that a route has handled.
struct Counts {
  std::uint64_t passed = 0, dropped = 0, duplicated = 0, reordered = 0, cut = 0;
};

// Draws random events for all routes.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : random_(seed) {}
  bool Happens(double probability) {
    return probability > 0 && std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }

 private:
  std::mt19937_64 random_;
};

// Forwards traffic with faults. Derived classes implement UDP and TCP.
class Route {
 public:
  Route(asio::io_context& io, RandomSource& random_source) : io_(io), random_source_(random_source) {}
  virtual ~Route() = default;
  virtual std::string address() const = 0;
  // Called after the faults of the route have changed.
  virtual void OnFaults() {}
  Faults faults;
  std::map<std::string, Faults> pairs;  // faults by sender, which replace the route's faults
  Counts counts;

 protected:
  // Passes `data` to `send` with the given faults. Only delay and cut apply to a byte stream, because a
  // stream must not lose data.
  template <typename Send>
  void Forward(const Faults& faults, Bytes data, Send send, bool is_stream = false) {
    if (faults.cut) return void(++counts.cut);
    if (is_stream) {
      ++counts.passed;
      return RunAfter(faults.delay_ms, [data, send] { send(data); });
    }
    if (random_source_.Happens(faults.drop)) return void(++counts.dropped);
    const int copies = random_source_.Happens(faults.duplicate) ? 2 : 1;
    counts.duplicated += copies - 1;
    ++counts.passed;
    if (random_source_.Happens(faults.reorder) && !postponed_) {
      ++counts.reordered;
      postponed_ = [data, send] { send(data); };
      return;
    }
    for (int i = 0; i < copies; ++i) RunAfter(faults.delay_ms, [data, send] { send(data); });
    if (postponed_) RunAfter(faults.delay_ms, std::exchange(postponed_, nullptr));
  }

  // Runs `then` after `ms` milliseconds, or at once if that is 0.
  template <typename Then>
  void RunAfter(int ms, Then then) {
    if (ms <= 0) return then();
    auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(ms));
    timer->async_wait([timer, then](const Error&) { then(); });
  }

  asio::io_context& io_;

 private:
  RandomSource& random_source_;
  std::function<void()> postponed_;  // sends a reordered datagram after the next one
};

// Forwards datagrams in both directions.
class UdpRoute : public Route {
 public:
  UdpRoute(asio::io_context& io, RandomSource& random_source, const Udp::endpoint& listen,
           const Udp::endpoint& target)
      : Route(io, random_source), socket_(io, listen), target_(target) {
    Receive();
  }
  std::string address() const override {
    const auto endpoint = socket_.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }

 private:
  void Receive() {
    socket_.async_receive_from(asio::buffer(buffer_), received_from_,
                               [this](const Error& failed, std::size_t n) {
                                 if (failed) return;
                                 if (received_from_ != target_) last_sender_ = received_from_;
                                 const Udp::endpoint to = received_from_ == target_ ? last_sender_ : target_;
                                 Forward(FaultsOf(received_from_),
                                         std::make_shared<const std::vector<char>>(
                                             buffer_.begin(), buffer_.begin() + static_cast<long>(n)),
                                         [this, to](const Bytes& data) {
                                           Error ignored;
                                           socket_.send_to(asio::buffer(*data), to, 0, ignored);
                                         });
                                 Receive();
                               });
  }

  const Faults& FaultsOf(const Udp::endpoint& from) const {
    if (pairs.empty()) return faults;
    const auto pair = pairs.find(from.address().to_string() + ":" + std::to_string(from.port()));
    return pair == pairs.end() ? faults : pair->second;
  }

  Udp::socket socket_;
  Udp::endpoint target_, received_from_, last_sender_;
  std::array<char, 65536> buffer_{};
};

// Forwards TCP connections.
class TcpRoute : public Route {
 public:
  TcpRoute(asio::io_context& io, RandomSource& random_source, const Tcp::endpoint& listen,
           const Tcp::endpoint& target)
      : Route(io, random_source), acceptor_(io, listen), target_(target) {
    Accept();
  }
  std::string address() const override {
    const auto endpoint = acceptor_.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }
  void OnFaults() override {
    for (const auto& weak : std::vector(connections_))
      if (const auto connection = weak.lock(); connection && faults.cut) connection->Close();
    for (const auto& [connection, from_client] : std::exchange(stalled_, {})) Copy(connection, from_client);
  }

 private:
  // The connection of a client and the connection to the target.
  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(asio::io_context& io, Tcp::socket accepted) : client(std::move(accepted)), server(io) {}
    void Close() {
      Error ignored;
      client.close(ignored);
      server.close(ignored);
    }
    Tcp::socket client, server;
  };

  void Accept() {
    acceptor_.async_accept([this](const Error& failed, Tcp::socket accepted) {
      if (failed) return;
      Accept();
      if (faults.cut) return void(++counts.cut);
      Error failure;
      const Tcp::endpoint from(accepted.remote_endpoint(failure).address(), 0);
      auto connection = std::make_shared<Connection>(io_, std::move(accepted));
      std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
      connections_.push_back(connection);
      connection->server.open(target_.protocol(), failure);
      if (!failure) connection->server.bind(from, failure);
      if (failure) return connection->Close();
      connection->server.async_connect(target_, [this, connection](const Error& refused) {
        if (refused) return connection->Close();
        Copy(connection, true);
        Copy(connection, false);
      });
    });
  }

  // Copies data in one direction: from the client to the target, or from the target to the client.
  void Copy(const std::shared_ptr<Connection>& connection, bool from_client) {
    if (from_client ? faults.stall_to_target : faults.stall_to_client)
      return void(stalled_.emplace_back(connection, from_client));
    Tcp::socket& from = from_client ? connection->client : connection->server;
    Tcp::socket& to = from_client ? connection->server : connection->client;
    from.async_wait(Tcp::socket::wait_read, [this, connection, from_client, &from, &to](const Error& ended) {
      if (ended) return connection->Close();
      if (from_client ? faults.stall_to_target : faults.stall_to_client) return Copy(connection, from_client);
      std::vector<char> data(16384);
      Error failed;
      const std::size_t n = from.read_some(asio::buffer(data), failed);
      if (failed) return connection->Close();
      data.resize(n);
      Forward(
          faults, std::make_shared<const std::vector<char>>(std::move(data)),
          [connection, &to](const Bytes& bytes) {
            Error ignored;
            asio::write(to, asio::buffer(*bytes), ignored);
          },
          /*is_stream=*/true);
      Copy(connection, from_client);
    });
  }

  Tcp::acceptor acceptor_;
  Tcp::endpoint target_;
  std::vector<std::weak_ptr<Connection>> connections_;
  std::vector<std::pair<std::shared_ptr<Connection>, bool>>
      stalled_;  // directions that a stall has stopped; true: from the client
};

// Owns the routes and serves the control address.
class Relay {
 public:
  Relay(asio::io_context& io, std::uint64_t seed)
      : io_(io), random_source_(seed), control_(io, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}

  // Adds a route of the form NAME=udp|tcp:LISTEN=TARGET. Returns false if the specification is invalid or the
  // name is taken.
  bool Add(const std::string& spec) {
    const auto equals = spec.find('='), colon = spec.find(':'), last_equals = spec.rfind('=');
    if (equals == std::string::npos || last_equals == equals || colon < equals) return false;
    const std::string name = spec.substr(0, equals), kind = spec.substr(equals + 1, colon - equals - 1);
    const auto listen = ParseEndpoint(spec.substr(colon + 1, last_equals - colon - 1));
    const auto target = ParseEndpoint(spec.substr(last_equals + 1));
    if (!listen || !target || routes_.contains(name)) return false;
    if (kind == "udp")
      routes_[name] =
          std::make_unique<UdpRoute>(io_, random_source_, Udp::endpoint(listen->first, listen->second),
                                     Udp::endpoint(target->first, target->second));
    else if (kind == "tcp")
      routes_[name] =
          std::make_unique<TcpRoute>(io_, random_source_, Tcp::endpoint(listen->first, listen->second),
                                     Tcp::endpoint(target->first, target->second));
    else
      return false;
    return true;
  }

  // Prints the addresses and starts to accept commands.
  void Serve() {
    std::printf("relay control 127.0.0.1:%u\n", control_.local_endpoint().port());
    for (const auto& [name, route] : routes_)
      std::printf("relay route %s %s\n", name.c_str(), route->address().c_str());
    std::fflush(stdout);
    Accept();
  }

 private:
  static std::optional<std::pair<asio::ip::address, unsigned short>> ParseEndpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    Error failure;
    const auto address = asio::ip::make_address(text.substr(0, colon), failure);
    if (failure) return std::nullopt;
    try {
      const int port = std::stoi(text.substr(colon + 1));
      if (port < 0 || port > 65535) return std::nullopt;
      return std::make_pair(address, static_cast<unsigned short>(port));
    } catch (const std::exception&) {
      return std::nullopt;
    }
  }

  void Accept() {
    control_.async_accept([this](const Error& failed, Tcp::socket caller) {
      if (failed) return;
      auto socket = std::make_shared<Tcp::socket>(std::move(caller));
      auto line = std::make_shared<asio::streambuf>(1024);
      asio::async_read_until(*socket, *line, '\n', [this, socket, line](const Error& bad, std::size_t) {
        std::string call;
        if (!bad) std::getline(std::istream(line.get()), call);
        auto answer = std::make_shared<std::string>(Answer(call) + "\n");
        asio::async_write(*socket, asio::buffer(*answer), [socket, answer](const Error&, std::size_t) {});
      });
      Accept();
    });
  }

  std::string Answer(const std::string& call) {
    std::istringstream words(call);
    std::string verb, name, answer;
    words >> verb >> name;
    const std::string rest{std::istreambuf_iterator<char>(words), {}};
    if (name != "*") {
      const auto found = routes_.find(name);
      return found == routes_.end() ? "NAK unknown route" : AnswerForRoute(*found->second, verb, rest);
    }
    for (const auto& [each, route] : routes_) answer = AnswerForRoute(*route, verb, rest);
    return answer;
  }

  static std::string AnswerForRoute(Route& route, const std::string& verb, const std::string& rest) {
    if (verb == "CLEAR") {
      route.faults = {};
      route.pairs.clear();
      route.OnFaults();
      return "ACK cleared";
    }
    if (verb == "COUNTS") {
      const Counts& counts = route.counts;
      return "ACK passed=" + std::to_string(counts.passed) + " dropped=" + std::to_string(counts.dropped) +
             " duplicated=" + std::to_string(counts.duplicated) +
             " reordered=" + std::to_string(counts.reordered) + " cut=" + std::to_string(counts.cut);
    }
    return verb == "FAULT" ? SetFaults(route, rest) : "NAK unknown call";
  }

  static std::string SetFaults(Route& route, const std::string& rest) {
    std::istringstream words(rest);
    std::string from;
    std::vector<std::pair<std::string, double>> settings;
    for (std::string word; words >> word;) {
      const auto equals = word.find('=');
      if (equals == std::string::npos) return "NAK no key=value: " + word;
      const std::string key = word.substr(0, equals), value = word.substr(equals + 1);
      try {
        if (key == "from")
          from = value;
        else
          settings.emplace_back(key, std::stod(value));
      } catch (const std::exception&) {
        return "NAK no number: " + word;
      }
    }
    const auto pair = route.pairs.find(from);
    Faults changed = pair == route.pairs.end() ? route.faults : pair->second;
    for (const auto& [key, value] : settings) {
      if (key == "drop")
        changed.drop = value;
      else if (key == "duplicate")
        changed.duplicate = value;
      else if (key == "reorder")
        changed.reorder = value;
      else if (key == "delay")
        changed.delay_ms = static_cast<int>(value);
      else if (key == "cut")
        changed.cut = value != 0;
      else if (key == "stall_there")
        changed.stall_to_target = value != 0;
      else if (key == "stall_back")
        changed.stall_to_client = value != 0;
      else
        return "NAK unknown fault: " + key;
    }
    (from.empty() ? route.faults : route.pairs[from]) = changed;
    if (from.empty()) route.OnFaults();
    return "ACK faults set";
  }

  asio::io_context& io_;
  RandomSource random_source_;
  Tcp::acceptor control_;
  std::map<std::string, std::unique_ptr<Route>> routes_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("The fault relay of the tests, between processes on loopback.");
  std::uint64_t seed = 1;
  std::vector<std::string> routes;
  app.add_option("--seed", seed, "seed of the random faults");
  app.add_option("--route", routes, "NAME=udp|tcp:LISTEN=TARGET")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    asio::io_context io(1);
    Relay relay(io, seed);
    for (const std::string& route : routes) {
      if (!relay.Add(route)) {
        std::fprintf(stderr, "relay: invalid route: %s\n", route.c_str());
        return 2;
      }
    }
    relay.Serve();
    io.run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "relay: %s\n", error.what());
    return 1;
  }
  return 0;
}
