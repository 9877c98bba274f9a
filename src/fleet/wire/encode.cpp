// SPDX-License-Identifier: Apache-2.0
#include "fleet/wire/codec.h"

namespace load_balancer::fleet {
namespace {

using nlohmann::json;

json Pack(const Update& update) {
  json packed =
      json::array({update.name, Text(update.address), static_cast<int>(update.state), update.incarnation});
  if (!update.accuser.empty()) packed.push_back(update.accuser);
  return packed;
}

// One bit a bucket.
json Pack(const Slice& slice) {
  json::binary_t::container_type bits(slice.count / 8);
  for (std::size_t i = 0; i < slice.count; ++i)
    bits[i / 8] = static_cast<std::uint8_t>(bits[i / 8] | (slice.buckets.test(i) << (i % 8)));
  return json::array({json::binary(std::move(bits)), slice.from, slice.to, slice.more});
}

}  // namespace

std::vector<std::uint8_t> Encode(std::string_view fleet, const Message& message) {
  json root{{"v", kProtocolVersion},
            {"f", fleet},
            {"k", static_cast<int>(message.kind)},
            {"m", Pack(message.sender)},
            {"s", message.sequence}};
  if (!message.target.empty()) {
    root["t"] = message.target;
    root["a"] = Text(message.target_address);
  }
  if (message.reply) root["r"] = true;
  if (!message.state.is_null()) root["d"] = message.state;
  if (message.table != 0) root["w"] = message.table;
  if (message.digest != 0) root["h"] = message.digest;
  if (message.buckets) root["b"] = json::binary(message.buckets->Pack());
  if (message.state_buckets) root["e"] = json::binary(message.state_buckets->Pack());
  if (message.slice) root["x"] = Pack(*message.slice);
  if (const auto& lease = message.lease)
    root["l"] = {static_cast<unsigned>(lease->type),
                 lease->lease_name,
                 lease->token,
                 lease->holder,
                 lease->retry_after_ms,
                 lease->requested_token,
                 lease->request_number,
                 lease->term_ms,
                 lease->drift_ms,
                 lease->voter_set_hash,
                 static_cast<unsigned>(lease->denial_reason)};
  if (message.kind == Message::Kind::kPayload) {
    root["c"] = message.channel;
    root["p"] = message.payload;
  }
  root["u"] = json::array();
  for (const Update& update : message.updates) root["u"].push_back(Pack(update));
  return json::to_msgpack(root);
}

}  // namespace load_balancer::fleet
