// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The state that members of a fleet replicate: last-writer-wins registers, exchanged as deltas and, where
/// digests differ, by buckets (Almeida, Shoker, Baquero: "Delta state replicated data types", 2018). Has no
/// socket and no clock; times are Unix milliseconds, since they are compared between machines. Its bounds are
/// in docs/fleet.md.
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

class SharedState {
 public:
  /// The user of the entries. Called from within Receive, and OnRejected from within Write.
  class Host : public ServerList {
   public:
    /// Another member's entry has been accepted.
    virtual void OnAccepted(const Entry& entry) = 0;
    /// `subject` is the server or the fenced value's key; empty, as `origin`, if the entry is malformed.
    virtual void OnRejected(const std::string& subject, const std::string& origin,
                            EntryRejection rejection) = 0;
  };

  /// `host` outlives this.
  SharedState(StateOptions options, Host& host)
      : options_(std::move(options)), host_(host), store_(options_.affinity_entries) {}

  /// Writes an entry of this member. A fenced value that the others would reject is rejected here, and false
  /// returned.
  void Write(UnixMs now, Ejection ejection);
  void Write(UnixMs now, KeyAffinity affinity);
  bool Write(UnixMs now, FencedValue fenced);

  /// Takes an array of packed entries.
  void Receive(UnixMs now, const nlohmann::json& entries);

  /// Packs entries for a message that is sent anyway: those that have been sent fewer than `max_transmits`
  /// times, in at most `max_bytes`.
  nlohmann::json PackPiggyback(UnixMs now, std::size_t max_bytes, int max_transmits);
  /// Whether an ejection or a fenced value has come that was not pushed yet.
  bool has_unpushed() const { return !unpushed_.empty(); }
  /// Packs such entries, in at most `max_bytes`, for a push to several members. The push does not count as a
  /// transmission, since one local fault may lose all of its datagrams.
  PackedPush PackPush(UnixMs now, std::size_t max_bytes);
  /// The entries need not be packed for a push again, unless they change.
  void MarkPushed(const std::vector<EntryKey>& keys);
  /// Packs all entries, in arrays of at most `max_bytes` each.
  std::vector<nlohmann::json> PackAll(UnixMs now, std::size_t max_bytes);
  /// See anti_entropy.h. `listed` is what Receive has just taken.
  std::vector<nlohmann::json> PackMissing(UnixMs now, const nlohmann::json& listed, const DigestRange& range,
                                          std::size_t max_bytes);
  std::vector<Chunk<nlohmann::json>> PackDiffering(UnixMs now, const BucketDigests& theirs,
                                                   std::uint64_t start, std::size_t max_bytes,
                                                   std::size_t max_chunks);
  BucketDigests ComputeBucketDigests(UnixMs now, std::size_t bucket_count);
  std::uint64_t ComputeDigest(UnixMs now);

  /// Entries that are stored.
  std::size_t size() const { return store_.size(); }

  /// The entries of one kind; ages in milliseconds, 0 if there are none.
  struct KindSummary {
    std::size_t count = 0;
    UnixMs newest_age = 0;
    UnixMs oldest_age = 0;
  };
  struct Summary {
    KindSummary ejections;
    KindSummary affinities;
    std::size_t fenced_values = 0;
    std::array<std::uint64_t, kEntryRejections> rejected{};  ///< by EntryRejection
  };
  Summary Summarize(UnixMs now);
  /// The ejections in force, of all members.
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
