// SPDX-License-Identifier: Apache-2.0
//
// A member's registers of shared state alone, for tests.
#ifndef LOAD_BALANCER_TESTS_MODEL_REGISTERS_H_
#define LOAD_BALANCER_TESTS_MODEL_REGISTERS_H_

#include <string>
#include <vector>

#include "fleet/state/state.h"

namespace load_balancer::testing {

namespace fl = load_balancer::fleet;

inline constexpr fl::UnixMs kNow = 1700000000000;

struct Registers : fl::SharedState::Host {
  explicit Registers(const std::string& name) : state(Options(name), *this) {}
  static fl::StateOptions Options(const std::string& name) {
    fl::StateOptions options;
    options.name = name;
    options.affinity_entries = 3;
    options.longest_ejection = 20000;
    options.way = 400;
    return options;
  }
  bool Listed(const std::string&) const override { return true; }
  void Taken(const fl::Entry& entry) override { taken.push_back(entry); }
  void Refused(const std::string&, const std::string&, fl::Refusal why) override { refused.push_back(why); }
  void HearAll(Registers& from, fl::UnixMs now) {
    for (const auto& piece : from.state.All(now, 1000)) state.Receive(now, piece);
  }
  std::vector<fl::Entry> taken;
  std::vector<fl::Refusal> refused;
  fl::SharedState state;
};

// Of the site of that number.
inline fl::DutyFact FactOf(std::size_t number, fl::UnixMs until = kNow + 10000) {
  const std::string site = std::to_string(number);
  return {"ambassador/" + site, "estimate/" + site, 1, until, {{"mean", number}}};
}

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_MODEL_REGISTERS_H_
