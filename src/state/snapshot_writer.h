// SPDX-License-Identifier: Apache-2.0
//
// Keeps a process's snapshot: reads the last one at the start and writes a new one at each interval, by a
// thread of its own, since the disk may be slow and requests must not wait for it.
#ifndef LOAD_BALANCER_STATE_SNAPSHOT_WRITER_H_
#define LOAD_BALANCER_STATE_SNAPSHOT_WRITER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "snapshot.h"

namespace load_balancer::state {

struct KeeperOptions {
  std::string path;  // of the snapshot
  std::string name;  // of the process
  std::chrono::milliseconds interval{5000};
  std::chrono::milliseconds most_age{60000};
  std::chrono::milliseconds most_skew{500};
};

class Keeper {
 public:
  Keeper(boost::asio::io_context& io, KeeperOptions options);
  // Waits for a write under way.
  ~Keeper();
  Keeper(const Keeper&) = delete;
  Keeper& operator=(const Keeper&) = delete;

  // The body of the last snapshot that passes, with one log line for it and for each file that does not.
  std::optional<nlohmann::json> Recover();
  // From now on `collect` is asked for a body at each interval, on the event loop.
  void Begin(std::function<nlohmann::json()> collect);

 private:
  void Arm();
  void Write();

  const KeeperOptions options_;
  boost::asio::steady_timer timer_;
  boost::asio::thread_pool writer_{1};
  std::atomic<bool> writing_ = false;
  std::uint64_t sequence_ = 0;  // of the last one
  std::function<nlohmann::json()> collect_;
};

}  // namespace load_balancer::state

#endif  // LOAD_BALANCER_STATE_SNAPSHOT_WRITER_H_
