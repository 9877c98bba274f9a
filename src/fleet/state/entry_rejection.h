// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The reasons for which a member rejects an entry.
#ifndef LOAD_BALANCER_FLEET_STATE_ENTRY_REJECTION_H_
#define LOAD_BALANCER_FLEET_STATE_ENTRY_REJECTION_H_

#include <string_view>

namespace load_balancer::fleet {

/// EntryRejection is the reason for which an entry was rejected.
enum class EntryRejection {
  kNotNewer,     ///< the stored entry has the same or a later version; not a fault
  kNotShared,    ///< this member does not share entries of this kind; not a fault
  kMalformed,    ///< the entry cannot be decoded
  kUnlisted,     ///< discovery does not list the server that the entry names
  kStale,        ///< the entry has already expired
  kFuture,       ///< the timestamp is ahead of the wall clock by more than max_clock_skew
  kImplausible,  ///< the entry lasts too long, or its counts contradict each other
  kFenced,       ///< the fencing token is below the highest one seen for the role
  kOversized,    ///< the entry exceeds kMaxEntryBytes or kMaxValueBytes
  kFull          ///< kMaxFencedValues or kMaxLeasedRoles are already stored
};
/// Number of values of EntryRejection.
inline constexpr int kEntryRejections = 10;

/// Returns the name of a reason in log lines and in the answer to STATE.
std::string_view Name(EntryRejection rejection);

/// Returns whether the rejection shows a fault of the sender, which is to be logged.
constexpr bool IsFault(EntryRejection rejection) { return rejection > EntryRejection::kNotShared; }

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_ENTRY_REJECTION_H_
