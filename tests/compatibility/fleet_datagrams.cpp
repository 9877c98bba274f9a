// SPDX-License-Identifier: Apache-2.0
//
// The datagrams of a fleet: membership, exchange of tables, shared state, leases and payloads.
#include <stdexcept>
#include <utility>
#include <variant>

#include "fleet/lease/message.h"
#include "fleet/state/entry.h"
#include "fleet/state/entry_codec.h"
#include "fleet/sync/bucket_digests.h"
#include "fleet/wire/codec.h"
#include "fleet/wire/message.h"
#include "golden_case.h"

namespace load_balancer::testing {
namespace {

using fleet::LeaseMessage;
using fleet::Message;
using nlohmann::json;

constexpr char kFleet[] = "golden-fleet";

fleet::Udp::endpoint Address(const char* host, std::uint16_t port) {
  return {boost::asio::ip::make_address(host), port};
}

json FieldsOf(const fleet::Update& update) {
  return {{"name", update.name},
          {"address", fleet::FormatEndpoint(update.address)},
          {"state", static_cast<int>(update.state)},
          {"incarnation", update.incarnation},
          {"accuser", update.accuser}};
}

json FieldsOf(const LeaseMessage& lease) {
  return {{"verb", static_cast<int>(lease.type)},
          {"duty", lease.lease_name},
          {"token", lease.token},
          {"holder", lease.holder},
          {"left_ms", lease.retry_after_ms},
          {"asked", lease.requested_token},
          {"request", lease.request_number},
          {"term_ms", lease.term_ms},
          {"drift_ms", lease.drift_ms},
          {"voters", lease.voter_set_hash},
          {"why", static_cast<int>(lease.denial_reason)}};
}

json FieldsOf(const fleet::DigestRange& range) {
  return {{"count", range.buckets.count},
          {"buckets", range.buckets.indices.to_string()},
          {"from", range.first},
          {"to", range.last},
          {"more", range.is_truncated}};
}

json FieldsOf(const fleet::Ejection& ejection) {
  return {{"kind", "ejection"},
          {"server", ejection.server},
          {"until", ejection.until},
          {"failures", ejection.failures},
          {"attempts", ejection.attempts}};
}

json FieldsOf(const fleet::KeyAffinity& affinity) {
  return {{"kind", "key"}, {"key", affinity.key}, {"server", affinity.server}};
}

json FieldsOf(const fleet::FencedValue& fenced) {
  return {{"kind", "duty fact"},   {"duty", fenced.role},   {"key", fenced.key},
          {"token", fenced.token}, {"until", fenced.until}, {"value", fenced.value}};
}

json FieldsOf(const fleet::Entry& entry) {
  json fields = std::visit([](const auto& content) { return FieldsOf(content); }, entry.content);
  fields["stamp"] = entry.version.stamp;
  fields["origin"] = entry.version.origin;
  return fields;
}

json FieldsOf(const Message& message) {
  json fields = {{"kind", static_cast<int>(message.kind)},
                 {"sender", FieldsOf(message.sender)},
                 {"sequence", message.sequence},
                 {"target", message.target},
                 {"target_address", fleet::FormatEndpoint(message.target_address)},
                 {"reply", message.wants_reply},
                 {"updates", json::array()},
                 {"state", json::array()},
                 {"table", message.member_digest},
                 {"digest", message.state_digest},
                 {"channel", message.channel},
                 {"payload", message.payload}};
  for (const fleet::Update& update : message.updates) fields["updates"].push_back(FieldsOf(update));
  for (const json& packed : message.state) fields["state"].push_back(FieldsOf(fleet::Unpack(packed).value()));
  if (message.member_buckets) fields["buckets"] = message.member_buckets->Pack();
  if (message.state_buckets) fields["state_buckets"] = message.state_buckets->Pack();
  if (message.range) fields["slice"] = FieldsOf(*message.range);
  if (message.lease) fields["lease"] = FieldsOf(*message.lease);
  return fields;
}

json Decoded(const Bytes& bytes) {
  const auto message = fleet::Decode(kFleet, bytes);
  if (const auto* reason = std::get_if<fleet::DropReason>(&message))
    throw std::runtime_error("dropped: " + std::string(fleet::Name(*reason)));
  return FieldsOf(std::get<Message>(message));
}

GoldenCase CaseOf(const std::string& name, const Message& message) {
  return {"fleet_" + name, FieldsOf(message), [message] { return fleet::Encode(kFleet, message); }, Decoded};
}

Message MessageOf(Message::Kind kind) {
  Message message;
  message.kind = kind;
  message.sender = {"n1", Address("127.0.0.1", 7946), fleet::MemberState::kAlive, 1764600000001, ""};
  message.sequence = 4711;
  return message;
}

std::vector<fleet::Update> UpdatesOfAllStates() {
  return {{"n2", Address("127.0.0.2", 7947), fleet::MemberState::kAlive, 7, ""},
          {"n3", Address("::1", 7948), fleet::MemberState::kSuspect, 1764600000002, "n2"},
          {"n4", Address("10.1.2.3", 65535), fleet::MemberState::kDead, 0, ""},
          {"n5", Address("127.0.0.5", 1), fleet::MemberState::kLeft, 18446744073709551615U, ""}};
}

json EntriesOfAllKinds() {
  const fleet::Entry ejection{fleet::Ejection{"server-1", 1764600005000, 12, 40},
                              {1764600000123U << 16 | 5, "n1"}};
  const fleet::Entry key{fleet::KeyAffinity{0xfedcba9876543210U, "server-2"}, {1764600000124U << 16, "n2"}};
  const fleet::Entry fenced{
      fleet::FencedValue{
          "discovery", "list/1", 1764600000125, 1764600009000, {{"id", "server-3"}, {"size", 2.5}}},
      {1764600000126U << 16 | 65535, "n3"}};
  return json::array({fleet::Pack(ejection), fleet::Pack(key), fleet::Pack(fenced)});
}

fleet::BucketDigests DigestsOf(std::size_t count) {
  fleet::BucketDigests digests(count);
  constexpr std::uint64_t kStride = 0x1357924680abcdefU;
  for (std::uint64_t i = 1; i <= 2 * count; ++i) digests.Add(i * kStride, i * 0x9e3779b9U);
  return digests;
}

fleet::DigestRange RangeOfFewBuckets() {
  fleet::DigestRange range;
  range.buckets.count = 16;
  for (const std::size_t bucket : {0U, 3U, 9U, 15U}) range.buckets.indices.set(bucket);
  range.first = 0x8000000000000001U;
  range.last = 0x7fffffffffffffffU;
  range.is_truncated = true;
  return range;
}

std::vector<GoldenCase> ProbeCases() {
  Message ping = MessageOf(Message::Kind::kPing);
  ping.target = "n2";
  ping.target_address = Address("127.0.0.2", 7947);
  ping.updates = UpdatesOfAllStates();
  Message indirect = MessageOf(Message::Kind::kPingReq);
  indirect.target = "n3";
  indirect.target_address = Address("::1", 7948);
  Message ack = MessageOf(Message::Kind::kAck);
  ack.state = EntriesOfAllKinds();
  Message nack = MessageOf(Message::Kind::kNack);
  nack.sender.state = fleet::MemberState::kLeft;
  return {CaseOf("ping", ping), CaseOf("ping_req", indirect), CaseOf("ack", ack), CaseOf("nack", nack)};
}

std::vector<GoldenCase> SyncCases() {
  Message request = MessageOf(Message::Kind::kSync);
  request.wants_reply = true;
  request.member_digest = 0x0123456789abcdefU;
  request.state_digest = 0xfedcba9876543210U;
  request.member_buckets = DigestsOf(8);
  request.state_buckets = DigestsOf(32);
  Message ranged = MessageOf(Message::Kind::kSync);
  ranged.updates = UpdatesOfAllStates();
  ranged.range = RangeOfFewBuckets();
  Message state = MessageOf(Message::Kind::kState);
  state.wants_reply = true;
  state.state = EntriesOfAllKinds();
  state.range = RangeOfFewBuckets();
  return {CaseOf("sync_request", request), CaseOf("sync_slice", ranged), CaseOf("state", state)};
}

LeaseMessage LeaseOf(LeaseMessage::Type verb) {
  LeaseMessage lease;
  lease.type = verb;
  lease.lease_name = "treasurer/2";
  lease.token = 1764600000200;
  lease.holder = "n1/1764600000001";
  lease.request_number = 99;
  return lease;
}

std::vector<GoldenCase> LeaseCases() {
  using Type = LeaseMessage::Type;
  LeaseMessage ask = LeaseOf(Type::kRequest);
  ask.term_ms = 3000;
  ask.drift_ms = 100;
  ask.voter_set_hash = 0xa1b2c3d4e5f60718U;
  LeaseMessage grant = LeaseOf(Type::kGrant);
  LeaseMessage release = LeaseOf(Type::kRelease);
  release.lease_name = "ambassador/MUC";
  std::vector<std::pair<std::string, LeaseMessage>> messages{
      {"ask", ask}, {"grant", grant}, {"release", release}};
  const char* const reasons[] = {"none", "held", "silent", "term", "drift", "voters", "disk", "full"};
  static_assert(std::size(reasons) == fleet::kDenialReasons);
  for (int reason = 0; reason < fleet::kDenialReasons; ++reason) {
    LeaseMessage deny = ask;
    deny.type = Type::kDenial;
    deny.retry_after_ms = 1234;
    deny.requested_token = 1764600000199;
    deny.denial_reason = static_cast<LeaseMessage::DenialReason>(reason);
    messages.emplace_back(std::string("deny_") + reasons[reason], deny);
  }
  std::vector<GoldenCase> cases;
  for (const auto& [name, lease] : messages) {
    Message message = MessageOf(Message::Kind::kLease);
    message.lease = lease;
    cases.push_back(CaseOf("lease_" + name, message));
  }
  return cases;
}

GoldenCase PayloadCase() {
  Message message = MessageOf(Message::Kind::kPayload);
  message.channel = "quota";
  message.payload = {{"l", 1}, {"list", {1, -2, 2.5, "text", nullptr, true}}};
  return CaseOf("payload", message);
}

}  // namespace

std::vector<GoldenCase> FleetDatagramCases() {
  std::vector<GoldenCase> cases = ProbeCases();
  for (GoldenCase& each : SyncCases()) cases.push_back(std::move(each));
  for (GoldenCase& each : LeaseCases()) cases.push_back(std::move(each));
  cases.push_back(PayloadCase());
  return cases;
}

}  // namespace load_balancer::testing
