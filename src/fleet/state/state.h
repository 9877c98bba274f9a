// SPDX-License-Identifier: Apache-2.0
//
// What members tell each other of servers and keys: last-writer-wins registers, exchanged as deltas and,
// where digests differ, whole (Almeida, Shoker, Baquero: "Delta state replicated data types", 2018). Owns no
// socket and no clock; times are Unix milliseconds, since they are compared between machines. Bounds are in
// docs/fleet.md.
#ifndef LOAD_BALANCER_FLEET_STATE_STATE_H_
#define LOAD_BALANCER_FLEET_STATE_STATE_H_

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/state/entry.h"
#include "fleet/state/fencing_tokens.h"
#include "fleet/sync/chunks.h"

namespace load_balancer::fleet {

// Why an entry was not taken. kOlder, that what is held is as new or newer, and kOff, that this member does
// not share the kind, are no faults. kFull: there are kMostFacts or kMostDuties already.
enum class Refusal {
  kOlder,
  kOff,
  kMalformed,
  kUnlisted,
  kStale,
  kFuture,
  kImplausible,
  kFenced,
  kOversized,
  kFull
};
inline constexpr int kRefusals = 10;
std::string_view Name(Refusal refusal);

struct StateOptions {
  std::string name;                  // of this member
  bool verdicts = true;              // whether they are shared
  std::size_t affinity_entries = 0;  // at most; 0: none are shared
  UnixMs affinity_ttl = 4000;
  UnixMs most_skew = 500;       // that a stamp may be ahead of this member's wall clock
  UnixMs longest_ejection = 0;  // from a verdict's stamp to its end
  UnixMs way = 0;               // that a verdict may take beyond its end's distance
};

class SharedState {
 public:
  // What the entries are for. Called from within Receive, and Refused from within Write.
  class Host {
   public:
    virtual ~Host() = default;
    virtual bool Listed(const std::string& server) const = 0;
    // Another member's entry is taken, for the first time.
    virtual void Taken(const Entry& entry) = 0;
    // `about` is the server, or the duty's fact; empty if it cannot be read.
    virtual void Refused(const std::string& about, const std::string& origin, Refusal why) = 0;
  };

  SharedState(StateOptions options, Host& host) : options_(std::move(options)), host_(host) {}

  // This member's own. A fact that the others would refuse is refused here, and false returned.
  void Write(UnixMs now, Verdict verdict);
  void Write(UnixMs now, KeySite site);
  bool Write(UnixMs now, DutyFact fact);

  // Entries from `from`, as Fill and All made them. True if a verdict or a duty's fact among them was new.
  bool Receive(UnixMs now, const nlohmann::json& entries);

  // Entries that have been passed on fewer than `most_transmits` times, as far as they fit in `room` bytes.
  nlohmann::json Fill(UnixMs now, std::size_t room, int most_transmits);
  // The same for a push: what goes out to several members at one moment is one loss away from none, and is
  // not counted as passed on.
  nlohmann::json Push(UnixMs now, std::size_t room);
  // Everything, in pieces of at most `room` bytes each.
  std::vector<nlohmann::json> All(UnixMs now, std::size_t room);
  // Digests of everything, over so many buckets.
  Buckets Digests(UnixMs now, std::size_t count);
  // What is in the buckets that differ, in at most `most` pieces that are listed from the place `start` on.
  std::vector<Piece<nlohmann::json>> Unlike(UnixMs now, const Buckets& theirs, std::uint64_t start,
                                            std::size_t room, std::size_t most);
  // What is in the slice and not listed there, or listed at another version, in pieces as All makes them.
  // `listed` is what Receive had before.
  std::vector<nlohmann::json> Lacking(UnixMs now, const nlohmann::json& listed, const Slice& slice,
                                      std::size_t room);
  // Entries that are held.
  std::size_t size() const { return held_.size(); }
  // The same at members that hold the same (xxHash of the versions).
  std::uint64_t Digest(UnixMs now);

  struct Summary {
    std::size_t verdicts = 0, sites = 0, facts = 0;
    UnixMs newest_verdict = 0, oldest_verdict = 0, newest_site = 0, oldest_site = 0;  // ages, ms
    std::array<std::uint64_t, kRefusals> refused{};
  };
  Summary Summarize(UnixMs now);
  // Those that hold, of whatever member.
  std::vector<Entry> Verdicts(UnixMs now);

 private:
  struct Held {
    Entry entry;
    std::size_t size = 0;  // bytes, packed
    int transmits = 0;
  };
  using Key = std::variant<std::string, std::uint64_t>;

  static Key KeyOf(const Entry& entry);
  // In the space of hashes.
  static std::uint64_t PlaceOf(const Key& key);
  UnixMs ExpiresAt(const Entry& entry) const;
  void Expire(UnixMs now);
  void Put(Entry entry);
  void PutFact(Entry entry);
  void Drop(const Key& key);
  // Packs entries that are to be passed on, those first that have been least; `taken` gets their keys.
  nlohmann::json Take(std::size_t room, std::vector<Key>* taken) const;
  std::optional<Refusal> JudgeDuty(UnixMs now, const Entry& entry) const;
  // By what holds for this member's own, too.
  std::optional<Refusal> JudgeFact(const Entry& entry) const;
  // Nothing if the entry is to be taken.
  std::optional<Refusal> Judge(UnixMs now, const Entry& entry) const;
  std::optional<Refusal> JudgeVerdict(const Verdict& verdict, Stamp stamp) const;
  void Refuse(const std::string& about, const std::string& origin, Refusal why);

  const StateOptions options_;
  Host& host_;
  HybridClock clock_;
  std::map<Key, Held> held_;
  std::set<std::pair<UnixMs, Key>> by_expiry_;
  std::set<std::pair<int, Key>> to_pass_on_;  // by how often each has been
  std::size_t sites_ = 0, facts_ = 0;
  Fences fences_;
  std::array<std::uint64_t, kRefusals> refused_{};
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_STATE_H_
