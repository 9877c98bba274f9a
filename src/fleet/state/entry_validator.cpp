// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/entry_validator.h"

#include <tuple>

#include "fleet/state/entry_codec.h"

namespace load_balancer::fleet {

std::optional<EntryRejection> EntryValidator::ValidateFencedValue(const Entry& entry) const {
  const FencedValue& fenced = std::get<FencedValue>(entry.content);
  if (fenced.until > MillisecondsOf(entry.version.stamp) + kMaxValueLifetime)
    return EntryRejection::kImplausible;
  if (PackedSize(fenced.value) > kMaxValueBytes || PackedSize(Pack(entry)) > kMaxEntryBytes)
    return EntryRejection::kOversized;
  if (fenced.token < tokens_.HighestOf(fenced.role)) return EntryRejection::kFenced;
  if (!tokens_.HasCapacityFor(fenced.role)) return EntryRejection::kFull;
  if (store_.fenced_value_count() >= kMaxFencedValues && !store_.Find(KeyOf(entry)))
    return EntryRejection::kFull;
  return std::nullopt;
}

std::optional<EntryRejection> EntryValidator::ValidateReceived(UnixMs now, const Entry& entry) const {
  if (std::holds_alternative<FencedValue>(entry.content)) return ValidateReceivedFencedValue(now, entry);
  return ValidateReceivedServerEntry(now, entry);
}

std::optional<EntryRejection> EntryValidator::ValidateReceivedFencedValue(UnixMs now,
                                                                          const Entry& entry) const {
  const FencedValue& fenced = std::get<FencedValue>(entry.content);
  if (IsFromFuture(now, entry)) return EntryRejection::kFuture;
  if (fenced.until <= now) return EntryRejection::kStale;
  if (const auto rejection = ValidateFencedValue(entry)) return rejection;
  const StoredEntry* stored = store_.Find(KeyOf(entry));
  if (!stored) return std::nullopt;
  const FencedValue& current = std::get<FencedValue>(stored->entry.content);
  const bool is_newer =
      std::tie(fenced.token, entry.version) > std::tie(current.token, stored->entry.version);
  if (!is_newer) return EntryRejection::kNotNewer;
  return std::nullopt;
}

std::optional<EntryRejection> EntryValidator::ValidateReceivedServerEntry(UnixMs now,
                                                                          const Entry& entry) const {
  const auto* ejection = std::get_if<Ejection>(&entry.content);
  const bool is_shared = ejection ? options_.share_ejections : options_.affinity_entries > 0;
  if (!is_shared) return EntryRejection::kNotShared;
  if (IsFromFuture(now, entry)) return EntryRejection::kFuture;
  if (ExpiresAt(options_, entry) <= now) return EntryRejection::kStale;
  if (!servers_.IsListed(SubjectOf(entry))) return EntryRejection::kUnlisted;
  if (ejection && !IsPlausible(*ejection, entry.version.stamp)) return EntryRejection::kImplausible;
  const StoredEntry* stored = store_.Find(KeyOf(entry));
  if (stored && entry.version <= stored->entry.version) return EntryRejection::kNotNewer;
  return std::nullopt;
}

bool EntryValidator::IsFromFuture(UnixMs now, const Entry& entry) const {
  return MillisecondsOf(entry.version.stamp) > now + options_.max_clock_skew;
}

bool EntryValidator::IsPlausible(const Ejection& ejection, HybridTimestamp stamp) const {
  return ejection.failures <= ejection.attempts && ejection.failures != 0 &&
         ejection.until <= MillisecondsOf(stamp) + options_.max_ejection;
}

}  // namespace load_balancer::fleet
