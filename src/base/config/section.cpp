// SPDX-License-Identifier: Apache-2.0
#include "base/config/section.h"

#include <optional>

#include "base/config/endpoint.h"

namespace load_balancer {
namespace {

using nlohmann::json;
using Udp = boost::asio::ip::udp;

std::optional<Udp::endpoint> Parse(const json& value) {
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

bool Section::Integer(const char* key, std::int64_t low, std::int64_t high, std::int64_t* into) {
  const json* value = Find(key);
  if (!value) return false;
  if (!value->is_number_integer()) {
    Fault(key, "is no whole number");
    return false;
  }
  *into = value->get<std::int64_t>();
  if (*into >= low && *into <= high) return true;
  Fault(key, "is out of range " + std::to_string(low) + " to " + std::to_string(high));
  return false;
}

void Section::Real(const char* key, double low, double high, double* into) {
  const json* value = Find(key);
  if (!value) return;
  if (!value->is_number()) return Fault(key, "is no number");
  const double got = value->get<double>();
  if (!(got >= low && got <= high))
    return Fault(key, "is out of range " + json(low).dump() + " to " + json(high).dump());
  *into = got;
}

void Section::Time(const char* key, std::int64_t low, std::int64_t high, Milliseconds* into) {
  std::int64_t ms = into->count();
  Whole(key, low, high, &ms);
  *into = Milliseconds(ms);
}

void Section::Address(const char* key, bool required, Udp::endpoint* into) {
  const json* value = Find(key);
  if (!value) {
    if (required) Fault(key, "is missing");
    return;
  }
  if (const auto endpoint = Parse(*value))
    *into = *endpoint;
  else
    Fault(key, "is no host:port");
}

void Section::Addresses(const char* key, std::vector<Udp::endpoint>* into) {
  const json* value = Find(key);
  if (!value) return;
  if (!value->is_array()) return Fault(key, "is no list");
  for (std::size_t i = 0; i < value->size(); ++i) {
    if (const auto endpoint = Parse((*value)[i]))
      into->push_back(*endpoint);
    else
      Fault(std::string(key) + "." + std::to_string(i), "is no host:port");
  }
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
