// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/entry_codec.h"

#include <stdexcept>
#include <string>

namespace load_balancer::fleet {
namespace {

using nlohmann::json;

// Maximum length of a server's id, a key, a role or an origin, in bytes.
constexpr std::size_t kMaxIdBytes = 128;
constexpr std::uint64_t kMaxCount = 1000000;

// Encoded names of the kinds of entries.
constexpr char kEjectionKind[] = "v";
constexpr char kKeyAffinityKind[] = "k";
constexpr char kFencedValueKind[] = "d";

std::string ReadId(const json& value) {
  auto id = value.get<std::string>();
  if (id.empty() || id.size() > kMaxIdBytes)
    throw std::invalid_argument("an id or a name is empty or too long");
  return id;
}

std::uint64_t ReadUnsigned(const json& value) {
  if (!value.is_number_unsigned()) throw std::invalid_argument("number");
  return value.get<std::uint64_t>();
}

int ReadCount(const json& value) {
  const std::uint64_t count = ReadUnsigned(value);
  if (count > kMaxCount) throw std::invalid_argument("a count of attempts or failures is too large");
  return static_cast<int>(count);
}

// Reads a packed entry. Throws json::exception or std::invalid_argument if it is malformed.
Entry ReadEntry(const json& packed) {
  Entry entry;
  const auto kind = packed.at(0).get<std::string>();
  std::string subject = ReadId(packed.at(1));
  entry.version = {ReadUnsigned(packed.at(2)), ReadId(packed.at(3))};
  if (kind == kEjectionKind) {
    entry.content = Ejection{std::move(subject), ReadUnsigned(packed.at(4)), ReadCount(packed.at(5)),
                             ReadCount(packed.at(6))};
  } else if (kind == kKeyAffinityKind) {
    entry.content = KeyAffinity{ReadUnsigned(packed.at(4)), std::move(subject)};
  } else if (kind == kFencedValueKind) {
    entry.content = FencedValue{ReadId(packed.at(4)), std::move(subject), ReadUnsigned(packed.at(5)),
                                ReadUnsigned(packed.at(6)), packed.at(7)};
  } else {
    throw std::invalid_argument("the kind of the entry is unknown");
  }
  return entry;
}

}  // namespace

json Pack(const Entry& entry) {
  const Version& version = entry.version;
  if (const auto* ejection = std::get_if<Ejection>(&entry.content)) {
    return json::array({kEjectionKind, ejection->server, version.stamp, version.origin, ejection->until,
                        static_cast<unsigned>(ejection->failures),
                        static_cast<unsigned>(ejection->attempts)});
  }
  if (const auto* fenced = std::get_if<FencedValue>(&entry.content)) {
    return json::array({kFencedValueKind, fenced->key, version.stamp, version.origin, fenced->role,
                        fenced->token, fenced->until, fenced->value});
  }
  const KeyAffinity& affinity = std::get<KeyAffinity>(entry.content);
  return json::array({kKeyAffinityKind, affinity.server, version.stamp, version.origin, affinity.key});
}

std::optional<Entry> Unpack(const json& packed) {
  try {
    return ReadEntry(packed);
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

std::size_t PackedSize(const json& packed) { return json::to_msgpack(packed).size(); }

}  // namespace load_balancer::fleet
