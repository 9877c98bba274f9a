// SPDX-License-Identifier: Apache-2.0
//
// Programs that send numbered packets round and note what they get, for tests of the model itself.
#ifndef LOAD_BALANCER_TESTS_MODEL_NUMBERED_SENDER_H_
#define LOAD_BALANCER_TESTS_MODEL_NUMBERED_SENDER_H_

#include <string>
#include <vector>

#include "model/world.h"

namespace load_balancer::model {

inline Endpoint AddressOf(std::size_t machine) {
  const auto ip = boost::asio::ip::address_v4(0x0a000000u + static_cast<std::uint32_t>(machine) + 1);
  return {ip, 4000};
}

// What all lives of all machines have seen; owned by the test.
struct Seen {
  struct One {
    std::size_t by, from, number;
    Moment sent, at;
  };
  std::vector<One> received;
  std::vector<std::pair<std::size_t, Moment>> ticks, starts;
};

class Chatter : public Program {
 public:
  struct Word {
    std::size_t from, number;
    Moment sent;
  };
  Chatter(Host& host, std::size_t me, std::size_t machines, Span every, Seen* seen)
      : host_(host), me_(me), machines_(machines), every_(every), seen_(seen), next_(host.Now() + every) {
    number_ = std::stoul(host_.Disk().emplace("number", "0").first->second);
    seen_->starts.emplace_back(me, host.True());
  }
  void Receive(const Packet& packet) override {
    const auto& word = std::any_cast<const Word&>(*packet.content);
    seen_->received.push_back({me_, word.from, word.number, word.sent, host_.True()});
  }
  void Tick() override {
    seen_->ticks.emplace_back(me_, host_.True());
    next_ = host_.Now() + every_;
    const std::size_t to = (me_ + 1 + number_ % (machines_ - 1)) % machines_;
    host_.Send(AddressOf(to), Word{me_, number_, host_.True()}, 100);
    host_.Disk()["number"] = std::to_string(++number_);
  }
  Time Next() const override { return next_; }

 private:
  Host& host_;
  const std::size_t me_, machines_;
  const Span every_;
  Seen* const seen_;
  std::size_t number_ = 0;
  Time next_;
};

inline void AddChatters(World& world, std::size_t machines, Span every, Seen* seen, MachineClock clock = {}) {
  for (std::size_t i = 0; i < machines; ++i)
    world.Add(
        std::to_string(i), AddressOf(i),
        [=](Host& host) { return std::make_unique<Chatter>(host, i, machines, every, seen); }, clock);
}

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_TESTS_MODEL_NUMBERED_SENDER_H_
