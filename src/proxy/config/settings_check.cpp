// SPDX-License-Identifier: Apache-2.0
#include "config/settings_check.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>

namespace load_balancer::proxy {
namespace {

using nlohmann::json;

constexpr std::size_t kMostFaults = 100;           // that are listed
constexpr double kLongestMs = 1e12;                // as the parser has it for all times
constexpr std::string_view kPrefix = "settings.";  // a key of the settings may come with or without it

// The settings under check, and what is wrong with them.
class Check {
 public:
  Check(const json& settings, std::vector<std::string>* faults) : settings_(settings), faults_(faults) {}

  void Run() {
    for (const char* key : {"balancers", "me", "zone", "overShareWorth", "periodMs"})
      Number(settings_, "", key);
    Object("deductions", {"crossZone"}, {}, {});
    Object("permissions", {}, {"maxAttempts", "connectTimeoutMs", "connIdleMs"}, {"retryAfter"});
    Object("rules", {"mustAskInMs", "coldFrom", "warmUpMs", "fallMultiple", "overloadForMs"}, {}, {});
    Object("specifics", {}, {}, {"warmKeys"});
    RetryAfter();
    Classes();
    Tenants();
    Names("zones");
    Names("kinds");
    Zone();
  }

 private:
  using Keys = std::initializer_list<const char*>;

  void Fault(const std::string& what, const std::string& key) {
    if (faults_->size() < kMostFaults) faults_->push_back("setting " + what + ": " + key);
  }

  // Null where it is absent.
  static const json* Find(const json& object, const char* key) {
    const auto found = object.find(key);
    return found == object.end() || found->is_null() ? nullptr : &*found;
  }

  // A number, not one in words, if it is there at all; the parser knows its range.
  void Number(const json& object, const std::string& path, const char* key) {
    const json* value = Find(object, key);
    if (value && !value->is_number()) Fault("is no number", path + key);
  }

  void NumberAboveZero(const json& object, const std::string& path, const char* key) {
    const json* value = Find(object, key);
    if (!value) return Fault("absent", path + key);
    if (!value->is_number() || !(value->get<double>() > 0)) return Fault("is no number above 0", path + key);
    if (value->get<double>() > kLongestMs) Fault("out of range", path + key);
  }

  void Flag(const json& object, const std::string& path, const char* key) {
    const json* value = Find(object, key);
    if (value && !value->is_boolean()) Fault("is neither true nor false", path + key);
  }

  void Object(const char* name, Keys numbers, Keys above_zero, Keys flags) {
    const json* found = Find(settings_, name);
    if (found && !found->is_object()) return Fault("is no object", name);
    const json object = found ? *found : json::object();
    const std::string path = std::string(name) + ".";
    for (const char* key : numbers) Number(object, path, key);
    for (const char* key : above_zero) NumberAboveZero(object, path, key);
    for (const char* key : flags) Flag(object, path, key);
  }

  // It is read whether or not clients listen.
  void RetryAfter() {
    const json* allowed = Find(settings_, "permissions");
    const json* value = allowed && allowed->is_object() ? Find(*allowed, "maxRetryAfterMs") : nullptr;
    if (!value) return;
    if (!value->is_number()) return Fault("is no number", "permissions.maxRetryAfterMs");
    const double ms = value->get<double>();
    if (!(ms >= 0 && ms <= kLongestMs)) Fault("out of range", "permissions.maxRetryAfterMs");
  }

  // The list's objects; null if it is none of objects.
  const json* ObjectsIn(const char* name) {
    const json* list = Find(settings_, name);
    if (!list) return nullptr;
    bool objects = list->is_array();
    if (objects)
      for (const json& item : *list) objects &= item.is_object();
    if (objects) return list;
    Fault("is no list of objects", name);
    return nullptr;
  }

  void Name(const json& item, const std::string& path, std::set<std::string>* before) {
    const json* name = Find(item, "name");
    if (!name || !name->is_string() || name->get_ref<const std::string&>().empty())
      return Fault("is no name", path + "name");
    if (!before->insert(name->get<std::string>()).second) Fault("is the name of another, too", path + "name");
  }

  void Classes() {
    const json* classes = ObjectsIn("classes");
    if (!classes) return;
    if (classes->empty()) return Fault("is an empty list", "classes");
    std::set<std::string> names;
    for (std::size_t i = 0; i < classes->size(); ++i) {
      const json& item = (*classes)[i];
      const std::string path = "classes." + std::to_string(i) + ".";
      Name(item, path, &names);
      for (const char* key : {"goalTimeMs", "deadlineMs"}) NumberAboveZero(item, path, key);
      for (const char* key : {"windowMs", "worth", "lateWorth"}) Number(item, path, key);
    }
  }

  void Tenants() {
    const json* tenants = ObjectsIn("tenants");
    if (!tenants) return;
    std::set<std::string> names;
    for (std::size_t i = 0; i < tenants->size(); ++i) {
      const std::string path = "tenants." + std::to_string(i) + ".";
      Name((*tenants)[i], path, &names);
      Number((*tenants)[i], path, "quotaPerS");
    }
  }

  void Names(const char* name) {
    const json* list = Find(settings_, name);
    if (!list) return;
    if (!list->is_array()) return Fault("is no list of names", name);
    std::set<std::string> before;
    for (std::size_t i = 0; i < list->size(); ++i) {
      const std::string key = std::string(name) + "." + std::to_string(i);
      if (!(*list)[i].is_string()) {
        Fault("is no name", key);
      } else if (!before.insert((*list)[i].get<std::string>()).second) {
        Fault("is the name of another, too", key);
      }
    }
  }

  // This process's own is one of those that are named, if any are.
  void Zone() {
    const json* zone = Find(settings_, "zone");
    const json* zones = Find(settings_, "zones");
    if (!zone || !zone->is_number() || !zones || !zones->is_array() || zones->empty()) return;
    if (zone->get<double>() >= static_cast<double>(zones->size())) Fault("is the index of no zone", "zone");
  }

  const json& settings_;
  std::vector<std::string>* faults_;
};

// Faults of settings and keys that are missing end with the key, all others begin with it.
std::string_view KeyOf(std::string_view fault) {
  const bool at_end = fault.starts_with("setting ") || fault.starts_with(kMissing);
  std::string_view key = at_end ? fault.substr(fault.rfind(": ") + 2) : fault.substr(0, fault.find(' '));
  if (key.starts_with(kPrefix)) key.remove_prefix(kPrefix.size());
  return key;
}

bool Holds(std::string_view outer, std::string_view key) {
  return key.starts_with(outer) && (key.size() == outer.size() || key[outer.size()] == '.');
}

}  // namespace

void CheckSettings(const json& settings, std::vector<std::string>* faults) { Check(settings, faults).Run(); }

void AddUnlessNamed(const std::string& fault, std::vector<std::string>* faults) {
  const std::string_view key = KeyOf(fault);
  for (const std::string& before : *faults) {
    const std::string_view named = KeyOf(before);
    if (Holds(named, key) || Holds(key, named)) return;
  }
  faults->push_back(fault);
}

}  // namespace load_balancer::proxy
