// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Recovers the last snapshot of a process at its start and writes new ones at an interval. A separate thread
/// writes the files, because the disk may be slow and requests must not wait for it.
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

/// SnapshotWriterOptions configures a SnapshotWriter.
struct SnapshotWriterOptions {
  std::string path;  ///< path of the snapshot file
  std::string name;  ///< name of the process
  std::chrono::milliseconds interval{5000};
  std::chrono::milliseconds max_age{60000};       ///< maximum age of a snapshot that is recovered
  std::chrono::milliseconds max_clock_skew{500};  ///< maximum time that a snapshot is ahead of the clock
};

/// SnapshotWriter recovers and writes the snapshots of one process.
class SnapshotWriter {
 public:
  /// Collect returns the body of a new snapshot.
  using Collect = std::function<nlohmann::json()>;

  SnapshotWriter(boost::asio::io_context& io, SnapshotWriterOptions options);
  /// Waits until a write in progress has finished.
  ~SnapshotWriter();
  SnapshotWriter(const SnapshotWriter&) = delete;
  SnapshotWriter& operator=(const SnapshotWriter&) = delete;

  /// Returns the body of the newest acceptable snapshot, if any. Logs the result and each rejected file.
  std::optional<nlohmann::json> Recover();
  /// Starts to write the result of `collect` at each interval. The first intervals are shorter, because a
  /// process may be replaced soon after its start. `collect` is called from the event loop.
  void Start(Collect collect);

 private:
  void ScheduleWrite();
  void Write();

  const SnapshotWriterOptions options_;
  boost::asio::steady_timer timer_;
  boost::asio::thread_pool writer_{1};
  std::atomic<bool> is_writing_ = false;
  std::uint64_t sequence_ = 0;  // sequence of the last snapshot
  std::chrono::milliseconds next_interval_;
  Collect collect_;
};

}  // namespace load_balancer::state

#endif  // LOAD_BALANCER_STATE_SNAPSHOT_WRITER_H_
