// SPDX-License-Identifier: Apache-2.0
//
// What members of a fleet say to each other. How it goes over the wire is in codec.h.
#ifndef LOAD_BALANCER_FLEET_WIRE_MESSAGE_H_
#define LOAD_BALANCER_FLEET_WIRE_MESSAGE_H_

#include <boost/asio/ip/udp.hpp>
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

inline constexpr std::size_t kMostDatagram = 1400;  // bytes; within one frame of an ordinary network
inline constexpr std::size_t kMostName = 64;        // bytes of a member's name
inline constexpr int kProtocolVersion = 1;
inline constexpr std::size_t kMostChannel = 16;    // bytes of a channel's name
inline constexpr std::size_t kMostPayload = 1024;  // bytes of a payload, packed; fits with the longest names

enum class MemberState { kAlive, kSuspect, kDead, kLeft };
inline constexpr int kStates = 4;
std::string_view Name(MemberState state);

// A claim about a member. `accuser` is who suspects, of kSuspect alone.
struct Update {
  std::string name;
  Udp::endpoint address;  // where the member is reached
  MemberState state = MemberState::kAlive;
  std::uint64_t incarnation = 0;
  std::string accuser;
};

struct Message {
  // SWIM's ping, ping-req and ack, Lifeguard's nack, the exchange of whole tables, shared state alone,
  // leases, and what layers above the fleet send. A member that does not know a kind drops it as malformed.
  enum class Kind { kPing, kPingReq, kAck, kNack, kSync, kState, kLease, kPayload };
  static constexpr int kKinds = 8;
  Kind kind = Kind::kPing;
  Update sender;               // as it sees itself: alive, or left
  std::uint64_t sequence = 0;  // of the probe that this belongs to
  std::string target;          // who is pinged, or is to be
  Udp::endpoint target_address;
  bool reply = false;  // of kSync: the receiver is to send its table, too, if it differs; and see `slice`
  std::vector<Update> updates;
  nlohmann::json state;  // SharedState's entries; null: none
  // Of kSync: digests of who is present, and of the shared state, as the sender holds them.
  std::uint64_t table = 0, digest = 0;
  // Of a kSync that asks: the digests of the two by buckets. Of an older member there are none.
  std::optional<Buckets> buckets, state_buckets;
  // Of kSync and kState: for what the updates, or the state, are all that the sender has; with `reply`, the
  // receiver is to send what it has beside them.
  std::optional<Slice> slice;
  std::optional<LeaseMessage> lease;  // of kLease
  std::string channel;  // of kPayload: who takes it; and what it is, which the fleet does not read
  nlohmann::json payload;
};

// Why a datagram was dropped. kOtherChannel: a payload that nobody here has subscribed to.
enum class Drop { kMalformed, kOversized, kForeignFleet, kOtherVersion, kOtherChannel };
inline constexpr int kDrops = 5;
std::string_view Name(Drop drop);

std::string Text(const Udp::endpoint& address);  // host:port

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_WIRE_MESSAGE_H_
