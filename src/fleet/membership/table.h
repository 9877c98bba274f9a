// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The table of the other members that a member knows of.
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

/// Maps names to members.
class MemberTable {
 public:
  /// The members from which a sample is drawn.
  enum class SampleFrom { kPresent, kDead };

  /// Returns all members by name.
  const std::map<std::string, Member>& all() const { return members_; }
  /// Returns whether the table holds kMaxMembers members.
  bool is_full() const { return members_.size() >= kMaxMembers; }
  /// Returns the member, or null if it is unknown.
  Member* Find(const std::string& name);
  const Member* Find(const std::string& name) const;
  /// Adds the member that `update` describes.
  Member& Add(const Update& update, Time now);

  /// Returns the number of members that are alive or suspect.
  std::size_t CountPresent() const;
  /// Returns up to `max_count` randomly chosen members, never the one named `excluded`.
  std::vector<const Member*> Sample(std::size_t max_count, SampleFrom from, const std::string& excluded,
                                    std::mt19937_64& random) const;
  /// Returns a digest of the present members including `self`. Absent members are left out, because a joining
  /// member need not learn of them.
  std::uint64_t Digest(const Update& self) const;
  /// Assigns the present members including `self` to `count` buckets and returns a digest of each bucket.
  BucketDigests DigestByBucket(const Update& self, std::size_t count) const;
  /// Returns the hash of a member's name, by which members are assigned to buckets.
  static std::uint64_t HashOf(const std::string& name);
  /// Removes the members that have been dead or left for at least `after`.
  void Forget(Time now, Span after);

 private:
  std::map<std::string, Member> members_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_TABLE_H_
