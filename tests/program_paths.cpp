// SPDX-License-Identifier: Apache-2.0
#include "program_paths.h"

namespace load_balancer::testing {

const char* const kProxyPath = PROXY_PATH;
const char* const kAdapterPath = ADAPTER_PATH;
const char* const kRelayPath = RELAY_PATH;
const char* const kLeaseActorPath = LEASE_ACTOR_PATH;
const char* const kSourceRoot = SOURCE_ROOT;
const char* const kErrorsPage = SOURCE_ROOT "/docs/errors.md";

}  // namespace load_balancer::testing
