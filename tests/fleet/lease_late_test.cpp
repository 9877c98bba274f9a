// SPDX-License-Identifier: Apache-2.0
//
// Grants that come late: whatever request they answer, two never hold at once.
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

// Three members in virtual time on one true clock. From `late_from` on, every message to the holder takes
// `late`, and of its requests only the first round gets through.
class LateGrants {
 public:
  LateGrants(std::uint64_t seed, milliseconds late) : late_(late), random_(seed) {
    for (unsigned short i = 0; i < 3; ++i) {
      Seat& seat = seats_[i];
      seat.table = this;
      seat.address =
          Udp::endpoint(boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(i + 1));
      fl::LeaseOptions options;
      options.holder = std::string(1, static_cast<char>('a' + i));
      options.address = seat.address;
      for (unsigned short v = 1; v <= 3; ++v)
        options.voters.emplace_back(boost::asio::ip::address_v4::loopback(), v);
      options.term = kTerm;
      options.drift = kDrift;
      options.leased_roles = {{"d", fl::LeasedRoleKind::kAvailable}};
      options.seed = seed * 3 + i;
      seat.leases = std::make_unique<fl::Leases>(options, now_, seat);
    }
    late_from_ = now_ + milliseconds(7000) + milliseconds(random_() % 2000);
  }
  // The time for which two held at once.
  milliseconds Run() {
    milliseconds both(0);
    for (const auto end = now_ + milliseconds(16000); now_ < end; now_ += kStep) {
      for (Seat& seat : seats_) seat.leases->Tick(now_, 1000);
      for (; !posts_.empty() && posts_.begin()->first <= now_; posts_.erase(posts_.begin())) {
        const Letter post = posts_.begin()->second;
        seats_[post.to].leases->Receive(now_, seats_[post.from].address, post.message);
      }
      if (now_ >= late_from_ && victim_ == 3) victim_ = Holders().empty() ? 3 : Holders().front();
      if (Holders().size() > 1) both += kStep;
    }
    return both;
  }

 private:
  using Udp = boost::asio::ip::udp;
  struct Letter {
    std::size_t from, to;
    fl::LeaseMessage message;
  };
  struct Seat : fl::Leases::Callbacks {
    void Send(const Udp::endpoint& to, const fl::LeaseMessage& message) override {
      table->Put(address.port() - 1u, to.port() - 1u, message);
    }
    void OnLeaseStatus(const std::string&, fl::LeaseStatus, fl::FencingToken, load_balancer::Span,
                       std::string_view) override {}
    void OnFailure(const load_balancer::Failure& failure) override { ADD_FAILURE() << failure.Text(); }
    LateGrants* table = nullptr;
    Udp::endpoint address;
    std::unique_ptr<fl::Leases> leases;
  };

  void Put(std::size_t from, std::size_t to, const fl::LeaseMessage& message) {
    if (from == victim_ && message.type == fl::LeaseMessage::Type::kRequest) {
      if (first_round_ == load_balancer::Time{}) first_round_ = now_;
      if (now_ != first_round_) return;
    }
    const auto delay = to == victim_ ? late_ : milliseconds(1 + random_() % 10);
    posts_.emplace(now_ + delay, Letter{from, to, message});
  }
  std::vector<std::size_t> Holders() const {
    std::vector<std::size_t> holders;
    for (std::size_t i = 0; i < 3; ++i)
      if (seats_[i].leases->status(now_, "d") == fl::LeaseStatus::kHolder) holders.push_back(i);
    return holders;
  }

  const milliseconds late_;
  std::mt19937_64 random_;
  load_balancer::Time now_{std::chrono::hours(1)}, late_from_, first_round_{};
  std::size_t victim_ = 3;
  std::multimap<load_balancer::Time, Letter> posts_;
  std::array<Seat, 3> seats_;
};

class Late : public ::testing::TestWithParam<int> {};

TEST_P(Late, AGrantCountsFromTheRequestThatItAnswers) {
  int seeds = 0;
  milliseconds most(0);
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    const milliseconds both = LateGrants(seed, milliseconds(GetParam())).Run();
    seeds += both > milliseconds(0);
    most = std::max(most, both);
  }
  EXPECT_EQ(seeds, 0) << "of 200 seeds, for up to " << most.count() << " ms";
}

INSTANTIATE_TEST_SUITE_P(By, Late, ::testing::Values(700, 1500));

}  // namespace
}  // namespace load_balancer::testing::fleet
