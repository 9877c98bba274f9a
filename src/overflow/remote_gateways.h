// SPDX-License-Identifier: Apache-2.0
//
// The neighbours' gateways: which are present, and which are left for a while because they refuse or fail, by
// gRFC A50's failure percentage with its multiplied ejection time. All of them may be left at once: a spilled
// request is a chance, and nobody depends on it.
#ifndef LOAD_BALANCER_OVERFLOW_REMOTE_GATEWAYS_H_
#define LOAD_BALANCER_OVERFLOW_REMOTE_GATEWAYS_H_

#include <compare>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "overflow/options.h"

namespace load_balancer::overflow {

struct Neighbour {
  std::string site, gateway;
  auto operator<=>(const Neighbour&) const = default;
};

class Neighbours {
 public:
  // A50's terms.
  static constexpr std::chrono::milliseconds kInterval{2000};
  static constexpr std::chrono::milliseconds kBaseEjectionTime{2000}, kMaxEjectionTime{30000};
  static constexpr int kRequestVolume = 5;       // answers in an interval before any verdict
  static constexpr int kFailurePercentage = 50;  // of them refused or failed

  // `random` spreads the returns over a quarter either way, so that spillers do not come back as one.
  Neighbours(const Directory& sites, const std::string& own_site, std::mt19937_64& random);
  void Configure(const Directory& sites, const std::string& own_site);

  // The federation pool has it as present, or not. Until told, a configured gateway counts as present.
  void SetPresent(const Neighbour& neighbour, bool present);
  // Counts an answer; true if the gateway is left because of it.
  bool Answered(Time now, const Neighbour& neighbour, bool good);
  // The gateways whose ejection ended by now, each once; lets the multipliers of the others fall.
  std::vector<Neighbour> Advance(Time now);

  bool InService(Time now, const Neighbour& neighbour) const;
  bool AnyInService(Time now, const std::string& site) const;
  // The site's gateways in service, in order of their names.
  std::vector<Neighbour> InService(Time now, const std::string& site) const;

 private:
  struct Health {
    bool present = true, ejected = false;
    int good = 0, bad = 0;
    int multiplier = 0;
    Time interval_ends{}, return_at{};
  };
  void Roll(Time now, Health& health) const;

  std::mt19937_64& random_;
  std::map<Neighbour, Health> health_;
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_REMOTE_GATEWAYS_H_
