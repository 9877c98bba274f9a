// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Defines the keys in the MessagePack map of a message. They are part of the protocol.
#ifndef LOAD_BALANCER_FLEET_WIRE_MESSAGE_KEYS_H_
#define LOAD_BALANCER_FLEET_WIRE_MESSAGE_KEYS_H_

namespace load_balancer::fleet::wire_keys {

inline constexpr char kVersion[] = "v";
inline constexpr char kFleet[] = "f";
inline constexpr char kKind[] = "k";
inline constexpr char kSender[] = "m";
inline constexpr char kSequence[] = "s";
inline constexpr char kTarget[] = "t";
inline constexpr char kTargetAddress[] = "a";
inline constexpr char kWantsReply[] = "r";
inline constexpr char kUpdates[] = "u";
inline constexpr char kState[] = "d";
inline constexpr char kMemberDigest[] = "w";
inline constexpr char kStateDigest[] = "h";
inline constexpr char kMemberBuckets[] = "b";
inline constexpr char kStateBuckets[] = "e";
inline constexpr char kRange[] = "x";
inline constexpr char kLease[] = "l";
inline constexpr char kChannel[] = "c";
inline constexpr char kPayload[] = "p";

}  // namespace load_balancer::fleet::wire_keys

#endif  // LOAD_BALANCER_FLEET_WIRE_MESSAGE_KEYS_H_
