// SPDX-License-Identifier: Apache-2.0
//
// The replicated state of one member without a network, for tests.
#ifndef LOAD_BALANCER_TESTS_MODEL_REGISTERS_H_
#define LOAD_BALANCER_TESTS_MODEL_REGISTERS_H_

#include <string>
#include <vector>

#include "fleet/state/state.h"

namespace load_balancer::testing {

namespace fl = load_balancer::fleet;

inline constexpr fl::UnixMs kNow = 1700000000000;

// Registers stores the entries of one member and records which entries it accepted and why it rejected
// others.
struct Registers : fl::SharedState::Host {
  explicit Registers(const std::string& name) : state(Options(name), *this) {}
  static fl::StateOptions Options(const std::string& name) {
    fl::StateOptions options;
    options.name = name;
    options.affinity_entries = 3;
    options.max_ejection = 20000;
    options.propagation_time = 400;
    return options;
  }
  bool IsListed(const std::string&) const override { return true; }
  void OnAccepted(const fl::Entry& entry) override { accepted.push_back(entry); }
  void OnRejected(const std::string&, const std::string&, fl::EntryRejection rejection) override {
    rejected.push_back(rejection);
  }
  // Receives all entries of another member.
  void ReceiveAll(Registers& from, fl::UnixMs now) {
    for (const auto& entries : from.state.PackAll(now, 1000)) state.Receive(now, entries);
  }
  std::vector<fl::Entry> accepted;
  std::vector<fl::EntryRejection> rejected;
  fl::SharedState state;
};

// Returns an estimate of the site with this number, as its publisher writes it.
inline fl::FencedValue ValueOf(std::size_t number, fl::UnixMs until = kNow + 10000) {
  const std::string site = std::to_string(number);
  return {"ambassador/" + site, "estimate/" + site, 1, until, {{"mean", number}}};
}

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_MODEL_REGISTERS_H_
