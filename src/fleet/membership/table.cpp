// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/table.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace load_balancer::fleet {
namespace {

std::uint64_t HashContent(const Update& update) {
  return XXH64(update.name.data(), update.name.size(), update.incarnation);
}

bool IsSampled(MemberState state, MemberTable::SampleFrom from) {
  return from == MemberTable::SampleFrom::kPresent ? IsPresent(state) : state == MemberState::kDead;
}

}  // namespace

Member* MemberTable::Find(const std::string& name) {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

const Member* MemberTable::Find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

Member& MemberTable::Add(const Update& update, Time now) { return members_[update.name] = {update, now}; }

std::size_t MemberTable::CountPresent() const {
  const auto count = std::count_if(members_.begin(), members_.end(),
                                   [](const auto& entry) { return IsPresent(entry.second.update.state); });
  return static_cast<std::size_t>(count);
}

std::vector<const Member*> MemberTable::Sample(std::size_t max_count, SampleFrom from,
                                               const std::string& excluded, std::mt19937_64& random) const {
  std::vector<const Member*> candidates;
  for (const auto& [name, member] : members_)
    if (IsSampled(member.update.state, from) && name != excluded) candidates.push_back(&member);
  std::vector<const Member*> sample;
  std::sample(candidates.begin(), candidates.end(), std::back_inserter(sample), max_count, random);
  return sample;
}

std::uint64_t MemberTable::Digest(const Update& self) const {
  // The digest is a sum, so it does not depend on the order of members.
  std::uint64_t digest = HashContent(self);
  for (const auto& [name, member] : members_)
    if (IsPresent(member.update.state)) digest += HashContent(member.update);
  return digest;
}

BucketDigests MemberTable::DigestByBucket(const Update& self, std::size_t count) const {
  BucketDigests digests(count);
  digests.Add(HashOf(self.name), HashContent(self));
  for (const auto& [name, member] : members_)
    if (IsPresent(member.update.state)) digests.Add(HashOf(name), HashContent(member.update));
  return digests;
}

std::uint64_t MemberTable::HashOf(const std::string& name) { return XXH64(name.data(), name.size(), 0); }

void MemberTable::Forget(Time now, Span after) {
  std::erase_if(members_, [&](const auto& entry) {
    return !IsPresent(entry.second.update.state) && now - entry.second.changed_at >= after;
  });
}

}  // namespace load_balancer::fleet
