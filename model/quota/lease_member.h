// SPDX-License-Identifier: Apache-2.0
//
// The allocators' leases as one gateway of the model takes part in them.
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

// Who holds which duty, as all others hear of it within a fifth of a second.
class Holders {
 public:
  void Tell(std::size_t duty, std::size_t machine, Moment at) {
    Known& known = duties_[duty];
    if (known.machine == machine) return;
    known = {machine, known.machine, at};
  }
  std::optional<std::size_t> At(std::size_t duty, Moment now) const {
    const auto found = duties_.find(duty);
    if (found == duties_.end()) return std::nullopt;
    const bool heard = now - found->second.since >= std::chrono::milliseconds(200);
    return heard ? found->second.machine : found->second.before;
  }

 private:
  struct Known {
    std::optional<std::size_t> machine, before;
    Moment since{0};
  };
  std::map<std::size_t, Known> duties_;
};

class LeaseMember final : private fleet::Leases::Callbacks {
 public:
  using Post = std::function<void(const Endpoint&, const fleet::LeaseMessage&)>;
  LeaseMember(Host& host, std::uint64_t incarnation, std::size_t machine, const std::vector<Endpoint>& voters,
              std::size_t duties, const quota::Timings& timings, Holders& holders, Post post)
      : host_(host),
        machine_(machine),
        holders_(holders),
        post_(std::move(post)),
        leases_(Options(host, incarnation, voters, duties, timings), host.Now(), *this) {}

  void Receive(const Endpoint& from, const fleet::LeaseMessage& message) {
    leases_.Receive(host_.Now(), from, message);
  }
  void Tick() {
    if (leases_.Next() <= host_.Now()) leases_.Tick(host_.Now(), host_.Wall());
  }
  Time Next() const { return leases_.Next(); }
  // Gives back all that it holds, and may ask for it again.
  void GiveBack() {
    leases_.Release(host_.Now());
    leases_.Resume(host_.Now());
  }
  std::optional<fleet::LeaseProof> ProveLease(std::size_t duty) const {
    return leases_.ProveLease(host_.Now(), quota::AllocatorDuty(duty));
  }

 private:
  static fleet::LeaseOptions Options(Host& host, std::uint64_t incarnation,
                                     const std::vector<Endpoint>& voters, std::size_t duties,
                                     const quota::Timings& timings) {
    fleet::LeaseOptions options;
    options.holder = host.Name() + "/" + std::to_string(incarnation);
    options.address = host.Address();
    options.voters = voters;
    options.term = std::chrono::floor<std::chrono::milliseconds>(timings.lease_term);
    options.drift = std::chrono::ceil<std::chrono::milliseconds>(timings.clock_drift);
    options.seed = incarnation;
    for (std::size_t i = 0; i < duties; ++i)
      options.leased_roles.push_back({quota::AllocatorDuty(i), fleet::LeasedRoleKind::kExclusive});
    return options;
  }

  void Send(const Endpoint& to, const fleet::LeaseMessage& message) override { post_(to, message); }
  void OnLeaseStatus(const std::string& duty, fleet::LeaseStatus status, fleet::FencingToken, Span,
                     std::string_view) override {
    if (status == fleet::LeaseStatus::kHolder)
      holders_.Tell(std::stoul(duty.substr(duty.find('/') + 1)), machine_, host_.TrueTime());
  }
  void OnFailure(const Failure&) override {}

  Host& host_;
  const std::size_t machine_;
  Holders& holders_;
  Post post_;
  fleet::Leases leases_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_QUOTA_LEASE_MEMBER_H_
