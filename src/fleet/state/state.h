// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The state that the members of a fleet replicate. It consists of last-writer-wins registers, which members
/// exchange as deltas (Almeida, Shoker, Baquero: "Delta state replicated data types", 2018). Where digests
/// differ, members exchange the entries of the differing hash buckets. Uses no socket and no clock of its
/// own. Times are Unix milliseconds, because they are compared between machines. docs/fleet.md lists the
/// limits.
#ifndef LOAD_BALANCER_FLEET_STATE_STATE_H_
#define LOAD_BALANCER_FLEET_STATE_STATE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/state/dissemination.h"
#include "fleet/state/entry.h"
#include "fleet/state/entry_rejection.h"
#include "fleet/state/entry_store.h"
#include "fleet/state/entry_validator.h"
#include "fleet/state/fencing_tokens.h"
#include "fleet/state/hybrid_clock.h"
#include "fleet/state/state_options.h"
#include "fleet/sync/chunks.h"

namespace load_balancer::fleet {

/// SharedState holds one member's copy of the replicated state.
class SharedState {
 public:
  /// Host is notified of accepted and rejected entries. SharedState calls it from within Receive, and calls
  /// OnRejected from within Write, too.
  class Host : public ServerList {
   public:
    /// Called for each entry of another member that was accepted.
    virtual void OnAccepted(const Entry& entry) = 0;
    /// Called for each rejected entry, except if the reason is kNotNewer or kNotShared, which are not faults.
    /// `subject` is the server or the key of the fenced value. `subject` and `origin` are empty if the entry
    /// is malformed.
    virtual void OnRejected(const std::string& subject, const std::string& origin,
                            EntryRejection rejection) = 0;
  };

  /// `host` must outlive this object.
  SharedState(StateOptions options, Host& host)
      : options_(std::move(options)), host_(host), store_(options_.affinity_entries) {}

  /// Writes an entry of this member. Returns false, without storing it, for a fenced value that the other
  /// members would reject.
  void Write(UnixMs now, Ejection ejection);
  void Write(UnixMs now, KeyAffinity affinity);
  bool Write(UnixMs now, FencedValue fenced);

  /// Validates the entries of a packed array and stores those that are accepted.
  void Receive(UnixMs now, const nlohmann::json& entries);

  /// Packs entries that were sent fewer than `max_transmits` times, in at most `max_bytes`, for a message
  /// that is sent for another reason.
  nlohmann::json PackPiggyback(UnixMs now, std::size_t max_bytes, int max_transmits);
  /// Returns whether there is a new ejection or fenced value that was not pushed yet.
  bool has_unpushed() const { return !unpushed_.empty(); }
  /// Packs ejections and fenced values that were not pushed yet, in at most `max_bytes`, for a push to
  /// several members. The push does not count as a transmission, because one local fault may lose all of its
  /// datagrams.
  PackedPush PackPush(UnixMs now, std::size_t max_bytes);
  /// Marks entries as pushed. PackPush skips a marked entry until the entry changes.
  void MarkPushed(const std::vector<EntryKey>& keys);
  /// Packs all entries, in arrays of at most `max_bytes` each.
  std::vector<nlohmann::json> PackAll(UnixMs now, std::size_t max_bytes);
  /// Packs the entries in `range` that a peer lacks or has in another version (see anti_entropy.h).
  /// `peer_entries` is the array that was just passed to Receive.
  std::vector<nlohmann::json> PackMissing(UnixMs now, const nlohmann::json& peer_entries,
                                          const DigestRange& range, std::size_t max_bytes);
  /// Packs the entries of the buckets whose digests differ from `peer_digests` (see anti_entropy.h).
  std::vector<Chunk<nlohmann::json>> PackDiffering(UnixMs now, const BucketDigests& peer_digests,
                                                   std::uint64_t start, std::size_t max_bytes,
                                                   std::size_t max_chunks);
  /// Returns one digest per hash bucket over all entries that have not expired.
  BucketDigests ComputeBucketDigests(UnixMs now, std::size_t bucket_count);
  /// Returns the hash of the versions of all entries that have not expired.
  std::uint64_t ComputeDigest(UnixMs now);

  /// Returns the number of stored entries.
  std::size_t size() const { return store_.size(); }

  /// KindSummary describes the stored entries of one kind. The ages are in milliseconds, and 0 if there are
  /// no entries.
  struct KindSummary {
    std::size_t count = 0;
    UnixMs newest_age = 0;
    UnixMs oldest_age = 0;
  };
  /// Summary counts the stored entries by kind and the rejected entries by reason.
  struct Summary {
    KindSummary ejections;
    KindSummary affinities;
    std::size_t fenced_values = 0;
    std::array<std::uint64_t, kEntryRejections> rejected{};  ///< counts by EntryRejection
  };
  /// Summarizes the entries that are stored at `now`.
  Summary Summarize(UnixMs now);
  /// Returns the ejections, by any member, that are in force at `now`.
  std::vector<Entry> Ejections(UnixMs now);

 private:
  EntryValidator Validator() const { return {options_, store_, tokens_, host_}; }
  Version NextVersion(UnixMs now);
  void Expire(UnixMs now);
  void Store(Entry entry);
  void ReceiveEntry(UnixMs now, const Entry& entry);
  void Reject(const std::string& subject, const std::string& origin, EntryRejection rejection);

  const StateOptions options_;
  Host& host_;
  HybridClock clock_;
  EntryStore store_;
  std::set<EntryKey> unpushed_;
  FencingTokens tokens_;
  std::array<std::uint64_t, kEntryRejections> rejected_{};
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_STATE_H_
