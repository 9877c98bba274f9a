// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The table of the other members that a member knows.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_TABLE_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_TABLE_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fleet/membership/member.h"
#include "fleet/membership/options.h"

namespace load_balancer::fleet {

class MemberTable {
 public:
  /// Which members a sample is drawn from.
  enum class SampleFrom { kPresent, kDead };

  /// By name.
  const std::map<std::string, Member>& all() const { return members_; }
  bool is_full() const { return members_.size() >= kMaxMembers; }
  /// Null if the member is unknown.
  Member* Find(const std::string& name);
  const Member* Find(const std::string& name) const;
  Member& Add(const Update& update, Time now);

  std::size_t CountPresent() const;
  /// Up to `max_count` members at random, without the one named `excluded`.
  std::vector<const Member*> Sample(std::size_t max_count, SampleFrom from, const std::string& excluded,
                                    std::mt19937_64& random) const;
  /// A digest of the members that are present, `self` among them. A joining member need not know the others.
  std::uint64_t Digest(const Update& self) const;
  /// The same digest for each of `count` buckets of members.
  BucketDigests DigestByBucket(const Update& self, std::size_t count) const;
  /// The position of a member in the space of hashes, which the buckets divide.
  static std::uint64_t HashOf(const std::string& name);
  /// Removes members that have been dead or left for `after`.
  void Forget(Time now, Span after);

 private:
  std::map<std::string, Member> members_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_TABLE_H_
