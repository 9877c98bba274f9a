// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/entry_rejection.h"

#include <array>
#include <cstddef>

namespace load_balancer::fleet {
namespace {

constexpr std::array<std::string_view, kEntryRejections> kNames{
    "older", "off", "malformed", "unlisted", "stale", "future", "implausible", "fenced", "oversized", "full"};

}  // namespace

std::string_view Name(EntryRejection rejection) { return kNames.at(static_cast<std::size_t>(rejection)); }

}  // namespace load_balancer::fleet
