// SPDX-License-Identifier: Apache-2.0
#include "snapshot_writer.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "state/failures.h"

namespace load_balancer::state {
namespace {

UnixMs Now() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<UnixMs>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}  // namespace

Keeper::Keeper(boost::asio::io_context& io, KeeperOptions options)
    : options_(std::move(options)), timer_(io) {}

Keeper::~Keeper() { writer_.join(); }

std::optional<nlohmann::json> Keeper::Recover() {
  const Expected expected{options_.name, Now(), static_cast<UnixMs>(options_.most_age.count()),
                          static_cast<UnixMs>(options_.most_skew.count())};
  auto recovered = state::Recover(options_.path, expected, [](const std::string& file, Refusal why) {
    log::Warn("state",
              Failure(kSnapshotRefused, fmt::format("snapshot file={} refused={}", file, Name(why))));
  });
  auto* snapshot = std::get_if<Snapshot>(&recovered);
  if (!snapshot) {
    log::Info("state", "no snapshot to begin with");
    return std::nullopt;
  }
  sequence_ = snapshot->sequence;
  log::Info("state", fmt::format("recovered sequence={} age_ms={}", snapshot->sequence,
                                 expected.now - std::min(expected.now, snapshot->wall)));
  return std::move(snapshot->body);
}

void Keeper::Begin(std::function<nlohmann::json()> collect) {
  collect_ = std::move(collect);
  Arm();
}

void Keeper::Arm() {
  timer_.expires_after(options_.interval);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    Write();
    Arm();
  });
}

// One at a time: while the disk is slower than the interval, snapshots are left out.
void Keeper::Write() {
  if (writing_.exchange(true)) return;
  sequence_ = std::max(sequence_ + 1, Now());  // larger than one that was refused, too
  Snapshot snapshot{options_.name, sequence_, Now(), collect_()};
  boost::asio::post(writer_, [this, snapshot = std::move(snapshot)] {
    try {
      WriteWhole(options_.path, PreviousOf(options_.path), Encode(snapshot));
    } catch (const std::system_error& error) {
      log::Error("state", Failure(kSnapshotNotWritten, options_.path, error.what()));
    }
    writing_ = false;
  });
}

}  // namespace load_balancer::state
