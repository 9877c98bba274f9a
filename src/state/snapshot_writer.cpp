// SPDX-License-Identifier: Apache-2.0
#include "state/snapshot_writer.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "base/wall_clock.h"
#include "state/failures.h"
#include "state/snapshot_file.h"

namespace load_balancer::state {
namespace {

constexpr char kComponent[] = "state";
// The first interval between snapshots. It doubles with each snapshot until it reaches the configured
// interval.
constexpr std::chrono::milliseconds kFirstInterval{500};

void LogRejectedFile(const std::string& path, SnapshotRejection rejection) {
  log::Warn(kComponent,
            Failure(kSnapshotRejected, fmt::format("snapshot file={} refused={}", path, Name(rejection))));
}

}  // namespace

SnapshotWriter::SnapshotWriter(boost::asio::io_context& io, SnapshotWriterOptions options)
    : options_(std::move(options)), timer_(io), next_interval_(std::min(kFirstInterval, options_.interval)) {}

SnapshotWriter::~SnapshotWriter() { writer_.join(); }

std::optional<nlohmann::json> SnapshotWriter::Recover() {
  const AcceptanceCriteria criteria{options_.name, UnixMilliseconds(),
                                    static_cast<UnixMs>(options_.max_age.count()),
                                    static_cast<UnixMs>(options_.max_clock_skew.count())};
  auto recovered = state::Recover(options_.path, criteria, LogRejectedFile);
  auto* snapshot = std::get_if<Snapshot>(&recovered);
  if (!snapshot) {
    log::Info(kComponent, "starting without a snapshot");
    return std::nullopt;
  }
  sequence_ = snapshot->sequence;
  const UnixMs age = criteria.now - std::min(criteria.now, snapshot->written_at);
  log::Info(kComponent, fmt::format("recovered sequence={} age_ms={}", snapshot->sequence, age));
  return std::move(snapshot->body);
}

void SnapshotWriter::Start(Collect collect) {
  collect_ = std::move(collect);
  ScheduleWrite();
}

void SnapshotWriter::ScheduleWrite() {
  timer_.expires_after(next_interval_);
  next_interval_ = std::min(2 * next_interval_, options_.interval);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    Write();
    ScheduleWrite();
  });
}

// Writes a snapshot, unless the previous write is still in progress.
void SnapshotWriter::Write() {
  if (is_writing_.exchange(true)) return;
  // A sequence is at least the wall time in milliseconds, and therefore exceeds the sequence of any file that
  // Recover has rejected.
  sequence_ = std::max(sequence_ + 1, UnixMilliseconds());
  Snapshot snapshot{options_.name, sequence_, UnixMilliseconds(), collect_()};
  boost::asio::post(writer_, [this, snapshot = std::move(snapshot)] {
    try {
      WriteAtomically(options_.path, PreviousPath(options_.path), Encode(snapshot));
    } catch (const std::system_error& error) {
      log::Error(kComponent, Failure(kSnapshotNotWritten, options_.path, error.what()));
    }
    is_writing_ = false;
  });
}

}  // namespace load_balancer::state
