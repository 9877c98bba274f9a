// SPDX-License-Identifier: Apache-2.0
//
// The network between the machines of the model. It decides whether a datagram is lost, delayed or
// duplicated. Machines are identified by the numbers that World assigns. Each machine is at a site, and links
// within a site may differ from links between sites.
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

// The properties of a link. Loss, duplication and reordering have independent probabilities from 0 to 1. The
// delay is uniform between min_delay and max_delay, so packets may overtake each other within that range. A
// reordered packet is delayed by up to max_reorder_delay in addition.
struct Link {
  double loss = 0, duplicate = 0, reorder = 0;
  Moment min_delay{std::chrono::microseconds(100)}, max_delay{std::chrono::microseconds(300)};
  Moment max_reorder_delay{std::chrono::milliseconds(20)};
};

// Decides the delay of each packet and whether it arrives.
class Network {
 public:
  using Id = std::uint64_t;  // identifies a fault
  using Machines = std::vector<std::size_t>;

  // Sets the link between machines of one site. Until SetInterSite is called, it also applies between sites.
  void SetDefault(const Link& link);
  // Sets the link between machines of different sites.
  void SetInterSite(const Link& link);
  // Sets the link from one machine to another. It replaces the links of SetDefault and SetInterSite for this
  // pair.
  void Set(std::size_t from, std::size_t to, const Link& link);
  // Assigns a machine to a site. Machines that are not assigned are at site 0.
  void Place(std::size_t machine, std::size_t site);

  // Each of the following three faults lasts until End is called with the returned id. Faults accumulate.
  // Packets that were sent before a fault still arrive.

  // Blocks packets from the machines `from` to the machines `to`.
  Id Cut(const Machines& from, const Machines& to);
  // Blocks packets between different groups. The machines that are in no group form one group.
  Id Partition(const std::vector<Machines>& groups);
  // Adds the probabilities and delays of `change` to those of all packets from or to these machines. An empty
  // list affects all packets.
  Id Degrade(const Machines& machines, const Link& change);
  void End(Id id);

  // Sets `delays` to one delay for each copy of a packet that arrives. There are at most two copies.
  void DrawDelays(std::size_t from, std::size_t to, std::mt19937_64& random,
                  std::vector<Moment>* delays) const;
  // Returns whether packets from one machine to the other are not blocked by a cut or partition.
  bool Connected(std::size_t from, std::size_t to) const;
  // Returns the link between two machines including the current faults.
  Link LinkBetween(std::size_t from, std::size_t to) const;

 private:
  struct Fault {
    enum class Kind { kCut, kPartition, kDegradation } kind;
    std::vector<std::uint8_t> from, to;  // by machine: 1 if the fault affects the machine
    std::vector<std::size_t> group;      // by machine; 0 means that the machine is in no group
    Link change;
  };
  const Link& LinkWithoutFaults(std::size_t from, std::size_t to) const;

  Link same_site_, inter_site_;
  bool has_inter_site_ = false;
  std::vector<std::size_t> sites_;
  std::unordered_map<std::uint64_t, Link> pairs_;  // must not be iterated: its order is unspecified
  std::map<Id, Fault> faults_;
  Id last_id_ = 0;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_NETWORK_H_
