// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A member's view of the fleet: SWIM's precedence of updates, suspicions and their end, and the refutation
/// of what others say of this member.
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

/// SWIM's precedence: whether `update` replaces `current`. The higher incarnation wins, and of equal ones the
/// graver state, so that a member that is dead or has left comes back with a new incarnation alone.
inline bool Overrides(const Update& update, const Update& current) {
  if (update.incarnation != current.incarnation) return update.incarnation > current.incarnation;
  return update.state > current.state;
}

class MembershipView {
 public:
  /// How an update came.
  enum class UpdateSource {
    kGossip,  ///< Piggybacked, or about the sender itself.
    kTable,   ///< In a table exchange, which may be old: a death is taken as a suspicion.
  };

  /// All arguments but `now` must outlive this.
  MembershipView(const MembershipOptions& options, Time now, MembershipCallbacks& callbacks,
                 LocalHealth& health);

  /// Applies an update from a message of the member `sender`.
  void Apply(Time now, Update update, std::string_view sender, UpdateSource source);
  /// Suspects a member on behalf of `accuser`.
  void Suspect(Time now, const std::string& name, const std::string& accuser);
  /// Declares the suspects dead whose timeout is over.
  void DeclareExpiredDead(Time now);
  /// Announces that this member is alive, whatever was said of it up to `refuted_incarnation`.
  void Refute(Time now, std::uint64_t refuted_incarnation);
  void Leave(Time now);
  void Rejoin(Time now);
  /// Removes members that have been dead or left for long.
  void ForgetAbsent(Time now) { table_.Forget(now, options_.forget_after); }

  const Member& self() const { return self_; }
  const MemberTable& table() const { return table_; }
  /// Whether this member has left or was displaced.
  bool is_silent() const { return is_silent_; }
  bool is_displaced() const { return is_displaced_; }
  /// The number of members that are alive or suspect, this one included unless it is silent.
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
