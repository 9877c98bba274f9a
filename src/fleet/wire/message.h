// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Defines the messages between the members of a fleet. codec.h encodes them for datagrams.
#ifndef LOAD_BALANCER_FLEET_WIRE_MESSAGE_H_
#define LOAD_BALANCER_FLEET_WIRE_MESSAGE_H_

#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/lease/message.h"
#include "fleet/sync/bucket_digests.h"

namespace load_balancer::fleet {

using Udp = boost::asio::ip::udp;

/// Version of the protocol. Datagrams of another version are dropped.
inline constexpr int kProtocolVersion = 1;
/// Maximum size of a datagram, in bytes. It fits one Ethernet frame.
inline constexpr std::size_t kMaxDatagramBytes = 1400;
/// Maximum length of the name of a member, a leased role or a fleet, in bytes.
inline constexpr std::size_t kMaxNameBytes = 64;
/// Maximum length of the name of a channel, in bytes.
inline constexpr std::size_t kMaxChannelBytes = 16;
/// Maximum size of a packed payload, in bytes. A payload of this size fits a datagram even if all names have
/// their maximum length.
inline constexpr std::size_t kMaxPayloadBytes = 1024;

/// MemberState is the state of a member in the view of another one.
enum class MemberState { kAlive, kSuspect, kDead, kLeft };
/// Number of values of MemberState.
inline constexpr int kMemberStates = 4;
/// Returns the name of a state in log lines and in the answer to MEMBERS.
std::string_view Name(MemberState state);

/// Update is a claim of one member about the state of another.
struct Update {
  std::string name;
  Udp::endpoint address;  ///< address at which the member receives datagrams
  MemberState state = MemberState::kAlive;
  std::uint64_t incarnation = 0;
  std::string accuser;  ///< name of the member that suspects this one; set for kSuspect only
};

/// Message is the content of a datagram.
struct Message {
  /// Kind is the purpose of a message.
  enum class Kind {
    kPing,     ///< direct probe, as in SWIM
    kPingReq,  ///< request for an indirect probe, as in SWIM
    kAck,      ///< answer to a probe, as in SWIM
    kNack,     ///< report that an indirect probe was not answered yet, as in Lifeguard
    kSync,     ///< exchange of membership tables
    kState,    ///< replicated state without membership
    kLease,    ///< request or answer of the lease protocol
    kPayload   ///< message of a layer above the fleet
  };
  /// Number of values of Kind. A member drops a message of an unknown kind as malformed.
  static constexpr int kKinds = 8;

  Kind kind = Kind::kPing;
  Update sender;                 ///< the sender's claim about itself: alive or left
  std::uint64_t sequence = 0;    ///< sequence number of the probe to which the message belongs
  std::string target;            ///< name of the member that is or should be probed
  Udp::endpoint target_address;  ///< address of the target
  /// In a kSync without `range`: requests the receiver's member table if the tables differ. In a message with
  /// `range`: requests the entries in the range that the receiver stores and the message does not list.
  bool wants_reply = false;
  std::vector<Update> updates;  ///< claims about members
  nlohmann::json state;         ///< packed entries of the replicated state; null: none
  /// In a kSync: digests of the members that are present and of the replicated state.
  std::uint64_t member_digest = 0;
  std::uint64_t state_digest = 0;
  /// In a kSync that requests an answer: one digest per hash bucket of the members and of the replicated
  /// state. Members of older versions send none.
  std::optional<BucketDigests> member_buckets;
  std::optional<BucketDigests> state_buckets;
  /// In a kSync: the part of the hash space for which `updates` lists all members that the sender knows. In a
  /// kState: the part for which `state` lists all entries that the sender stores.
  std::optional<DigestRange> range;
  std::optional<LeaseMessage> lease;  ///< set in a kLease
  std::string channel;                ///< in a kPayload: the channel whose subscriber receives the payload
  nlohmann::json payload;             ///< in a kPayload; the fleet does not interpret it
};

/// Returns the name of a kind.
std::string_view Name(Message::Kind kind);

/// DropReason is the reason for which a datagram was dropped.
enum class DropReason {
  kMalformed,
  kOversized,
  kForeignFleet,
  kOtherVersion,
  kOtherChannel  ///< payload of a channel to which this process has not subscribed
};
/// Number of values of DropReason.
inline constexpr int kDropReasons = 5;
/// Returns the name of a reason in the counters that operators read.
std::string_view Name(DropReason reason);

/// Formats an address as "host:port".
std::string FormatEndpoint(const Udp::endpoint& address);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_WIRE_MESSAGE_H_
