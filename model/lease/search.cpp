// SPDX-License-Identifier: Apache-2.0
#include "model/lease/search.h"

#include <algorithm>
#include <unordered_set>

namespace load_balancer::model {
namespace {

using Kind = Step::Kind;

// A state, by the one that it came from and the step.
struct Node {
  std::uint32_t from;
  Step step;
};

class Searcher {
 public:
  explicit Searcher(const Beginning& beginning) : beginning_(beginning) {}

  SearchResult Run(int depth, std::uint64_t most_states) {
    nodes_.push_back({0, {}});
    Table first(beginning_.options);
    for (const Step& step : beginning_.steps) first.Do(step);
    seen_.insert(first.Fingerprint());
    for (std::uint32_t begin = 0; result_.depth < depth; ++result_.depth) {
      const auto end = static_cast<std::uint32_t>(nodes_.size());
      for (std::uint32_t node = begin; node < end; ++node) {
        Expand(node);
        if (result_.found || seen_.size() >= most_states) return Done();
      }
      begin = end;
    }
    return Done();
  }

 private:
  void Expand(std::uint32_t node) {
    const std::vector<Step> path = PathTo(node);
    const auto table = Rebuild(path);
    const std::vector<Step> steps = table->Steps();
    for (const Step& step : steps) {
      const auto next = &step == &steps.back() ? nullptr : Rebuild(path);
      Table& then = next ? *next : *table;
      then.Do(step);
      ++result_.steps;
      if (!seen_.insert(then.Fingerprint()).second) continue;
      nodes_.push_back({node, step});
      const auto broken = then.Broken();
      if (!broken) continue;
      result_.found = Tell(*broken, PathTo(static_cast<std::uint32_t>(nodes_.size() - 1)));
      return;
    }
  }

  std::vector<Step> PathTo(std::uint32_t node) const {
    std::vector<Step> path;
    for (; node != 0; node = nodes_[node].from) path.push_back(nodes_[node].step);
    std::reverse(path.begin(), path.end());
    return path;
  }

  std::unique_ptr<Table> Rebuild(const std::vector<Step>& path) const {
    auto table = std::make_unique<Table>(beginning_.options);
    for (const Step& step : beginning_.steps) table->Do(step);
    for (const Step& step : path) table->Do(step);
    return table;
  }

  Found Tell(const std::string& what, const std::vector<Step>& path) const {
    Found found{what, {}};
    Table table(beginning_.options);
    const auto follow = [&](const std::vector<Step>& steps) {
      for (const Step& step : steps) {
        found.trace.push_back(table.Text(step));
        table.Do(step);
      }
    };
    follow(beginning_.steps);
    found.trace.push_back("--");
    follow(path);
    return found;
  }

  SearchResult Done() {
    result_.states = seen_.size();
    return result_;
  }

  const Beginning& beginning_;
  std::vector<Node> nodes_;
  std::unordered_set<std::uint64_t> seen_;
  SearchResult result_;
};

}  // namespace

std::vector<Beginning> Beginnings() {
  const auto pass = [](std::uint8_t times) { return Step{Kind::kTime, times}; };
  const Step wait = pass(8), a_asks{Kind::kTick, 0};
  const auto deliver = [](std::uint8_t letter) { return Step{Kind::kDeliver, letter}; };
  // A's requests to B and C; C's is lost.
  const Step lose_other{Kind::kLose, 1}, lose_first{Kind::kLose, 0};
  const std::vector<Step> held{wait, a_asks, lose_other, deliver(0), deliver(0)};
  // B's answer to the second request is late, and the third is lost.
  const std::vector<Step> late{wait,    a_asks,     lose_other, deliver(0), deliver(0),
                               pass(6), a_asks,     lose_other, deliver(0), pass(4),
                               a_asks,  lose_other, lose_other, pass(7)};
  std::vector<Step> later = held;
  later.push_back(pass(12));
  TableOptions one_fault;
  one_fault.most_faults = 1;
  one_fault.max_proofs = 0;
  // The first request is lost and given back, and B's release is late; B and C grant the second.
  const std::vector<Step> again{wait, a_asks, lose_other, lose_first, pass(3),    a_asks,    lose_other,
                                wait, a_asks, deliver(1), deliver(1), deliver(1), deliver(1)};
  TableOptions no_disks, longer, walls_stand;
  walls_stand.walls_run = false;
  no_disks.disks = false;
  longer.first_term *= 2;
  return {{"A holds after a give-back", walls_stand, again},
          {"A's renewal is granted late", one_fault, late},
          {"A's term is longer", longer, later},
          {"all start without disks", no_disks, {wait}},
          {"A holds", {}, held},
          {"all start", {}, {wait}}};
}

SearchResult Search(const Beginning& beginning, int depth, std::uint64_t most_states) {
  return Searcher(beginning).Run(depth, most_states);
}

}  // namespace load_balancer::model
