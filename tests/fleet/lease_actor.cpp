// SPDX-License-Identifier: Apache-2.0
//
// A test program that runs a fleet::Node with real sockets, timers and a file of votes, as the proxy does.
// While it holds the lease of maintenance, it writes to a stand-in resource, each time under a proof. It
// prints the beginning and end of each write on the machine's monotonic clock.
//
//   lease_actor --name N --bind A --advertise A --seeds A... --votes FILE --resource PORT --term MS
#include <CLI/CLI.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <istream>
#include <random>

#include "base/config/endpoint.h"
#include "fleet/node/node.h"

namespace {

namespace asio = boost::asio;
namespace fl = load_balancer::fleet;
using Steady = std::chrono::steady_clock;
using Tcp = asio::ip::tcp;
using std::chrono::milliseconds;

class IgnoringListener : public fl::FleetListener {
 public:
  bool IsListed(const std::string&) const override { return false; }
  void OnEjection(const fl::Ejection&) override {}
  void OnKeyAffinity(const fl::KeyAffinity&, fl::UnixMs) override {}
  void OnLimitShare(int) override {}
  void OnJoined() override {}
  void OnLeaseStatus(const std::string&, fl::LeaseStatus) override {}
  void OnFencedValue(const fl::FencedValue&) override {}
};

long long ToNanoseconds(Steady::time_point moment) { return moment.time_since_epoch().count(); }

fl::NodeOptions OptionsWith(const std::string& votes) {
  fl::NodeOptions options;
  options.votes = votes;
  return options;
}

class Actor {
 public:
  Actor(asio::io_context& io, const fl::FleetSection& section, const std::string& name,
        const std::string& votes, unsigned short resource)
      : name_(name),
        random_(std::random_device()()),
        node_(io, section, name, random_(), listener_, OptionsWith(votes)),
        timer_(io),
        resource_(io) {
    resource_.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), resource));
    ScheduleNext();
  }

 private:
  // Obtains a proof of the lease and schedules a write under it, usually soon and sometimes much later.
  void ScheduleNext() {
    timer_.expires_after(milliseconds(proof_ && random_() % 32 == 0 ? random_() % 4000 : random_() % 10));
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      if (proof_)
        Write(*std::exchange(proof_, std::nullopt));
      else if ((proof_ = node_.ProveLease(fl::kMaintenanceDuty)))
        proof_taken_at_ = ToNanoseconds(Steady::now());
      ScheduleNext();
    });
  }

  // Sends a write with the proof's deadline and token to the resource and prints the answer.
  void Write(const fl::LeaseProof& proof) {
    asio::write(resource_, asio::buffer(name_ + " " + std::to_string(proof.token()) + " " +
                                        std::to_string(proof_taken_at_) + " " +
                                        std::to_string(ToNanoseconds(proof.deadline())) + "\n"));
    asio::read_until(resource_, answer_, '\n');
    std::string answer;
    std::getline(std::istream(&answer_), answer);
    std::printf("act token=%llu begin=%lld end=%lld %s\n", static_cast<unsigned long long>(proof.token()),
                proof_taken_at_, ToNanoseconds(Steady::now()), answer.c_str());
    std::fflush(stdout);
  }

  const std::string name_;
  std::mt19937_64 random_;
  IgnoringListener listener_;
  fl::Node node_;
  asio::steady_timer timer_;
  Tcp::socket resource_;
  asio::streambuf answer_;
  std::optional<fl::LeaseProof> proof_;  // proof for the next write
  long long proof_taken_at_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("writes to a resource while it holds the lease of maintenance");
  std::string name, bind, advertise, votes;
  std::vector<std::string> seeds;
  unsigned short resource = 0;
  int term = 2000;
  app.add_option("--name", name)->required();
  app.add_option("--bind", bind)->required();
  app.add_option("--advertise", advertise)->required();
  app.add_option("--seeds", seeds)->required();
  app.add_option("--votes", votes)->required();
  app.add_option("--resource", resource)->required();
  app.add_option("--term", term);
  CLI11_PARSE(app, argc, argv);
  fl::FleetSection section;
  section.on = true;
  section.bind = load_balancer::ParseUdpEndpoint(bind).value();
  section.advertise = load_balancer::ParseUdpEndpoint(advertise).value();
  for (const std::string& seed : seeds)
    section.seeds.push_back(load_balancer::ParseUdpEndpoint(seed).value());
  section.probe_interval = milliseconds(200);
  section.sync_interval = milliseconds(500);
  section.lease_term = milliseconds(term);
  asio::io_context io;
  const Actor actor(io, section, name, votes, resource);
  io.run();
}
