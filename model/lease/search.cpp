// SPDX-License-Identifier: Apache-2.0
#include "model/lease/search.h"

#include <algorithm>
#include <unordered_set>

namespace load_balancer::model {
namespace {

using Kind = Step::Kind;

// A state, given by its parent state and the step that leads from there to it.
struct Node {
  std::uint32_t parent;
  Step step;
};

class Searcher {
 public:
  explicit Searcher(const InitialState& initial_state) : initial_state_(initial_state) {}

  SearchResult Run(int depth, std::uint64_t max_states) {
    nodes_.push_back({0, {}});
    LeaseCluster first(initial_state_.options);
    for (const Step& step : initial_state_.steps) first.Apply(step);
    seen_.insert(first.Fingerprint());
    for (std::uint32_t begin = 0; result_.depth < depth; ++result_.depth) {
      const auto end = static_cast<std::uint32_t>(nodes_.size());
      for (std::uint32_t node = begin; node < end; ++node) {
        Expand(node);
        if (result_.counterexample || seen_.size() >= max_states) return Finish();
      }
      begin = end;
    }
    return Finish();
  }

 private:
  void Expand(std::uint32_t node) {
    const std::vector<Step> path = PathTo(node);
    const auto cluster = Rebuild(path);
    const std::vector<Step> steps = cluster->EnabledSteps();
    for (const Step& step : steps) {
      const auto next = &step == &steps.back() ? nullptr : Rebuild(path);
      LeaseCluster& successor = next ? *next : *cluster;
      successor.Apply(step);
      ++result_.steps;
      if (!seen_.insert(successor.Fingerprint()).second) continue;
      nodes_.push_back({node, step});
      const auto violation = successor.FindViolation();
      if (!violation) continue;
      result_.counterexample =
          MakeCounterexample(*violation, PathTo(static_cast<std::uint32_t>(nodes_.size() - 1)));
      return;
    }
  }

  std::vector<Step> PathTo(std::uint32_t node) const {
    std::vector<Step> path;
    for (; node != 0; node = nodes_[node].parent) path.push_back(nodes_[node].step);
    std::reverse(path.begin(), path.end());
    return path;
  }

  std::unique_ptr<LeaseCluster> Rebuild(const std::vector<Step>& path) const {
    auto cluster = std::make_unique<LeaseCluster>(initial_state_.options);
    for (const Step& step : initial_state_.steps) cluster->Apply(step);
    for (const Step& step : path) cluster->Apply(step);
    return cluster;
  }

  Counterexample MakeCounterexample(const std::string& violation, const std::vector<Step>& path) const {
    Counterexample counterexample{violation, {}};
    LeaseCluster cluster(initial_state_.options);
    const auto append_steps = [&](const std::vector<Step>& steps) {
      for (const Step& step : steps) {
        counterexample.trace.push_back(cluster.Describe(step));
        cluster.Apply(step);
      }
    };
    append_steps(initial_state_.steps);
    counterexample.trace.push_back("--");
    append_steps(path);
    return counterexample;
  }

  SearchResult Finish() {
    result_.states = seen_.size();
    return result_;
  }

  const InitialState& initial_state_;
  std::vector<Node> nodes_;
  std::unordered_set<std::uint64_t> seen_;
  SearchResult result_;
};

}  // namespace

std::vector<InitialState> InitialStates() {
  const auto pass = [](std::uint8_t units) { return Step{Kind::kAdvanceTime, units}; };
  const Step wait = pass(8), tick_a{Kind::kTick, 0};
  const auto deliver = [](std::uint8_t message) { return Step{Kind::kDeliver, message}; };
  // A sends requests to B and C; the request to C is lost.
  const Step drop_second{Kind::kDrop, 1}, drop_first{Kind::kDrop, 0};
  const std::vector<Step> a_holds{wait, tick_a, drop_second, deliver(0), deliver(0)};
  // The grant of B for A's second request is still pending, and the third request is lost.
  const std::vector<Step> late_grant{wait,    tick_a,      drop_second, deliver(0), deliver(0),
                                     pass(6), tick_a,      drop_second, deliver(0), pass(4),
                                     tick_a,  drop_second, drop_second, pass(7)};
  std::vector<Step> a_holds_longer = a_holds;
  a_holds_longer.push_back(pass(12));
  ClusterOptions one_fault;
  one_fault.max_faults = 1;
  one_fault.max_proofs = 0;
  // A's first request is lost, so A releases its token, and the release to B is late. B and C grant A's
  // second request.
  const std::vector<Step> second_request{wait,       tick_a,      drop_second, drop_first, pass(3),
                                         tick_a,     drop_second, wait,        tick_a,     deliver(1),
                                         deliver(1), deliver(1),  deliver(1)};
  ClusterOptions no_disks, longer_term, constant_wall_clocks;
  constant_wall_clocks.are_wall_clocks_running = false;
  no_disks.has_initial_disks = false;
  longer_term.first_term *= 2;
  return {{"A holds the lease after a release", constant_wall_clocks, second_request},
          {"A's renewal is granted late", one_fault, late_grant},
          {"A has a longer lease term", longer_term, a_holds_longer},
          {"all members start without disks", no_disks, {wait}},
          {"A holds the lease", {}, a_holds},
          {"all members start", {}, {wait}}};
}

SearchResult Search(const InitialState& initial_state, int depth, std::uint64_t max_states) {
  return Searcher(initial_state).Run(depth, max_states);
}

}  // namespace load_balancer::model
