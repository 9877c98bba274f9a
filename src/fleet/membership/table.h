// SPDX-License-Identifier: Apache-2.0
//
// The other members that a member knows.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_TABLE_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_TABLE_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fleet/membership/callbacks.h"
#include "fleet/membership/options.h"

namespace load_balancer::fleet {

class MemberTable {
 public:
  const std::map<std::string, Member>& all() const { return members_; }
  bool full() const { return members_.size() >= kMostMembers; }
  // Null if it is not known.
  Member* Find(const std::string& name);
  const Member* Find(const std::string& name) const;
  Member& Add(const Update& update, Time now);

  std::size_t present() const;
  // Up to `most` at random, without `but`: of those that are present, or of those that are dead.
  std::vector<const Member*> Sample(std::size_t most, bool present, const std::string& but,
                                    std::mt19937_64& random) const;
  // Of those that are present, `self` among them: of others that are gone a joiner need not know.
  std::uint64_t Digest(const Update& self) const;
  // The same by buckets.
  BucketDigests Digests(const Update& self, std::size_t count) const;
  // Where a member is in the space of hashes.
  static std::uint64_t HashOf(const std::string& name);
  // Drops those that have been gone for so long.
  void Forget(Time now, Span after);

 private:
  std::map<std::string, Member> members_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_TABLE_H_
