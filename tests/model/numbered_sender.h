// SPDX-License-Identifier: Apache-2.0
//
// Programs that send numbered packets to each other and record what they receive, for tests of the model
// itself.
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

// Records the packets, ticks and starts of all programs. The test owns it.
struct Recording {
  struct Reception {
    std::size_t receiver, sender, number;
    Moment sent, received;
  };
  std::vector<Reception> received;
  std::vector<std::pair<std::size_t, Moment>> ticks, starts;
};

// Sends one numbered packet per interval, to the other machines in turn. The next number is kept on disk.
class NumberedSender : public Program {
 public:
  struct Content {
    std::size_t sender, number;
    Moment sent;
  };
  NumberedSender(Host& host, std::size_t machine, std::size_t machines, Span interval, Recording* recording)
      : host_(host),
        machine_(machine),
        machines_(machines),
        interval_(interval),
        recording_(recording),
        next_(host.Now() + interval) {
    number_ = std::stoul(host_.Disk().emplace("number", "0").first->second);
    recording_->starts.emplace_back(machine, host.TrueTime());
  }
  void Receive(const Packet& packet) override {
    const auto& content = std::any_cast<const Content&>(*packet.content);
    recording_->received.push_back(
        {machine_, content.sender, content.number, content.sent, host_.TrueTime()});
  }
  void Tick() override {
    recording_->ticks.emplace_back(machine_, host_.TrueTime());
    next_ = host_.Now() + interval_;
    const std::size_t to = (machine_ + 1 + number_ % (machines_ - 1)) % machines_;
    host_.Send(AddressOf(to), Content{machine_, number_, host_.TrueTime()}, 100);
    host_.Disk()["number"] = std::to_string(++number_);
  }
  Time Next() const override { return next_; }

 private:
  Host& host_;
  const std::size_t machine_, machines_;
  const Span interval_;
  Recording* const recording_;
  std::size_t number_ = 0;
  Time next_;
};

// Adds machines that run a NumberedSender each.
inline void AddNumberedSenders(World& world, std::size_t machines, Span interval, Recording* recording,
                               MachineClock clock = {}) {
  for (std::size_t i = 0; i < machines; ++i)
    world.Add(
        std::to_string(i), AddressOf(i),
        [=](Host& host) { return std::make_unique<NumberedSender>(host, i, machines, interval, recording); },
        clock);
}

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_TESTS_MODEL_NUMBERED_SENDER_H_
