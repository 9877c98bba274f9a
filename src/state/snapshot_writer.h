// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Recovers a process's last snapshot at the start and writes new ones at an interval. Files are written by a
/// thread of their own, since the disk may be slow and requests must not wait for it.
#ifndef LOAD_BALANCER_STATE_SNAPSHOT_WRITER_H_
#define LOAD_BALANCER_STATE_SNAPSHOT_WRITER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace load_balancer::state {

struct SnapshotWriterOptions {
  std::string path;  ///< of the snapshot
  std::string name;  ///< of the process
  std::chrono::milliseconds interval{5000};
  std::chrono::milliseconds max_age{60000};       ///< of a snapshot that is recovered
  std::chrono::milliseconds max_clock_skew{500};  ///< that the wall clock may have stepped back
};

class SnapshotWriter {
 public:
  /// Returns the body of a snapshot.
  using Collect = std::function<nlohmann::json()>;

  SnapshotWriter(boost::asio::io_context& io, SnapshotWriterOptions options);
  /// Waits for a write in progress.
  ~SnapshotWriter();
  SnapshotWriter(const SnapshotWriter&) = delete;
  SnapshotWriter& operator=(const SnapshotWriter&) = delete;

  /// The body of the newest acceptable snapshot. Logs it and each file that is rejected.
  std::optional<nlohmann::json> Recover();
  /// Writes what `collect` returns at each interval from now on, and sooner at first, as a process may be
  /// replaced while it is young. `collect` is called from the event loop.
  void Start(Collect collect);

 private:
  void ScheduleWrite();
  void Write();

  const SnapshotWriterOptions options_;
  boost::asio::steady_timer timer_;
  boost::asio::thread_pool writer_{1};
  std::atomic<bool> is_writing_ = false;
  std::uint64_t sequence_ = 0;  // of the last snapshot
  std::chrono::milliseconds next_interval_;
  Collect collect_;
};

}  // namespace load_balancer::state

#endif  // LOAD_BALANCER_STATE_SNAPSHOT_WRITER_H_
