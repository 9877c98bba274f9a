// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The messages between members of a fleet. Their form in a datagram is in codec.h.
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

inline constexpr int kProtocolVersion = 1;
/// Largest datagram; fits one frame of an ordinary network.
inline constexpr std::size_t kMaxDatagramBytes = 1400;
/// Longest name of a member, a duty or a fleet.
inline constexpr std::size_t kMaxNameBytes = 64;
/// Longest name of a channel.
inline constexpr std::size_t kMaxChannelBytes = 16;
/// Largest packed payload; fits a datagram with the longest names.
inline constexpr std::size_t kMaxPayloadBytes = 1024;

enum class MemberState { kAlive, kSuspect, kDead, kLeft };
inline constexpr int kMemberStates = 4;
std::string_view Name(MemberState state);

/// A claim about a member.
struct Update {
  std::string name;
  Udp::endpoint address;  ///< at which the member is reached
  MemberState state = MemberState::kAlive;
  std::uint64_t incarnation = 0;
  std::string accuser;  ///< the member that suspects it; of kSuspect only
};

struct Message {
  enum class Kind {
    kPing,     ///< SWIM's direct probe
    kPingReq,  ///< SWIM's request for an indirect probe
    kAck,      ///< SWIM's answer to a probe
    kNack,     ///< Lifeguard's answer of a helper whose probe has had no answer yet
    kSync,     ///< exchange of membership tables
    kState,    ///< replicated state without membership
    kLease,    ///< a request or an answer of the lease protocol
    kPayload   ///< a message of a layer above the fleet
  };
  /// A member that does not know a kind drops the message as malformed.
  static constexpr int kKinds = 8;

  Kind kind = Kind::kPing;
  Update sender;               ///< as the sender sees itself: alive, or left
  std::uint64_t sequence = 0;  ///< of the probe that the message belongs to
  std::string target;          ///< the member that is probed, or is to be
  Udp::endpoint target_address;
  /// Of kSync: the receiver is to answer with its table if that differs. With `range`: with what it has
  /// besides the listed entries.
  bool wants_reply = false;
  std::vector<Update> updates;
  nlohmann::json state;  ///< entries of the replicated state, packed; null: none
  /// Of kSync: digests of the members that are present and of the replicated state.
  std::uint64_t member_digest = 0;
  std::uint64_t state_digest = 0;
  /// Of a kSync that asks: the same digests by buckets. Members of older versions send none.
  std::optional<BucketDigests> member_buckets;
  std::optional<BucketDigests> state_buckets;
  /// Of kSync and kState: the part of the hash space of which `updates`, or `state`, list all entries that
  /// the sender has.
  std::optional<DigestRange> range;
  std::optional<LeaseMessage> lease;  ///< of kLease
  std::string channel;                ///< of kPayload: the subscription that receives it
  nlohmann::json payload;             ///< of kPayload; the fleet does not interpret it
};

std::string_view Name(Message::Kind kind);

/// Why a datagram was dropped.
enum class DropReason {
  kMalformed,
  kOversized,
  kForeignFleet,
  kOtherVersion,
  kOtherChannel  ///< a payload of a channel that nobody here has subscribed to
};
inline constexpr int kDropReasons = 5;
std::string_view Name(DropReason reason);

/// "host:port".
std::string FormatEndpoint(const Udp::endpoint& address);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_WIRE_MESSAGE_H_
