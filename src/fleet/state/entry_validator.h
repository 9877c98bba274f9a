// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Decides whether a member accepts or rejects an entry.
#ifndef LOAD_BALANCER_FLEET_STATE_ENTRY_VALIDATOR_H_
#define LOAD_BALANCER_FLEET_STATE_ENTRY_VALIDATOR_H_

#include <optional>
#include <string>

#include "fleet/state/entry.h"
#include "fleet/state/entry_rejection.h"
#include "fleet/state/entry_store.h"
#include "fleet/state/fencing_tokens.h"
#include "fleet/state/state_options.h"

namespace load_balancer::fleet {

/// ServerList is the interface for checking whether discovery lists a server.
class ServerList {
 public:
  virtual ~ServerList() = default;
  virtual bool IsListed(const std::string& server) const = 0;
};

/// EntryValidator checks entries against the limits, the listed servers and the stored entries.
class EntryValidator {
 public:
  /// All arguments must outlive the validator.
  EntryValidator(const StateOptions& options, const EntryStore& store, const FencingTokens& tokens,
                 const ServerList& servers)
      : options_(options), store_(store), tokens_(tokens), servers_(servers) {}

  /// Checks a fenced value of any member, including this one. Returns nullopt if it is acceptable.
  std::optional<EntryRejection> ValidateFencedValue(const Entry& entry) const;
  /// Checks an entry of another member. Returns nullopt if the entry is to be stored.
  std::optional<EntryRejection> ValidateReceived(UnixMs now, const Entry& entry) const;

 private:
  std::optional<EntryRejection> ValidateReceivedFencedValue(UnixMs now, const Entry& entry) const;
  std::optional<EntryRejection> ValidateReceivedServerEntry(UnixMs now, const Entry& entry) const;
  bool IsFromFuture(UnixMs now, const Entry& entry) const;
  bool IsPlausible(const Ejection& ejection, HybridTimestamp stamp) const;

  const StateOptions& options_;
  const EntryStore& store_;
  const FencingTokens& tokens_;
  const ServerList& servers_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_ENTRY_VALIDATOR_H_
