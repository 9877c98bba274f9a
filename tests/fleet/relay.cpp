// SPDX-License-Identifier: Apache-2.0
//
// The tests' fault relay: forwards UDP datagrams and TCP connections between processes on loopback, and on
// command drops a share of what passes, delays it, duplicates it, holds it back behind the next (reorders),
// or cuts the route.
//
//   relay [--seed N] --route NAME=udp|tcp:LISTEN=TARGET ...
//
// Each route listens on LISTEN (port 0: one that is free) and forwards to TARGET; datagrams that come back to
// a UDP route's socket from TARGET go to whoever sent last. NAME * stands for every route. The relay prints
// `relay control HOST:PORT` and one line `relay route NAME HOST:PORT` per route on standard output, then
// takes calls on the control address, one line a connection, answered by one line beginning with ACK or NAK:
//
//   FAULT NAME [from=HOST:PORT] [drop=SHARE] [delay=MS] [duplicate=SHARE] [reorder=SHARE] [cut=0|1]
//              [stall_there=0|1] [stall_back=0|1]
//                      set the route's faults, or those of a pair: of the datagrams that come from one sender
//   CLEAR NAME         no faults, of the route and of its pairs
//   COUNTS NAME        ACK passed=N dropped=N duplicated=N reordered=N cut=N
//
// A cut drops every datagram and closes the route's TCP connections, and refuses new ones while it holds. A
// TCP route keeps its byte stream whole: of the faults only delay, cut and the two stalls apply to it. A
// stall keeps what comes from clients (there) or goes to them (back) until it ends, as a link that is cut one
// way does with TCP. The target sees each connection come from its client's address.
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

struct Faults {
  double drop = 0, duplicate = 0, reorder = 0;
  int delay_ms = 0;
  bool cut = false, stall_there = false, stall_back = false;
};

struct Counts {
  std::uint64_t passed = 0, dropped = 0, duplicated = 0, reordered = 0, cut = 0;
};

// What every route does with a piece that passes: how many copies go, after how long, whether it waits for
// the next one.
class Judge {
 public:
  explicit Judge(std::uint64_t seed) : random_(seed) {}
  bool Chance(double share) { return share > 0 && std::uniform_real_distribution<>(0, 1)(random_) < share; }

 private:
  std::mt19937_64 random_;
};

class Route {
 public:
  Route(asio::io_context& io, Judge& judge) : io_(io), judge_(judge) {}
  virtual ~Route() = default;
  virtual std::string address() const = 0;
  // The faults have changed.
  virtual void OnFaults() {}
  Faults faults;
  std::map<std::string, Faults> pairs;  // by sender, in place of the route's
  Counts counts;

 protected:
  // Sends `piece` by `send` as `faults` say. A byte stream keeps its order and loses nothing: only a delay
  // or a cut `whole`.
  template <typename Send>
  void Pass(const Faults& faults, Bytes piece, Send send, bool whole = false) {
    if (faults.cut) return void(++counts.cut);
    if (whole) {
      ++counts.passed;
      return Later(faults.delay_ms, [piece, send] { send(piece); });
    }
    if (judge_.Chance(faults.drop)) return void(++counts.dropped);
    const int copies = judge_.Chance(faults.duplicate) ? 2 : 1;
    counts.duplicated += copies - 1;
    ++counts.passed;
    if (judge_.Chance(faults.reorder) && !held_) {
      ++counts.reordered;
      held_ = [piece, send] { send(piece); };
      return;
    }
    for (int i = 0; i < copies; ++i) Later(faults.delay_ms, [piece, send] { send(piece); });
    if (held_) Later(faults.delay_ms, std::exchange(held_, nullptr));
  }

  template <typename Then>
  void Later(int ms, Then then) {
    if (ms <= 0) return then();
    auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(ms));
    timer->async_wait([timer, then](const Error&) { then(); });
  }

  asio::io_context& io_;

 private:
  Judge& judge_;
  std::function<void()> held_;
};

class UdpRoute : public Route {
 public:
  UdpRoute(asio::io_context& io, Judge& judge, const Udp::endpoint& listen, const Udp::endpoint& target)
      : Route(io, judge), socket_(io, listen), target_(target) {
    Receive();
  }
  std::string address() const override {
    const auto at = socket_.local_endpoint();
    return at.address().to_string() + ":" + std::to_string(at.port());
  }

