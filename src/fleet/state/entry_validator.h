// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The rules by which a member accepts or rejects entries.
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

/// The servers that discovery lists.
class ServerList {
 public:
  virtual ~ServerList() = default;
  virtual bool IsListed(const std::string& server) const = 0;
};

class EntryValidator {
 public:
  /// All arguments outlive this.
  EntryValidator(const StateOptions& options, const EntryStore& store, const FencingTokens& tokens,
                 const ServerList& servers)
      : options_(options), store_(store), tokens_(tokens), servers_(servers) {}

  /// The rules for a fenced value of any member, this one included. Nothing if it is acceptable.
  std::optional<EntryRejection> ValidateFencedValue(const Entry& entry) const;
  /// The rules for another member's entry. Nothing if it is to be stored.
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
