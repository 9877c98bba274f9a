// SPDX-License-Identifier: Apache-2.0
//
// Which claim about each member holds, this member included: SWIM's order of claims, suspicions and their
// end, and the refutation of what is said of this member.
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

// Whether the claim holds against one that is held: the higher incarnation, and of equal ones the graver
// claim; what is dead or has left is taken back by a newer incarnation alone.
inline bool Overrides(const Update& update, const Update& held) {
  if (update.incarnation != held.incarnation) return update.incarnation > held.incarnation;
  return update.state > held.state;
}

class Claims {
 public:
  // All of these outlive this.
  Claims(const MembershipOptions& options, Time now, MembershipOutlet& outlet, Health& health);

  // A claim from a message of `from`; of a table one that a member is dead is a suspicion only.
  void Apply(Time now, Update update, std::string_view from, bool of_table);
  void Suspect(Time now, const std::string& name, const std::string& accuser);
  void EndSuspicions(Time now);
  // This member is alive whatever was said of it up to that incarnation.
  void Refute(Time now, std::uint64_t over);
  void Leave(Time now);
  void Rejoin(Time now);
  void Forget(Time now) { table_.Forget(now, options_.forget_after); }

  const Member& self() const { return self_; }
  const MemberTable& table() const { return table_; }
  bool silent() const { return silent_; }  // left or displaced
  bool displaced() const { return displaced_; }
  // Alive or suspect, this member included unless it is silent.
  std::size_t present() const { return table_.present() + (silent_ ? 0 : 1); }
  Suspicions& suspicions() { return suspicions_; }
  const Suspicions& suspicions() const { return suspicions_; }
  News& news() { return news_; }

 private:
  void ApplyToSelf(Time now, const Update& update);
  void ApplyNew(Time now, const Update& update, std::string_view why);
  void Set(Time now, Member& member, const Update& update, std::string_view why);
  void Confirm(const Update& update);
  void BeginSuspicion(Time now, const Update& update);

  const MembershipOptions& options_;
  MembershipOutlet& outlet_;
  Health& health_;
  Member self_;
  MemberTable table_;
  Suspicions suspicions_;
  News news_;
  bool silent_ = false, displaced_ = false;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_VIEW_H_