 private:
  void Receive() {
    socket_.async_receive_from(asio::buffer(in_), from_, [this](const Error& failed, std::size_t n) {
      if (failed) return;
      if (from_ != target_) sender_ = from_;
      const Udp::endpoint to = from_ == target_ ? sender_ : target_;
      Pass(FaultsOf(from_),
           std::make_shared<const std::vector<char>>(in_.begin(), in_.begin() + static_cast<long>(n)),
           [this, to](const Bytes& piece) {
             Error ignored;
             socket_.send_to(asio::buffer(*piece), to, 0, ignored);
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
  Udp::endpoint target_, from_, sender_;
  std::array<char, 65536> in_{};
};

class TcpRoute : public Route {
 public:
  TcpRoute(asio::io_context& io, Judge& judge, const Tcp::endpoint& listen, const Tcp::endpoint& target)
      : Route(io, judge), acceptor_(io, listen), target_(target) {
    Accept();
  }
  std::string address() const override {
    const auto at = acceptor_.local_endpoint();
    return at.address().to_string() + ":" + std::to_string(at.port());
  }
  void OnFaults() override {
    for (const auto& weak : std::vector(pairs_))
      if (const auto pair = weak.lock(); pair && faults.cut) pair->Close();
    for (const auto& [pair, there] : std::exchange(stalled_, {})) Copy(pair, there);
  }

 private:
  // A client's connection and the one to the target.
  struct Pair : std::enable_shared_from_this<Pair> {
    Pair(asio::io_context& io, Tcp::socket accepted) : client(std::move(accepted)), server(io) {}
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
      Error failed_from;
      const Tcp::endpoint from(accepted.remote_endpoint(failed_from).address(), 0);
      auto pair = std::make_shared<Pair>(io_, std::move(accepted));
      std::erase_if(pairs_, [](const auto& weak) { return weak.expired(); });
      pairs_.push_back(pair);
      pair->server.open(target_.protocol(), failed_from);
      if (!failed_from) pair->server.bind(from, failed_from);
      if (failed_from) return pair->Close();
      pair->server.async_connect(target_, [this, pair](const Error& refused) {
        if (refused) return pair->Close();
        Copy(pair, true);
        Copy(pair, false);
      });
    });
  }

  // From the client to the target, or back.
  void Copy(const std::shared_ptr<Pair>& pair, bool there) {
    if (there ? faults.stall_there : faults.stall_back) return void(stalled_.emplace_back(pair, there));
    Tcp::socket& from = there ? pair->client : pair->server;
    Tcp::socket& to = there ? pair->server : pair->client;
    from.async_wait(Tcp::socket::wait_read, [this, pair, there, &from, &to](const Error& ended) {
      if (ended) return pair->Close();
      if (there ? faults.stall_there : faults.stall_back) return Copy(pair, there);
      std::vector<char> piece(16384);
      Error failed;
      const std::size_t n = from.read_some(asio::buffer(piece), failed);
      if (failed) return pair->Close();
      piece.resize(n);
      Pass(
          faults, std::make_shared<const std::vector<char>>(std::move(piece)),
          [pair, &to](const Bytes& bytes) {
            Error ignored;
            asio::write(to, asio::buffer(*bytes), ignored);
          },
          /*whole=*/true);
      Copy(pair, there);
    });
  }

  Tcp::acceptor acceptor_;
  Tcp::endpoint target_;
  std::vector<std::weak_ptr<Pair>> pairs_;
  std::vector<std::pair<std::shared_ptr<Pair>, bool>> stalled_;  // that read nothing, there or back
};

class Relay {
 public:
  Relay(asio::io_context& io, std::uint64_t seed)
      : io_(io), judge_(seed), control_(io, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}

  // `spec` is NAME=udp|tcp:LISTEN=TARGET; false if it is none.
  bool Add(const std::string& spec) {
    const auto equals = spec.find('='), colon = spec.find(':'), second = spec.rfind('=');
    if (equals == std::string::npos || second == equals || colon < equals) return false;
    const std::string name = spec.substr(0, equals), kind = spec.substr(equals + 1, colon - equals - 1);
    const auto listen = Split(spec.substr(colon + 1, second - colon - 1));
    const auto target = Split(spec.substr(second + 1));
    if (!listen || !target || routes_.contains(name)) return false;
    if (kind == "udp")
      routes_[name] = std::make_unique<UdpRoute>(io_, judge_, Udp::endpoint(listen->first, listen->second),
                                                 Udp::endpoint(target->first, target->second));
    else if (kind == "tcp")
      routes_[name] = std::make_unique<TcpRoute>(io_, judge_, Tcp::endpoint(listen->first, listen->second),
                                                 Tcp::endpoint(target->first, target->second));
    else
      return false;
    return true;
  }

  void Serve() {
    std::printf("relay control 127.0.0.1:%u\n", control_.local_endpoint().port());
    for (const auto& [name, route] : routes_)
      std::printf("relay route %s %s\n", name.c_str(), route->address().c_str());
    std::fflush(stdout);
    Accept();
  }

 private:
  static std::optional<std::pair<asio::ip::address, unsigned short>> Split(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    Error bad;
    const auto address = asio::ip::make_address(text.substr(0, colon), bad);
    if (bad) return std::nullopt;
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
      return found == routes_.end() ? "NAK unknown route" : AnswerOf(*found->second, verb, rest);
    }
    for (const auto& [each, route] : routes_) answer = AnswerOf(*route, verb, rest);
    return answer;
  }

  static std::string AnswerOf(Route& route, const std::string& verb, const std::string& rest) {
    if (verb == "CLEAR") {
      route.faults = {};
      route.pairs.clear();
      route.OnFaults();
      return "ACK cleared";
    }
    if (verb == "COUNTS") {
      const Counts& c = route.counts;
      return "ACK passed=" + std::to_string(c.passed) + " dropped=" + std::to_string(c.dropped) +
             " duplicated=" + std::to_string(c.duplicated) + " reordered=" + std::to_string(c.reordered) +
             " cut=" + std::to_string(c.cut);
    }
    return verb == "FAULT" ? SetFaults(route, rest) : "NAK unknown call";
  }

  static std::string SetFaults(Route& route, const std::string& rest) {
    std::istringstream words(rest);
    std::string from;
    std::vector<std::pair<std::string, double>> figures;
    for (std::string word; words >> word;) {
      const auto equals = word.find('=');
      if (equals == std::string::npos) return "NAK no key=value: " + word;
      const std::string key = word.substr(0, equals), value = word.substr(equals + 1);
      try {
        if (key == "from")
          from = value;
        else
          figures.emplace_back(key, std::stod(value));
      } catch (const std::exception&) {
        return "NAK no number: " + word;
      }
    }
    const auto pair = route.pairs.find(from);
    Faults next = pair == route.pairs.end() ? route.faults : pair->second;
    for (const auto& [key, value] : figures) {
      if (key == "drop")
        next.drop = value;
      else if (key == "duplicate")
        next.duplicate = value;
      else if (key == "reorder")
        next.reorder = value;
      else if (key == "delay")
        next.delay_ms = static_cast<int>(value);
      else if (key == "cut")
        next.cut = value != 0;
      else if (key == "stall_there")
        next.stall_there = value != 0;
      else if (key == "stall_back")
        next.stall_back = value != 0;
      else
        return "NAK unknown fault: " + key;
    }
    (from.empty() ? route.faults : route.pairs[from]) = next;
    if (from.empty()) route.OnFaults();
    return "ACK faults set";
  }

  asio::io_context& io_;
  Judge judge_;
  Tcp::acceptor control_;
  std::map<std::string, std::unique_ptr<Route>> routes_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("The tests' fault relay between processes on loopback.");
  std::uint64_t seed = 1;
  std::vector<std::string> routes;
  app.add_option("--seed", seed, "for the faults' chances");
  app.add_option("--route", routes, "NAME=udp|tcp:LISTEN=TARGET")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    asio::io_context io(1);
    Relay relay(io, seed);
    for (const std::string& route : routes) {
      if (!relay.Add(route)) {
        std::fprintf(stderr, "relay: no route: %s\n", route.c_str());
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
