// SPDX-License-Identifier: Apache-2.0
//
// Three members around the real Leases, each with a clock, a disk and a resource to act on, in steps of
// virtual time that a search chooses. A message may be delivered at any later step, or never, and, as a
// fault, once more: so it can be lost, late, doubled and overtaken. A member that is not ticked stands still.
// Denials are lost, since they bear on when somebody asks again, which is any time here.
#ifndef LOAD_BALANCER_MODEL_LEASE_CLUSTER_H_
#define LOAD_BALANCER_MODEL_LEASE_CLUSTER_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/lease/leases.h"

namespace load_balancer::model {

inline constexpr std::size_t kSeats = 3;

struct Step {
  // kTime: true time passes, `which` times three seconds. Of member `which`: kTick, its timers; kCheck, it
  // takes a proof; kAct, what it took the proof for reaches the resource; kGiveBack, kResume; kRestart,
  // kRestartWithoutDisk, it crashes and is back. kDeliver: message `which`; kDouble: it stays under way all
  // the same; kLose, in beginnings alone: it is gone.
  enum class Kind : std::uint8_t {
    kTime,
    kDeliver,
    kDouble,
    kLose,
    kTick,
    kCheck,
    kAct,
    kGiveBack,
    kResume,
    kRestart,
    kRestartWithoutDisk
  };
  Kind kind = Kind::kTime;
  std::uint8_t which = 0;
};

struct TableOptions {
  // Of true time, the rates of the clocks, in sixths: within the bound, a sixth of the term.
  std::array<int, kSeats> sixths{5, 7, 6};
  std::chrono::milliseconds term{36000}, drift{6000};
  std::chrono::milliseconds first_term{36000};  // of member 0
  bool disks = true;                            // the members begin with disks that have no vote
  bool walls_run = true;  // false: the wall clocks stand still, each ahead of the one before
  // On one path: crashes, give-backs and doubled messages; and guards that are taken some time before the
  // act.
  int most_faults = 2, max_proofs = 1;
};

class Table {
 public:
  explicit Table(const TableOptions& options);
  Table(const Table&) = delete;
  Table& operator=(const Table&) = delete;

  std::vector<Step> Steps() const;  // those that can be done now
  void Do(const Step& step);
  std::string Text(const Step& step) const;  // to be called before Do

  // What has gone wrong: two act at once, or the resource took what it must not.
  std::optional<std::string> Broken() const;
  // Equal for two tables that go on alike (xxHash).
  std::uint64_t Fingerprint() const;

 private:
  struct Letter {
    std::size_t from, to;
    fleet::LeaseMessage message;
  };
  struct Seat : fleet::Leases::Callbacks, fleet::VoteStore {
    void Send(const fleet::Leases::Endpoint& to, const fleet::LeaseMessage& message) override;
    void OnLeaseStatus(const std::string&, fleet::LeaseStatus status, fleet::FencingToken token, Span,
                       std::string_view) override;
    void OnFailure(const Failure&) override {}
    bool Save(const fleet::StoredVotes& votes) override;

    Table* table = nullptr;
    std::size_t index = 0;
    int life = 0;
    bool released = false;
    std::optional<fleet::StoredVotes> disk;
    std::unique_ptr<fleet::Leases> leases;
    std::optional<fleet::LeaseProof> proof;  // checked, and not acted on yet
  };

  void Sit(std::size_t index);
  Time Now(std::size_t index) const;
  std::uint64_t Wall(std::size_t index) const;
  void Act(std::size_t index);
  bool Acts(std::size_t index) const;

  const TableOptions options_;
  std::int64_t passed_ = 0;  // of true time since the beginning, in three seconds
  int faults_ = 0, proofs_ = 0;
  std::array<Seat, kSeats> seats_;
  std::vector<Letter> letters_;
  fleet::Fence resource_;
  fleet::FencingToken written_ = 0;  // by whom, and with what token
  std::size_t writer_ = kSeats;
  fleet::FencingToken newest_ = 0;  // of a lease, and whose it was
  std::size_t newest_of_ = kSeats;
  std::optional<std::string> broken_;  // at the resource, or by its token
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_LEASE_CLUSTER_H_
