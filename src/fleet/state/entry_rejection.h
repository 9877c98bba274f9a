// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Why a member does not accept an entry of another one.
#ifndef LOAD_BALANCER_FLEET_STATE_ENTRY_REJECTION_H_
#define LOAD_BALANCER_FLEET_STATE_ENTRY_REJECTION_H_

#include <string_view>

namespace load_balancer::fleet {

enum class EntryRejection {
  kOlder,        ///< the stored entry is as new or newer; not a fault
  kOff,          ///< this member does not share entries of the kind; not a fault
  kMalformed,    ///< cannot be read
  kUnlisted,     ///< discovery does not list the server
  kStale,        ///< has already expired
  kFuture,       ///< its timestamp is further ahead than clocks may differ
  kImplausible,  ///< lasts too long, or its counts contradict each other
  kFenced,       ///< its fencing token is below one that was seen
  kOversized,    ///< exceeds kMaxEntryBytes or kMaxValueBytes
  kFull          ///< kMaxFencedValues or kMaxDuties are stored already
};
inline constexpr int kEntryRejections = 10;

/// The word for it in logs and in STATE.
std::string_view Name(EntryRejection rejection);

/// Whether the sender is at fault, so that an operator should know of it.
constexpr bool IsFault(EntryRejection rejection) { return rejection > EntryRejection::kOff; }

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_ENTRY_REJECTION_H_
