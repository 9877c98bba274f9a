// SPDX-License-Identifier: Apache-2.0
#include "base/config/section.h"

#include <optional>

#include "base/config/endpoint.h"

namespace load_balancer {
namespace {

using nlohmann::json;
using Udp = boost::asio::ip::udp;

std::optional<Udp::endpoint> ParseEndpoint(const json& value) {
  return value.is_string() ? ParseUdpEndpoint(value.get<std::string>()) : std::nullopt;
}

}  // namespace

Section::Section(const json& root, std::string name, std::vector<std::string>* faults)
    : name_(std::move(name)), faults_(faults) {
  const auto found = root.find(name_);
  if (found == root.end() || found->is_null()) return;
  if (!found->is_object()) {
    Fault("", "is no object");
    return;
  }
  object_ = &*found;
}

Section::Section(const json& root, std::string name, const std::set<std::string>& keys,
                 std::vector<std::string>* faults)
    : Section(root, std::move(name), faults) {
  if (!object_) return;
  for (const auto& [key, value] : object_->items())
    if (!keys.contains(key)) Fault(key, "is no known key");
}

void Section::Text(const char* key, std::string* into) {
  const json* value = Find(key);
  if (!value) return;
  if (!value->is_string()) return Fault(key, "is no string");
  *into = value->get<std::string>();
}

void Section::Flag(const char* key, bool* into) {
  const json* value = Find(key);
  if (!value) return;
  if (!value->is_boolean()) return Fault(key, "is neither true nor false");
  *into = value->get<bool>();
}

bool Section::Integer(const char* key, const IntegerRange& range, std::int64_t* into) {
  const json* value = Find(key);
  if (!value) return false;
  if (!value->is_number_integer()) {
    Fault(key, "is no whole number");
    return false;
  }
  *into = value->get<std::int64_t>();
  if (*into >= range.low && *into <= range.high) return true;
  Fault(key, "is out of range " + std::to_string(range.low) + " to " + std::to_string(range.high));
  return false;
}

void Section::Real(const char* key, double low, double high, double* into) {
  const json* value = Find(key);
  if (!value) return;
  if (!value->is_number()) return Fault(key, "is no number");
  const double number = value->get<double>();
  const bool is_in_range = number >= low && number <= high;  // false for NaN
  if (!is_in_range) return Fault(key, "is out of range " + json(low).dump() + " to " + json(high).dump());
  *into = number;
}

void Section::Time(const char* key, std::int64_t low, std::int64_t high, Milliseconds* into) {
  Time(key, IntegerRange{low, high}, into);
}

void Section::Time(const char* key, const IntegerRange& range, Milliseconds* into) {
  std::int64_t ms = 0;
  if (Integer(key, range, &ms)) *into = Milliseconds(ms);
}

void Section::Whole(const char* key, const IntegerRange& range, int* into) {
  std::int64_t value = 0;
  if (Integer(key, range, &value)) *into = static_cast<int>(value);
}

void Section::Address(const char* key, bool required, Udp::endpoint* into) {
  const json* value = Find(key);
  if (!value) {
    if (required) Fault(key, "is missing");
    return;
  }
  if (const auto endpoint = ParseEndpoint(*value))
    *into = *endpoint;
  else
    Fault(key, "is no host:port");
}

void Section::Addresses(const char* key, std::vector<Udp::endpoint>* into) {
  const json* value = Find(key);
  if (!value) return;
  if (!value->is_array()) return Fault(key, "is no list");
  for (std::size_t i = 0; i < value->size(); ++i) {
    if (const auto endpoint = ParseEndpoint((*value)[i]))
      into->push_back(*endpoint);
    else
      Fault(std::string(key) + "." + std::to_string(i), "is no host:port");
  }
}

void Section::RequireMultiple(const char* key, Milliseconds value, int factor, const char* other_key,
                              Milliseconds other) {
  if (value >= other * factor) return;
  Fault(key, "is under " + std::to_string(factor) + " times " + other_key);
}

const json* Section::Find(const char* key) const {
  if (!object_) return nullptr;
  const auto found = object_->find(key);
  return found == object_->end() ? nullptr : &*found;
}

void Section::Fault(const std::string& key, const std::string& what) {
  faults_->push_back(name_ + (key.empty() ? "" : "." + key) + " " + what);
}

}  // namespace load_balancer
