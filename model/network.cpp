// SPDX-License-Identifier: Apache-2.0
#include "model/network.h"

#include <algorithm>

namespace load_balancer::model {
namespace {

// Returns the element of a machine in a list, or a default value if the list is too short.
template <typename T>
T ValueOrDefault(const std::vector<T>& values, std::size_t machine) {
  return machine < values.size() ? values[machine] : T{};
}

// Returns a flag for each machine: 1 for those listed.
std::vector<std::uint8_t> MachineFlags(const Network::Machines& machines) {
  std::vector<std::uint8_t> marks;
  for (const std::size_t machine : machines) {
    if (machine >= marks.size()) marks.resize(machine + 1);
    marks[machine] = 1;
  }
  return marks;
}

std::uint64_t PairKey(std::size_t from, std::size_t to) {
  return (static_cast<std::uint64_t>(from) << 32) | static_cast<std::uint64_t>(to);
}

bool Happens(double probability, std::mt19937_64& random) {
  if (probability <= 0) return false;
  return std::generate_canonical<double, 53>(random) < probability;
}

Moment DrawBetween(Moment min, Moment max, std::mt19937_64& random) {
  if (max <= min) return min;
  return Moment(std::uniform_int_distribution<Moment::rep>(min.count(), max.count())(random));
}

Moment DrawDelay(const Link& link, std::mt19937_64& random) {
  const Moment delay = DrawBetween(link.min_delay, link.max_delay, random);
  return Happens(link.reorder, random) ? delay + DrawBetween(Moment(0), link.max_reorder_delay, random)
                                       : delay;
}

}  // namespace

void Network::SetDefault(const Link& link) { same_site_ = link; }

void Network::SetInterSite(const Link& link) {
  inter_site_ = link;
  has_inter_site_ = true;
}

void Network::Set(std::size_t from, std::size_t to, const Link& link) { pairs_[PairKey(from, to)] = link; }

void Network::Place(std::size_t machine, std::size_t site) {
  if (machine >= sites_.size()) sites_.resize(machine + 1);
  sites_[machine] = site;
}

Network::Id Network::Cut(const Machines& from, const Machines& to) {
  faults_[++last_id_] = {Fault::Kind::kCut, MachineFlags(from), MachineFlags(to), {}, {}};
  return last_id_;
}

Network::Id Network::Partition(const std::vector<Machines>& groups) {
  Fault fault{Fault::Kind::kPartition, {}, {}, {}, {}};
  std::size_t number = 0;
  for (const Machines& group : groups) {
    ++number;
    for (const std::size_t machine : group) {
      if (machine >= fault.group.size()) fault.group.resize(machine + 1);
      fault.group[machine] = number;
    }
  }
  faults_[++last_id_] = std::move(fault);
  return last_id_;
}

Network::Id Network::Degrade(const Machines& machines, const Link& change) {
  faults_[++last_id_] = {Fault::Kind::kDegradation, MachineFlags(machines), {}, {}, change};
  return last_id_;
}

void Network::End(Id id) { faults_.erase(id); }

bool Network::Connected(std::size_t from, std::size_t to) const {
  for (const auto& [id, fault] : faults_) {
    if (fault.kind == Fault::Kind::kCut && ValueOrDefault(fault.from, from) && ValueOrDefault(fault.to, to))
      return false;
    if (fault.kind == Fault::Kind::kPartition &&
        ValueOrDefault(fault.group, from) != ValueOrDefault(fault.group, to))
      return false;
  }
  return true;
}

const Link& Network::LinkWithoutFaults(std::size_t from, std::size_t to) const {
  if (!pairs_.empty()) {
    const auto found = pairs_.find(PairKey(from, to));
    if (found != pairs_.end()) return found->second;
  }
  return has_inter_site_ && ValueOrDefault(sites_, from) != ValueOrDefault(sites_, to) ? inter_site_
                                                                                       : same_site_;
}

Link Network::LinkBetween(std::size_t from, std::size_t to) const {
  Link link = LinkWithoutFaults(from, to);
  for (const auto& [id, fault] : faults_) {
    if (fault.kind != Fault::Kind::kDegradation) continue;
    if (!fault.from.empty() && !ValueOrDefault(fault.from, from) && !ValueOrDefault(fault.from, to)) continue;
    link.loss = 1 - (1 - link.loss) * (1 - fault.change.loss);
    link.duplicate = 1 - (1 - link.duplicate) * (1 - fault.change.duplicate);
    link.reorder = 1 - (1 - link.reorder) * (1 - fault.change.reorder);
    link.min_delay += fault.change.min_delay;
    link.max_delay += fault.change.max_delay;
    if (fault.change.reorder > 0)
      link.max_reorder_delay = std::max(link.max_reorder_delay, fault.change.max_reorder_delay);
  }
  return link;
}

void Network::DrawDelays(std::size_t from, std::size_t to, std::mt19937_64& random,
                         std::vector<Moment>* delays) const {
  delays->clear();
  if (!Connected(from, to)) return;
  const Link link = LinkBetween(from, to);
  if (Happens(link.loss, random)) return;
  delays->push_back(DrawDelay(link, random));
  if (Happens(link.duplicate, random)) delays->push_back(DrawDelay(link, random));
}

}  // namespace load_balancer::model
