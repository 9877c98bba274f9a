// SPDX-License-Identifier: Apache-2.0
//
// How a modelled gateway requests, holds and releases the allocators' leases.
#ifndef LOAD_BALANCER_MODEL_QUOTA_LEASE_MEMBER_H_
#define LOAD_BALANCER_MODEL_QUOTA_LEASE_MEMBER_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/lease/leases.h"
#include "model/program.h"
#include "quota/budget.h"
#include "quota/duty.h"

namespace load_balancer::model {

// For each allocator's lease, the holder that the other machines know. They learn of a new holder after
// kPropagationTime.
class RoleHolders {
 public:
  // Records that `machine` has held the allocator's lease since `at`.
  void Update(std::size_t allocator, std::size_t machine, Moment at) {
    Record& record = records_[allocator];
    if (record.machine == machine) return;
    record = {machine, record.machine, at};
  }
  // Returns the holder that is known to the other machines at `now`.
  std::optional<std::size_t> HolderAt(std::size_t allocator, Moment now) const {
    const auto found = records_.find(allocator);
    if (found == records_.end()) return std::nullopt;
    const bool is_known = now - found->second.since >= kPropagationTime;
    return is_known ? found->second.machine : found->second.previous;
  }

 private:
  static constexpr Moment kPropagationTime = std::chrono::milliseconds(200);

  struct Record {
    std::optional<std::size_t> machine, previous;
    Moment since{0};
  };
  std::map<std::size_t, Record> records_;
};

// Requests the leases of all allocators for one gateway's process.
class QuotaLeaseMember final : private fleet::Leases::Callbacks {
 public:
  using SendFunction = std::function<void(const Endpoint&, const fleet::LeaseMessage&)>;
  QuotaLeaseMember(Host& host, std::uint64_t incarnation, std::size_t machine,
                   const std::vector<Endpoint>& voters, std::size_t allocators, const quota::Timings& timings,
                   RoleHolders& holders, SendFunction send)
      : host_(host),
        machine_(machine),
        holders_(holders),
        send_(std::move(send)),
        leases_(Options(host, incarnation, voters, allocators, timings), host.Now(), *this) {}

  void Receive(const Endpoint& from, const fleet::LeaseMessage& message) {
    leases_.Receive(host_.Now(), from, message);
  }
  void Tick() {
    if (leases_.Next() <= host_.Now()) leases_.Tick(host_.Now(), host_.Wall());
  }
  Time Next() const { return leases_.Next(); }
  // Releases all leases that the process holds. The process may acquire them again.
  void ReleaseLeases() {
    leases_.Release(host_.Now());
    leases_.Resume(host_.Now());
  }
  std::optional<fleet::LeaseProof> ProveLease(std::size_t allocator) const {
    return leases_.ProveLease(host_.Now(), quota::AllocatorRoleName(allocator));
  }

 private:
  static fleet::LeaseOptions Options(Host& host, std::uint64_t incarnation,
                                     const std::vector<Endpoint>& voters, std::size_t allocators,
                                     const quota::Timings& timings) {
    fleet::LeaseOptions options;
    options.holder = host.Name() + "/" + std::to_string(incarnation);
    options.address = host.Address();
    options.voters = voters;
    options.term = std::chrono::floor<std::chrono::milliseconds>(timings.lease_term);
    options.drift = std::chrono::ceil<std::chrono::milliseconds>(timings.clock_drift);
    options.seed = incarnation;
    for (std::size_t i = 0; i < allocators; ++i)
      options.leased_roles.push_back({quota::AllocatorRoleName(i), fleet::LeasedRoleKind::kExclusive});
    return options;
  }

  void Send(const Endpoint& to, const fleet::LeaseMessage& message) override { send_(to, message); }
  void OnLeaseStatus(const std::string& role, fleet::LeaseStatus status, fleet::FencingToken, Span,
                     std::string_view) override {
    if (status == fleet::LeaseStatus::kHolder)
      holders_.Update(std::stoul(role.substr(role.find('/') + 1)), machine_, host_.TrueTime());
  }
  void OnFailure(const Failure&) override {}

  Host& host_;
  const std::size_t machine_;
  RoleHolders& holders_;
  SendFunction send_;
  fleet::Leases leases_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_QUOTA_LEASE_MEMBER_H_
