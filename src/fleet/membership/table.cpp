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

std::size_t MemberTable::present() const {
  const auto count = std::count_if(members_.begin(), members_.end(),
                                   [](const auto& each) { return Present(each.second.last.state); });
  return static_cast<std::size_t>(count);
}

std::vector<const Member*> MemberTable::Sample(std::size_t most, bool present, const std::string& but,
                                               std::mt19937_64& random) const {
  std::vector<const Member*> all, some;
  for (const auto& [name, member] : members_) {
    const bool fits = present ? Present(member.last.state) : member.last.state == MemberState::kDead;
    if (fits && name != but) all.push_back(&member);
  }
  std::sample(all.begin(), all.end(), std::back_inserter(some), most, random);
  return some;
}

std::uint64_t MemberTable::Digest(const Update& self) const {
  // A sum: the same in whatever order.
  std::uint64_t digest = HashContent(self);
  for (const auto& [name, member] : members_)
    if (Present(member.last.state)) digest += HashContent(member.last);
  return digest;
}

BucketDigests MemberTable::Digests(const Update& self, std::size_t count) const {
  BucketDigests digests(count);
  digests.Add(HashOf(self.name), HashContent(self));
  for (const auto& [name, member] : members_)
    if (Present(member.last.state)) digests.Add(HashOf(name), HashContent(member.last));
  return digests;
}

std::uint64_t MemberTable::HashOf(const std::string& name) { return XXH64(name.data(), name.size(), 0); }

void MemberTable::Forget(Time now, Span after) {
  std::erase_if(members_, [&](const auto& each) {
    return !Present(each.second.last.state) && now - each.second.since >= after;
  });
}

}  // namespace load_balancer::fleet
