// SPDX-License-Identifier: Apache-2.0
#include "model/network.h"

#include <algorithm>

namespace load_balancer::model {
namespace {

template <typename T>
T Of(const std::vector<T>& values, std::size_t machine) {
  return machine < values.size() ? values[machine] : T{};
}

std::vector<std::uint8_t> Marked(const Network::Machines& machines) {
  std::vector<std::uint8_t> marks;
  for (const std::size_t machine : machines) {
    if (machine >= marks.size()) marks.resize(machine + 1);
    marks[machine] = 1;
  }
  return marks;
}

std::uint64_t PairOf(std::size_t from, std::size_t to) {
  return (static_cast<std::uint64_t>(from) << 32) | static_cast<std::uint64_t>(to);
}

bool Happens(double probability, std::mt19937_64& random) {
  if (probability <= 0) return false;
  return std::generate_canonical<double, 53>(random) < probability;
}

Moment Between(Moment least, Moment most, std::mt19937_64& random) {
  if (most <= least) return least;
  return Moment(std::uniform_int_distribution<Moment::rep>(least.count(), most.count())(random));
}

Moment Delay(const Link& link, std::mt19937_64& random) {
  const Moment delay = Between(link.least, link.most, random);
  return Happens(link.reorder, random) ? delay + Between(Moment(0), link.hold, random) : delay;
}

}  // namespace

void Network::SetDefault(const Link& link) { local_ = link; }

void Network::SetWide(const Link& link) {
  wide_ = link;
  wide_set_ = true;
}

void Network::Set(std::size_t from, std::size_t to, const Link& link) { pairs_[PairOf(from, to)] = link; }

void Network::Place(std::size_t machine, std::size_t site) {
  if (machine >= sites_.size()) sites_.resize(machine + 1);
  sites_[machine] = site;
}

Network::Id Network::Cut(const Machines& from, const Machines& to) {
  faults_[++last_] = {Fault::Kind::kCut, Marked(from), Marked(to), {}, {}};
  return last_;
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
  faults_[++last_] = std::move(fault);
  return last_;
}

Network::Id Network::Disturb(const Machines& who, const Link& more) {
  faults_[++last_] = {Fault::Kind::kDisturbance, Marked(who), {}, {}, more};
  return last_;
}

void Network::End(Id id) { faults_.erase(id); }

bool Network::Connected(std::size_t from, std::size_t to) const {
  for (const auto& [id, fault] : faults_) {
    if (fault.kind == Fault::Kind::kCut && Of(fault.from, from) && Of(fault.to, to)) return false;
    if (fault.kind == Fault::Kind::kPartition && Of(fault.group, from) != Of(fault.group, to)) return false;
  }
  return true;
}

const Link& Network::Undisturbed(std::size_t from, std::size_t to) const {
  if (!pairs_.empty()) {
    const auto found = pairs_.find(PairOf(from, to));
    if (found != pairs_.end()) return found->second;
  }
  return wide_set_ && Of(sites_, from) != Of(sites_, to) ? wide_ : local_;
}

Link Network::At(std::size_t from, std::size_t to) const {
  Link link = Undisturbed(from, to);
  for (const auto& [id, fault] : faults_) {
    if (fault.kind != Fault::Kind::kDisturbance) continue;
    if (!fault.from.empty() && !Of(fault.from, from) && !Of(fault.from, to)) continue;
    link.loss = 1 - (1 - link.loss) * (1 - fault.more.loss);
    link.duplicate = 1 - (1 - link.duplicate) * (1 - fault.more.duplicate);
    link.reorder = 1 - (1 - link.reorder) * (1 - fault.more.reorder);
    link.least += fault.more.least;
    link.most += fault.more.most;
    if (fault.more.reorder > 0) link.hold = std::max(link.hold, fault.more.hold);
  }
  return link;
}

void Network::Fates(std::size_t from, std::size_t to, std::mt19937_64& random,
                    std::vector<Moment>* delays) const {
  delays->clear();
  if (!Connected(from, to)) return;
  const Link link = At(from, to);
  if (Happens(link.loss, random)) return;
  delays->push_back(Delay(link, random));
  if (Happens(link.duplicate, random)) delays->push_back(Delay(link, random));
}

}  // namespace load_balancer::model
