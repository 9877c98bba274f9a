// SPDX-License-Identifier: Apache-2.0
//
// What became of every request of a test: what its client sent and heard, and which sites' servers saw it.
// The ground truth for what is promised of spilled requests.
#ifndef LOAD_BALANCER_TESTS_FEDERATION_LEDGER_H_
#define LOAD_BALANCER_TESTS_FEDERATION_LEDGER_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace load_balancer::testing::federation {

using Steady = std::chrono::steady_clock;

struct Entry {
  int gateway = 0;  // that its client asked
  int site = 0;     // of that gateway
  bool unsafe = false;
  Steady::time_point sent{};
  bool over = false;              // its client waits no longer
  int status = 0;                 // of its answer; 0: none came
  bool other = false;             // the answer was another request's, or more came than one
  std::array<int, 8> arrivals{};  // at the servers of each site

  int seen() const {
    int all = 0;
    for (const int each : arrivals) all += each;
    return all;
  }
  bool spilled() const { return seen() > arrivals[static_cast<std::size_t>(site)]; }
};

class Ledger {
  template <typename F>
  auto Change(F change) {
    const std::lock_guard lock(mutex_);
    auto result = change();
    changed_.notify_all();
    return result;
  }

 public:
  // The id of a new request.
  std::string Sent(Entry entry) {
    return Change([&] {
      entry.sent = Steady::now();
      entries_.push_back(entry);
      return std::to_string(entries_.size());
    });
  }
  // A server of that site has seen it.
  void Arrived(const std::string& id, int site) {
    Change([&] { return ++At(id).arrivals[static_cast<std::size_t>(site)]; });
  }
  // The client's last word on it. `body` is that of an answer of a server, which holds the id.
  void Over(const std::string& id, int status, const std::string& body) {
    Change([&] {
      Entry& entry = At(id);
      entry.over = true;
      entry.status = status;
      entry.other |= status == 200 && body.find(" " + id + "\n") == std::string::npos;
      return 0;
    });
  }
  // More came on its connection than its answer.
  void More(const std::string& id) {
    Change([&] { return At(id).other = true; });
  }

  std::size_t Count(const std::function<bool(const Entry&)>& which) {
    const std::lock_guard lock(mutex_);
    return CountLocked(which);
  }
  // Waits until so many are such; false if it takes too long.
  bool WaitFor(std::size_t least, std::chrono::milliseconds within,
               const std::function<bool(const Entry&)>& which) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, within, [&] { return CountLocked(which) >= least; });
  }
  std::vector<Entry> Take() {
    const std::lock_guard lock(mutex_);
    return entries_;
  }

 private:
  Entry& At(const std::string& id) { return entries_.at(std::stoul(id) - 1); }
  std::size_t CountLocked(const std::function<bool(const Entry&)>& which) const {
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), which));
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Entry> entries_;
};

}  // namespace load_balancer::testing::federation

#endif  // LOAD_BALANCER_TESTS_FEDERATION_LEDGER_H_
