// SPDX-License-Identifier: Apache-2.0
//
// Checks that two members never hold a lease at once if grants arrive late, whichever request they answer.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>

#include "fleet/lease/leases.h"

namespace load_balancer::testing::fleet {
namespace {

namespace fl = load_balancer::fleet;
using std::chrono::milliseconds;

constexpr milliseconds kTerm(3000), kDrift(100), kStep(1);

// Simulates three members in virtual time with exact clocks. From `delay_start_` on, every message to the
// holder takes `holder_delay_`, and only the first round of the holder's requests is delivered.
class LateGrantSimulation {
 public:
  LateGrantSimulation(std::uint64_t seed, milliseconds holder_delay)
      : holder_delay_(holder_delay), random_(seed) {
    for (unsigned short i = 0; i < 3; ++i) {
      Member& member = members_[i];
      member.simulation = this;
      member.address =
          Udp::endpoint(boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(i + 1));
      fl::LeaseOptions options;
      options.holder = std::string(1, static_cast<char>('a' + i));
      options.address = member.address;
      for (unsigned short v = 1; v <= 3; ++v)
        options.voters.emplace_back(boost::asio::ip::address_v4::loopback(), v);
      options.term = kTerm;
      options.drift = kDrift;
      options.leased_roles = {{"d", fl::LeasedRoleKind::kAvailable}};
      options.seed = seed * 3 + i;
      member.leases = std::make_unique<fl::Leases>(options, now_, member);
    }
    delay_start_ = now_ + milliseconds(7000) + milliseconds(random_() % 2000);
  }
  // Runs the simulation and returns for how long two members held the lease at once.
  milliseconds Run() {
    milliseconds overlap(0);
    for (const auto end = now_ + milliseconds(16000); now_ < end; now_ += kStep) {
      for (Member& member : members_) member.leases->Tick(now_, 1000);
      for (; !pending_messages_.empty() && pending_messages_.begin()->first <= now_;
           pending_messages_.erase(pending_messages_.begin())) {
        const PendingMessage pending = pending_messages_.begin()->second;
        members_[pending.to].leases->Receive(now_, members_[pending.from].address, pending.message);
      }
      if (now_ >= delay_start_ && delayed_holder_ == 3)
        delayed_holder_ = Holders().empty() ? 3 : Holders().front();
      if (Holders().size() > 1) overlap += kStep;
    }
    return overlap;
  }

 private:
  using Udp = boost::asio::ip::udp;
  struct PendingMessage {
    std::size_t from, to;
    fl::LeaseMessage message;
  };
  struct Member : fl::Leases::Callbacks {
    void Send(const Udp::endpoint& to, const fl::LeaseMessage& message) override {
      simulation->Post(address.port() - 1u, to.port() - 1u, message);
    }
    void OnLeaseStatus(const std::string&, fl::LeaseStatus, fl::FencingToken, load_balancer::Span,
                       std::string_view) override {}
    void OnFailure(const load_balancer::Failure& failure) override { ADD_FAILURE() << failure.Text(); }
    LateGrantSimulation* simulation = nullptr;
    Udp::endpoint address;
    std::unique_ptr<fl::Leases> leases;
  };

  void Post(std::size_t from, std::size_t to, const fl::LeaseMessage& message) {
    if (from == delayed_holder_ && message.type == fl::LeaseMessage::Type::kRequest) {
      if (first_request_at_ == load_balancer::Time{}) first_request_at_ = now_;
      if (now_ != first_request_at_) return;
    }
    const auto delay = to == delayed_holder_ ? holder_delay_ : milliseconds(1 + random_() % 10);
    pending_messages_.emplace(now_ + delay, PendingMessage{from, to, message});
  }
  std::vector<std::size_t> Holders() const {
    std::vector<std::size_t> holders;
    for (std::size_t i = 0; i < 3; ++i)
      if (members_[i].leases->status(now_, "d") == fl::LeaseStatus::kHolder) holders.push_back(i);
    return holders;
  }

  const milliseconds holder_delay_;
  std::mt19937_64 random_;
  load_balancer::Time now_{std::chrono::hours(1)}, delay_start_, first_request_at_{};
  std::size_t delayed_holder_ = 3;
  std::multimap<load_balancer::Time, PendingMessage> pending_messages_;
  std::array<Member, 3> members_;
};

class LeaseLateGrant : public ::testing::TestWithParam<int> {};

TEST_P(LeaseLateGrant, LeaseTimeStartsWithTheRequestThatTheGrantAnswers) {
  int failed_seeds = 0;
  milliseconds longest(0);
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    const milliseconds overlap = LateGrantSimulation(seed, milliseconds(GetParam())).Run();
    failed_seeds += overlap > milliseconds(0);
    longest = std::max(longest, overlap);
  }
  EXPECT_EQ(failed_seeds, 0) << "of 200 seeds, for up to " << longest.count() << " ms";
}

INSTANTIATE_TEST_SUITE_P(DelayMs, LeaseLateGrant, ::testing::Values(700, 1500));

}  // namespace
}  // namespace load_balancer::testing::fleet
