// SPDX-License-Identifier: Apache-2.0
//
// The messages by the place where src/fleet/lease.h looks for them.
#ifndef BRACKENSPOKE_FLEET_MESSAGE_H_
#define BRACKENSPOKE_FLEET_MESSAGE_H_

#include "fleet/wire/codec.h"

#endif  // BRACKENSPOKE_FLEET_MESSAGE_H_
