// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A member's view of the fleet. It applies updates by SWIM's precedence, begins and ends suspicions, and
/// refutes reports that this member is suspect or dead.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_VIEW_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_VIEW_H_

#include <string>
#include <string_view>

#include "fleet/membership/callbacks.h"
#include "fleet/membership/gossip_queue.h"
#include "fleet/membership/local_health.h"
#include "fleet/membership/options.h"
#include "fleet/membership/suspicions.h"
#include "fleet/membership/table.h"

namespace load_balancer::fleet {

/// Returns whether `update` replaces `current` by SWIM's precedence. The higher incarnation wins; for equal
/// incarnations the later state in the order of MemberState wins. A dead or left member can therefore only
/// come back with a new incarnation.
inline bool Overrides(const Update& update, const Update& current) {
  if (update.incarnation != current.incarnation) return update.incarnation > current.incarnation;
  return update.state > current.state;
}

/// The state of this member and of all others that it knows.
class MembershipView {
 public:
  /// The way in which an update arrived.
  enum class UpdateSource {
    kGossip,  ///< The update was piggybacked on a message, or it describes the sender.
    kTable,   ///< The update was in a table. It may be old, so a death is treated as a suspicion.
  };

  /// All arguments except `now` must outlive this object.
  MembershipView(const MembershipOptions& options, Time now, MembershipCallbacks& callbacks,
                 LocalHealth& health);

  /// Applies an update from a message that the member `sender` sent.
  void Apply(Time now, Update update, std::string_view sender, UpdateSource source);
  /// Suspects a member on behalf of `accuser`.
  void Suspect(Time now, const std::string& name, const std::string& accuser);
  /// Declares dead all suspects whose timeout has passed.
  void DeclareExpiredDead(Time now);
  /// Announces that this member is alive, with an incarnation above `refuted_incarnation`.
  void Refute(Time now, std::uint64_t refuted_incarnation);
  /// Marks this member as left. It is silent until Rejoin.
  void Leave(Time now);
  /// Marks this member as alive again, with a new incarnation.
  void Rejoin(Time now);
  /// Removes members that have been dead or left for `forget_after`.
  void ForgetAbsent(Time now) { table_.Forget(now, options_.forget_after); }

  const Member& self() const { return self_; }
  const MemberTable& table() const { return table_; }
  /// Returns whether this member has left or was displaced, and therefore sends no messages.
  bool is_silent() const { return is_silent_; }
  /// Returns whether a newer process took the name of this member.
  bool is_displaced() const { return is_displaced_; }
  /// Returns the number of members that are alive or suspect. This member counts unless it is silent.
  std::size_t CountPresent() const { return table_.CountPresent() + (is_silent_ ? 0 : 1); }
  Suspicions& suspicions() { return suspicions_; }
  const Suspicions& suspicions() const { return suspicions_; }
  GossipQueue& gossip() { return gossip_; }

 private:
  void ApplyToSelf(Time now, const Update& update);
  void ApplyToUnknown(Time now, const Update& update, std::string_view reason);
  void SetUpdate(Time now, Member& member, const Update& update, std::string_view reason);
  void ConfirmSuspicion(const Update& update);
  void BeginSuspicion(Time now, const Update& update);

  const MembershipOptions& options_;
  MembershipCallbacks& callbacks_;
  LocalHealth& health_;
  Member self_;
  MemberTable table_;
  Suspicions suspicions_;
  GossipQueue gossip_;
  bool is_silent_ = false;
  bool is_displaced_ = false;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_VIEW_H_
