// SPDX-License-Identifier: Apache-2.0
#include "model/lease/operator.h"

#include <algorithm>
#include <array>

namespace load_balancer::model {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval(50), kMaxDowntime(100);
constexpr std::size_t kMinVoters = 3;

// Adds the member to the voters, or removes it if it is one of them.
void Toggle(std::vector<std::size_t>* voters, std::size_t member) {
  if (std::erase(*voters, member) == 0) voters->push_back(member);
}

}  // namespace

Operator::Operator(World& world, LeaseRun& run, std::uint64_t seed, VoterChange change)
    : world_(world), run_(run), change_(change), random_(seed) {
  const std::size_t members = run.members.size();
  constexpr std::array<milliseconds, 3> kPauses{milliseconds(50), milliseconds(400), milliseconds(1500)};
  max_pause_ = kPauses.at(random_() % kPauses.size());
  for (std::size_t i = 0; i < members; ++i) restart_order_.push_back(i);
  const std::size_t count = change_ == VoterChange::kNone ? members : kMinVoters + random_() % (members - 2);
  std::shuffle(restart_order_.begin(), restart_order_.end(), random_);
  voters_.assign(restart_order_.begin(), restart_order_.begin() + static_cast<std::ptrdiff_t>(count));
  std::vector<Endpoint> set;
  for (const std::size_t voter : voters_) set.push_back(run.members[voter]);
  run.voters.assign(members, set);
}

void Operator::Start(Moment until) {
  if (change_ == VoterChange::kNone) return;
  until_ = until;
  is_done_ = false;
  world_.At(milliseconds(2000 + random_() % 8000), [this] { BeginChange(); });
}

std::vector<std::size_t> Operator::DrawVoters() {
  const std::size_t members = run_.members.size(), toggles = change_ == VoterChange::kTwoAtOnce ? 2 : 1;
  for (;;) {
    std::vector<std::size_t> next = voters_;
    const std::size_t first = random_() % members, second = random_() % members;
    Toggle(&next, first);
    if (toggles == 2 && second != first) Toggle(&next, second);
    if (next.size() >= kMinVoters && (toggles == 1 || second != first)) return next;
  }
}

void Operator::BeginChange() {
  voters_ = DrawVoters();
  std::shuffle(restart_order_.begin(), restart_order_.end(), random_);
  RestartFrom(0);
}

void Operator::RestartFrom(std::size_t position) {
  if (position == restart_order_.size()) return AwaitNextChange();
  const std::size_t member = restart_order_[position];
  run_.voters[member].clear();
  for (const std::size_t voter : voters_) run_.voters[member].push_back(run_.members[voter]);
  world_.Crash(member);
  world_.At(world_.now() + milliseconds(1 + random_() % kMaxDowntime.count()),
            [this, member] { world_.Restart(member); });
  const Moment pause = milliseconds(1 + random_() % std::chrono::floor<milliseconds>(max_pause_).count());
  world_.At(world_.now() + kMaxDowntime + pause, [this, position] { RestartFrom(position + 1); });
}

// Polls until the next change may begin. The last wait is one term of true time, during which the fastest
// clock advances by the term and the drift bound.
void Operator::AwaitNextChange() {
  if (change_ == VoterChange::kWithoutWait) return FinishChange();
  const bool are_all_running =
      std::all_of(run_.running_members.begin(), run_.running_members.end(), [](auto* each) { return each; });
  if (are_all_running && (change_ == VoterChange::kAfterOneTerm || HasHolder()))
    return world_.At(world_.now() + run_.term, [this] { FinishChange(); });
  world_.At(world_.now() + kPollInterval, [this] { AwaitNextChange(); });
}

void Operator::FinishChange() {
  if (world_.now() < until_)
    BeginChange();
  else
    is_done_ = true;
}

bool Operator::HasHolder() const {
  return std::any_of(run_.running_members.begin(), run_.running_members.end(),
                     [](const LeaseMember* member) { return member && member->IsActing(); });
}

}  // namespace load_balancer::model
