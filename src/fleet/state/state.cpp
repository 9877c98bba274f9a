// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/state.h"

#include <xxhash.h>

#include <algorithm>
#include <stdexcept>
#include <tuple>

namespace load_balancer::fleet {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, kRefusals> kRefusalNames{
    "older", "off", "malformed", "unlisted", "stale", "future", "implausible", "fenced", "oversized", "full"};
constexpr std::size_t kArrayBytes = 3;
constexpr int kMostMisfits = 16;  // entries that are too large for what room is left, passed over

// Nothing of what is out of form.
std::optional<Entry> Read(const json& packed) {
  try {
    return Unpack(packed);
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

// All of the space.
Slice Whole() {
  Slice slice;
  slice.buckets.set();
  slice.to = slice.from - 1;
  return slice;
}

}  // namespace

std::string_view Name(Refusal refusal) { return kRefusalNames.at(static_cast<std::size_t>(refusal)); }

SharedState::Key SharedState::KeyOf(const Entry& entry) {
  if (const auto* verdict = std::get_if<Verdict>(&entry.fact)) return "v:" + verdict->server;
  if (const auto* fact = std::get_if<DutyFact>(&entry.fact)) return "d:" + fact->key;
  return std::get<KeySite>(entry.fact).key;
}

std::uint64_t SharedState::PlaceOf(const Key& key) {
  if (const auto* text = std::get_if<std::string>(&key)) return XXH64(text->data(), text->size(), 0);
  return XXH64(&std::get<std::uint64_t>(key), sizeof(std::uint64_t), 1);
}

// The staleness bound of each kind.
UnixMs SharedState::ExpiresAt(const Entry& entry) const {
  const UnixMs written = MillisecondsOf(entry.version.stamp);
  if (const auto* verdict = std::get_if<Verdict>(&entry.fact))
    return std::min(verdict->until, written + options_.longest_ejection + options_.way);
  if (const auto* fact = std::get_if<DutyFact>(&entry.fact)) return fact->until;
  return written + options_.affinity_ttl;
}

void SharedState::Expire(UnixMs now) {
  fences_.Expire(now);
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) Drop(Key(by_expiry_.begin()->second));
}

void SharedState::Drop(const Key& key) {
  const auto found = held_.find(key);
  if (found == held_.end()) return;
  sites_ -= std::holds_alternative<KeySite>(found->second.entry.fact);
  facts_ -= std::holds_alternative<DutyFact>(found->second.entry.fact);
  by_expiry_.erase({ExpiresAt(found->second.entry), key});
  to_pass_on_.erase({found->second.transmits, key});
  held_.erase(found);
}

void SharedState::Put(Entry entry) {
  const Key key = KeyOf(entry);
  Drop(key);
  if (std::holds_alternative<KeySite>(entry.fact)) {
    // The one that is nearest to its end makes room.
    if (sites_ >= options_.affinity_entries) {
      const auto oldest = std::find_if(by_expiry_.begin(), by_expiry_.end(), [](const auto& each) {
        return std::holds_alternative<std::uint64_t>(each.second);
      });
      Drop(Key(oldest->second));
    }
    ++sites_;
  }
  facts_ += std::holds_alternative<DutyFact>(entry.fact);
  by_expiry_.emplace(ExpiresAt(entry), key);
  to_pass_on_.emplace(0, key);
  const std::size_t size = PackedSize(Pack(entry));
  held_[key] = {std::move(entry), size, 0};
}

// What is held under a smaller token goes, as those refuse it that come to know of it later: all hold the
// same.
void SharedState::PutFact(Entry entry) {
  const DutyFact& fact = std::get<DutyFact>(entry.fact);
  if (fences_.Raise(fact.duty, fact.token, MillisecondsOf(entry.version.stamp))) {
    std::vector<Key> fenced;
    for (const auto& [key, held] : held_) {
      const auto* other = std::get_if<DutyFact>(&held.entry.fact);
      if (other && other->duty == fact.duty && other->token < fact.token) fenced.push_back(key);
    }
    for (const Key& key : fenced) Drop(key);
  }
  Put(std::move(entry));
}

void SharedState::Write(UnixMs now, Verdict verdict) {
  if (!options_.verdicts) return;
  Expire(now);
  Put({std::move(verdict), {clock_.Now(now), options_.name}});
}

void SharedState::Write(UnixMs now, KeySite site) {
  if (options_.affinity_entries == 0) return;
  Expire(now);
  Put({std::move(site), {clock_.Now(now), options_.name}});
}

bool SharedState::Write(UnixMs now, DutyFact fact) {
  Expire(now);
  Entry entry{std::move(fact), {clock_.Now(now), options_.name}};
  if (const auto why = JudgeFact(entry)) {
    Refuse(SubjectOf(entry), options_.name, *why);
    return false;
  }
  PutFact(std::move(entry));
  return true;
}

std::optional<Refusal> SharedState::JudgeFact(const Entry& entry) const {
  const DutyFact& fact = std::get<DutyFact>(entry.fact);
  if (fact.until > MillisecondsOf(entry.version.stamp) + kLongestFact) return Refusal::kImplausible;
  if (PackedSize(fact.value) > kMostValue || PackedSize(Pack(entry)) > kMostEntry) return Refusal::kOversized;
  if (fact.token < fences_.Of(fact.duty)) return Refusal::kFenced;
  if (!fences_.HasRoomFor(fact.duty) || (facts_ >= kMostFacts && !held_.contains(KeyOf(entry))))
    return Refusal::kFull;
  return std::nullopt;
}

std::optional<Refusal> SharedState::JudgeDuty(UnixMs now, const Entry& entry) const {
  const DutyFact& fact = std::get<DutyFact>(entry.fact);
  if (MillisecondsOf(entry.version.stamp) > now + options_.most_skew) return Refusal::kFuture;
  if (fact.until <= now) return Refusal::kStale;
  if (const auto why = JudgeFact(entry)) return why;
  const auto held = held_.find(KeyOf(entry));
  if (held == held_.end()) return std::nullopt;
  const DutyFact& before = std::get<DutyFact>(held->second.entry.fact);
  const bool newer = std::tie(fact.token, entry.version) > std::tie(before.token, held->second.entry.version);
  return newer ? std::nullopt : std::optional(Refusal::kOlder);
}

std::optional<Refusal> SharedState::JudgeVerdict(const Verdict& verdict, Stamp stamp) const {
  if (verdict.failures > verdict.attempts || verdict.failures == 0 ||
      verdict.until > MillisecondsOf(stamp) + options_.longest_ejection)
    return Refusal::kImplausible;
  return std::nullopt;
}

std::optional<Refusal> SharedState::Judge(UnixMs now, const Entry& entry) const {
  if (std::holds_alternative<DutyFact>(entry.fact)) return JudgeDuty(now, entry);
  const auto* verdict = std::get_if<Verdict>(&entry.fact);
  if (!(verdict ? options_.verdicts : options_.affinity_entries > 0)) return Refusal::kOff;
  if (MillisecondsOf(entry.version.stamp) > now + options_.most_skew) return Refusal::kFuture;
  if (ExpiresAt(entry) <= now) return Refusal::kStale;
  if (!host_.Listed(SubjectOf(entry))) return Refusal::kUnlisted;
  if (verdict) {
    if (const auto why = JudgeVerdict(*verdict, entry.version.stamp)) return why;
  }
  const auto held = held_.find(KeyOf(entry));
  if (held != held_.end() && entry.version <= held->second.entry.version) return Refusal::kOlder;
  return std::nullopt;
}

void SharedState::Refuse(const std::string& about, const std::string& origin, Refusal why) {
  ++refused_[static_cast<std::size_t>(why)];
  if (why > Refusal::kOff) host_.Refused(about, origin, why);
}

bool SharedState::Receive(UnixMs now, const json& entries) {
  Expire(now);
  bool new_verdict = false;
  if (!entries.is_array()) {
    Refuse("", "", Refusal::kMalformed);
    return false;
  }
  for (const json& packed : entries) {
    const auto entry = Read(packed);
    if (!entry) {
      Refuse("", "", Refusal::kMalformed);
      continue;
    }
    if (const auto why = Judge(now, *entry)) {
      Refuse(SubjectOf(*entry), entry->version.origin, *why);
      continue;
    }
    clock_.See(entry->version.stamp);
    new_verdict |= !std::holds_alternative<KeySite>(entry->fact);
    std::holds_alternative<DutyFact>(entry->fact) ? PutFact(*entry) : Put(*entry);
    host_.Taken(*entry);
  }
  return new_verdict;
}

json SharedState::Take(std::size_t room, std::vector<Key>* taken) const {
  json packed = json::array();
  if (room < kArrayBytes) return packed;
  room -= kArrayBytes;
  int misfits = 0;
  for (const auto& [transmits, key] : to_pass_on_) {
    const Held& held = held_.at(key);
    if (held.size > room) {
      if (++misfits > kMostMisfits) break;
      continue;
    }
    room -= held.size;
    packed.push_back(Pack(held.entry));
    taken->push_back(key);
  }
  return packed;
}

json SharedState::Push(UnixMs now, std::size_t room) {
  Expire(now);
  std::vector<Key> taken;
  return Take(room, &taken);
}

json SharedState::Fill(UnixMs now, std::size_t room, int most_transmits) {
  Expire(now);
  std::vector<Key> taken;
  json packed = Take(room, &taken);
  for (const Key& key : taken) {
    Held& held = held_.at(key);
    to_pass_on_.erase({held.transmits, key});
    if (++held.transmits < most_transmits) to_pass_on_.emplace(held.transmits, key);
  }
  return packed;
}

std::vector<json> SharedState::All(UnixMs now, std::size_t room) {
  return Lacking(now, json::array(), Whole(), room);
}

std::vector<json> SharedState::Lacking(UnixMs now, const json& listed, const Slice& slice, std::size_t room) {
  Expire(now);
  std::map<Key, Version> theirs;
  for (const json& packed : listed)
    if (const auto entry = Read(packed)) theirs[KeyOf(*entry)] = entry->version;
  std::vector<json> pieces;
  std::size_t left = 0;
  for (const auto& [key, held] : held_) {
    const auto other = theirs.find(key);
    if (!slice.Holds(PlaceOf(key)) || (other != theirs.end() && other->second == held.entry.version))
      continue;
    if (held.size > left) {
      pieces.push_back(json::array());
      left = room - std::min(room, kArrayBytes);
    }
    left -= std::min(left, held.size);
    pieces.back().push_back(Pack(held.entry));
  }
  return pieces;
}

std::vector<Piece<json>> SharedState::Unlike(UnixMs now, const Buckets& theirs, std::uint64_t start,
                                             std::size_t room, std::size_t most) {
  const auto unlike = Digests(now, theirs.count()).Unlike(theirs);
  if (unlike.none()) return {};
  std::vector<Placed<json>> all;
  for (const auto& [key, held] : held_) {
    const std::uint64_t place = PlaceOf(key);
    if (unlike.test(BucketAt(place, theirs.count()))) all.push_back({place, held.size, Pack(held.entry)});
  }
  return CutToPieces(std::move(all), theirs.count(), unlike, start, room - std::min(room, kArrayBytes), most);
}

Buckets SharedState::Digests(UnixMs now, std::size_t count) {
  Expire(now);
  Buckets digests(count);
  for (const auto& [key, held] : held_) {
    const Version& version = held.entry.version;
    const std::uint64_t place = PlaceOf(key);
    digests.Add(place, XXH64(version.origin.data(), version.origin.size(), place ^ version.stamp));
  }
  return digests;
}

std::uint64_t SharedState::Digest(UnixMs now) {
  Expire(now);
  std::uint64_t digest = 0;
  for (const auto& [key, held] : held_) {
    const Version& version = held.entry.version;
    digest = XXH64(version.origin.data(), version.origin.size(), digest);
    digest = XXH64(&version.stamp, sizeof version.stamp, digest);
  }
  return digest;
}

SharedState::Summary SharedState::Summarize(UnixMs now) {
  Expire(now);
  Summary summary;
  summary.refused = refused_;
  for (const auto& [key, held] : held_) {
    const UnixMs written = MillisecondsOf(held.entry.version.stamp), age = now > written ? now - written : 0;
    if (std::holds_alternative<DutyFact>(held.entry.fact)) {
      ++summary.facts;
      continue;
    }
    const bool verdict = std::holds_alternative<Verdict>(held.entry.fact);
    std::size_t& count = verdict ? summary.verdicts : summary.sites;
    UnixMs& newest = verdict ? summary.newest_verdict : summary.newest_site;
    UnixMs& oldest = verdict ? summary.oldest_verdict : summary.oldest_site;
    newest = count == 0 ? age : std::min(newest, age);
    oldest = std::max(oldest, age);
    ++count;
  }
  return summary;
}

std::vector<Entry> SharedState::Verdicts(UnixMs now) {
  Expire(now);
  std::vector<Entry> verdicts;
  for (const auto& [key, held] : held_)
    if (std::holds_alternative<Verdict>(held.entry.fact)) verdicts.push_back(held.entry);
  return verdicts;
}

}  // namespace load_balancer::fleet
