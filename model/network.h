// SPDX-License-Identifier: Apache-2.0
//
// What becomes of a datagram between two machines. Machines are numbers, as the world gives them; each is at
// a site, and a site's own links may differ from those between sites.
#ifndef LOAD_BALANCER_MODEL_NETWORK_H_
#define LOAD_BALANCER_MODEL_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

#include "model/program.h"

namespace load_balancer::model {

// Probabilities are from 0 to 1, each drawn for itself. Delays are uniform between least and most, so that
// packets overtake each other within that; a reordered one is held for up to `hold` more.
struct Link {
  double loss = 0, duplicate = 0, reorder = 0;
  Moment least{std::chrono::microseconds(100)}, most{std::chrono::microseconds(300)};
  Moment hold{std::chrono::milliseconds(20)};
};

class Network {
 public:
  using Id = std::uint64_t;
  using Machines = std::vector<std::size_t>;

  // Of machines of one site, and, until SetWide, of all.
  void SetDefault(const Link& link);
  // Of machines of two sites.
  void SetWide(const Link& link);
  // Of one ordered pair, before all others.
  void Set(std::size_t from, std::size_t to, const Link& link);
  // Machines are at site 0 unless placed.
  void Place(std::size_t machine, std::size_t site);

  // Each lasts until End of what it returned, and they add up. What is under way arrives nevertheless.
  // Nothing goes from the ones to the others.
  Id Cut(const Machines& from, const Machines& to);
  // Nothing goes between two groups. Machines of no group are a group together.
  Id Partition(const std::vector<Machines>& groups);
  // Whatever goes from or to these (empty: between any two) has these probabilities and delays on top.
  Id Disturb(const Machines& who, const Link& more);
  void End(Id id);

  // Delays of the copies of a packet that arrive: none, one or two.
  void Fates(std::size_t from, std::size_t to, std::mt19937_64& random, std::vector<Moment>* delays) const;
  bool Connected(std::size_t from, std::size_t to) const;
  Link At(std::size_t from, std::size_t to) const;

 private:
  struct Fault {
    enum class Kind { kCut, kPartition, kDisturbance } kind;
    std::vector<std::uint8_t> from, to;  // by machine: whether it is of them
    std::vector<std::size_t> group;      // by machine; 0: of none
    Link more;
  };
  const Link& Undisturbed(std::size_t from, std::size_t to) const;

  Link local_, wide_;
  bool wide_set_ = false;
  std::vector<std::size_t> sites_;
  std::unordered_map<std::uint64_t, Link> pairs_;  // looked up only, never walked
  std::map<Id, Fault> faults_;
  Id last_ = 0;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_NETWORK_H_
