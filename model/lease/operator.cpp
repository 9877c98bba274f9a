// SPDX-License-Identifier: Apache-2.0
#include "model/lease/operator.h"

#include <algorithm>
#include <array>

namespace load_balancer::model {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLook(50), kLongestDown(100);
constexpr std::size_t kFewest = 3;  // voters

// One voter more, or one less.
void Turn(std::vector<std::size_t>* voters, std::size_t member) {
  if (std::erase(*voters, member) == 0) voters->push_back(member);
}

}  // namespace

Operator::Operator(World& world, Arena& arena, std::uint64_t seed, VoterChange how)
    : world_(world), arena_(arena), how_(how), random_(seed) {
  const std::size_t members = arena.members.size();
  constexpr std::array<milliseconds, 3> kPauses{milliseconds(50), milliseconds(400), milliseconds(1500)};
  pause_ = kPauses.at(random_() % kPauses.size());
  for (std::size_t i = 0; i < members; ++i) order_.push_back(i);
  const std::size_t count = how_ == VoterChange::kNone ? members : kFewest + random_() % (members - 2);
  std::shuffle(order_.begin(), order_.end(), random_);
  voters_.assign(order_.begin(), order_.begin() + static_cast<std::ptrdiff_t>(count));
  std::vector<Endpoint> set;
  for (const std::size_t voter : voters_) set.push_back(arena.members[voter]);
  arena.voters.assign(members, set);
}

void Operator::Begin(Moment until) {
  if (how_ == VoterChange::kNone) return;
  until_ = until;
  done_ = false;
  world_.At(milliseconds(2000 + random_() % 8000), [this] { Change(); });
}

std::vector<std::size_t> Operator::NextSet() {
  const std::size_t members = arena_.members.size(), turns = how_ == VoterChange::kTwoAtOnce ? 2 : 1;
  for (;;) {
    std::vector<std::size_t> next = voters_;
    const std::size_t first = random_() % members, second = random_() % members;
    Turn(&next, first);
    if (turns == 2 && second != first) Turn(&next, second);
    if (next.size() >= kFewest && (turns == 1 || second != first)) return next;
  }
}

void Operator::Change() {
  voters_ = NextSet();
  std::shuffle(order_.begin(), order_.end(), random_);
  Restart(0);
}

void Operator::Restart(std::size_t nth) {
  if (nth == order_.size()) return Wait();
  const std::size_t member = order_[nth];
  arena_.voters[member].clear();
  for (const std::size_t voter : voters_) arena_.voters[member].push_back(arena_.members[voter]);
  world_.Crash(member);
  world_.At(world_.now() + milliseconds(1 + random_() % kLongestDown.count()),
            [this, member] { world_.Restart(member); });
  const Moment pause = milliseconds(1 + random_() % std::chrono::floor<milliseconds>(pause_).count());
  world_.At(world_.now() + kLongestDown + pause, [this, nth] { Restart(nth + 1); });
}

// A term of true time is what a term and the drift bound are by the fastest of clocks.
void Operator::Wait() {
  if (how_ == VoterChange::kNoWait) return Next();
  const bool up = std::all_of(arena_.present.begin(), arena_.present.end(), [](auto* each) { return each; });
  if (up && (how_ == VoterChange::kTermAlone || Held()))
    return world_.At(world_.now() + arena_.term, [this] { Next(); });
  world_.At(world_.now() + kLook, [this] { Wait(); });
}

void Operator::Next() {
  if (world_.now() < until_)
    Change();
  else
    done_ = true;
}

bool Operator::Held() const {
  return std::any_of(arena_.present.begin(), arena_.present.end(),
                     [](const LeaseMember* member) { return member && member->Acts(); });
}

}  // namespace load_balancer::model
