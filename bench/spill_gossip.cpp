// SPDX-License-Identifier: Apache-2.0
//
// Measures the cost of estimates in the federation pool. Each member runs the real shared state, and entries
// are encoded as on the wire. As in the pool, a member passes a new entry on to three others at once. Prints
// a Markdown table, by number of sites, of the bytes that each member sends per second and of the age of the
// estimates on arrival.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <deque>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/state/state.h"
#include "fleet/wire/codec.h"
#include "overflow/estimate.h"

namespace {

using namespace load_balancer;
using fleet::UnixMs;

constexpr UnixMs kStart = 1800000000000;
constexpr std::size_t kPushFanout = 3;
constexpr char kPool[] = "flintspar-sites";

// Member is one gateway, with the ages of the estimates that it has received.
struct Member : fleet::SharedState::Host {
  explicit Member(std::string name) : state({.name = std::move(name)}, *this) {}
  bool IsListed(const std::string&) const override { return true; }
  void OnAccepted(const fleet::Entry& entry) override {
    const auto made = std::get<fleet::FencedValue>(entry.content).value.at("made_at").get<UnixMs>();
    ages.push_back(static_cast<double>(now - made));
  }
  void OnRejected(const std::string&, const std::string&, fleet::EntryRejection) override { ++rejected; }

  fleet::SharedState state;
  UnixMs now = 0;
  std::vector<double> ages;  // ms
  std::uint64_t bytes = 0, rejected = 0;
};

// Delivery is a message in flight.
struct Delivery {
  UnixMs at;
  std::uint64_t order;
  std::size_t to;
  nlohmann::json entries;
  bool operator>(const Delivery& other) const {
    return std::tie(at, order) > std::tie(other.at, other.order);
  }
};

// Pool runs the members of all sites in virtual time. `delay` is the mean delay of a message in ms.
class Pool {
 public:
  Pool(std::size_t sites, std::size_t gateways, UnixMs delay, double loss)
      : sites_(sites), gateways_(gateways), delay_(delay), loss_(loss) {
    for (std::size_t i = 0; i < sites * gateways; ++i) members_.emplace_back("gateway-" + std::to_string(i));
  }

  void Run(UnixMs interval, UnixMs duration) {
    for (UnixMs ms = 0; ms < duration; ++ms) {
      for (std::size_t s = 0; s < sites_; ++s)
        if (ms % interval == s * interval / sites_) MakeEstimate(s, kStart + ms);
      while (!in_flight_.empty() && in_flight_.top().at <= kStart + ms) {
        const Delivery delivery = in_flight_.top();
        in_flight_.pop();
        Member& member = members_[delivery.to];
        member.now = delivery.at;
        member.state.Receive(delivery.at, delivery.entries);
        Push(delivery.to, delivery.at);
      }
    }
  }

  void Print(UnixMs interval, UnixMs duration) {
    std::uint64_t bytes = 0, max_bytes = 0, rejected = 0;
    std::vector<double> ages;
    for (const Member& member : members_) {
      bytes += member.bytes;
      max_bytes = std::max(max_bytes, member.bytes);
      rejected += member.rejected;
      ages.insert(ages.end(), member.ages.begin(), member.ages.end());
    }
    std::sort(ages.begin(), ages.end());
    const double seconds = static_cast<double>(duration) / 1000, count = static_cast<double>(members_.size());
    const double expected = static_cast<double>(sites_ * (duration / interval)) * (count - 1);
    std::printf("| %zu | %zu | %.0f | %.0f | %.1f %% | %.0f | %.0f | %llu |\n", sites_, members_.size(),
                static_cast<double>(bytes) / seconds / count, static_cast<double>(max_bytes) / seconds,
                100 * static_cast<double>(ages.size()) / expected, ages[ages.size() / 2],
                ages[ages.size() * 99 / 100], static_cast<unsigned long long>(rejected));
  }

 private:
  // Makes the estimate of the site and writes it to the shared state of its first gateway.
  void MakeEstimate(std::size_t site, UnixMs now) {
    overflow::Estimate estimate{
        "site-" + std::to_string(site), 41, now, 123456, 98765, 17, gateways_, false, 3600000};
    const std::string lease = "ambassador/site";
    members_[site * gateways_].state.Write(
        now, fleet::FencedValue{lease, "estimate/" + estimate.site, 41, now + 3000, ToJson(estimate)});
    Push(site * gateways_, now);
  }

  // Sends the entries that are new to the member to a few others.
  void Push(std::size_t from, UnixMs now) {
    Member& member = members_[from];
    while (member.state.has_unpushed()) {
      fleet::Message message = MakeMessage(from);
      fleet::PackedPush push = member.state.PackPush(now, fleet::RemainingBytes(kPool, message));
      if (push.keys.empty()) return;
      message.state = std::move(push.entries);
      for (const std::size_t to : DrawReceivers(from)) Send(from, to, now, message);
      member.state.MarkPushed(push.keys);
    }
  }

  static fleet::Message MakeMessage(std::size_t from) {
    fleet::Message message;
    message.kind = fleet::Message::Kind::kState;
    message.sender = {
        "gateway-" + std::to_string(from), {boost::asio::ip::make_address("10.0.0.1"), 7900}, {}, 1, ""};
    return message;
  }

  std::set<std::size_t> DrawReceivers(std::size_t from) {
    std::set<std::size_t> receivers;
    while (receivers.size() < std::min(kPushFanout, members_.size() - 1)) {
      const std::size_t to = random_() % members_.size();
      if (to != from) receivers.insert(to);
    }
    return receivers;
  }

  void Send(std::size_t from, std::size_t to, UnixMs now, const fleet::Message& message) {
    members_[from].bytes += fleet::Encode(kPool, message).size();
    const bool is_lost = std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
    if (!is_lost) in_flight_.push({now + delay_ / 2 + random_() % delay_, ++order_, to, message.state});
  }

  const std::size_t sites_, gateways_;
  const UnixMs delay_;
  const double loss_;
  std::deque<Member> members_;
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> in_flight_;
  std::mt19937_64 random_{1};
  std::uint64_t order_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Bytes of estimates in the federation pool, by number of sites");
  std::vector<std::size_t> sites{2, 5, 10, 20};
  std::size_t gateways = 3;
  UnixMs interval = 500, seconds = 10, delay = 20;
  double loss = 0;
  app.add_option("--sites", sites, "numbers of sites");
  app.add_option("--gateways", gateways, "gateways of each site");
  app.add_option("--interval-ms", interval, "milliseconds between two estimates of a site");
  app.add_option("--seconds", seconds, "seconds of virtual time of each run");
  app.add_option("--way-ms", delay, "mean delay of a message in ms");
  app.add_option("--loss", loss, "fraction of messages that are lost, 0 to 1");
  CLI11_PARSE(app, argc, argv);

  std::printf("| sites | members | bytes/s, mean | most | arrived | age p50 ms | p99 ms | refused |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const std::size_t count : sites) {
    Pool pool(count, gateways, delay, loss);
    pool.Run(interval, seconds * 1000);
    pool.Print(interval, seconds * 1000);
    std::fflush(stdout);
  }
  return 0;
}
