// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A reader of one section of the configuration. It reports all faults rather than the first one, each with
/// the section's name and the key: unknown keys, values of the wrong type, numbers out of range, malformed
/// addresses.
#ifndef LOAD_BALANCER_BASE_CONFIG_SECTION_H_
#define LOAD_BALANCER_BASE_CONFIG_SECTION_H_

#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace load_balancer {

using Milliseconds = std::chrono::milliseconds;

/// The values that a key accepts, both ends included.
struct IntegerRange {
  std::int64_t low = 0;
  std::int64_t high = 0;
};

class Section {
 public:
  /// Reads the member `name` of the object `root`, which may be absent. Reports keys other than `keys`.
  /// `root` and `faults`, which gets one line per fault, outlive this.
  Section(const nlohmann::json& root, std::string name, const std::set<std::string>& keys,
          std::vector<std::string>* faults);

  /// The same for a section that may have any keys.
  Section(const nlohmann::json& root, std::string name, std::vector<std::string>* faults);

  bool present() const { return object_ != nullptr; }

  /// Each of these reads the value of a key. `*into` keeps its value if the key is absent or its value at
  /// fault.
  void Text(const char* key, std::string* into);
  void Flag(const char* key, bool* into);
  template <typename Number>
  void Whole(const char* key, Number low, Number high, Number* into) {
    std::int64_t value = 0;
    if (Integer(key, {static_cast<std::int64_t>(low), static_cast<std::int64_t>(high)}, &value))
      *into = static_cast<Number>(value);
  }
  void Whole(const char* key, const IntegerRange& range, int* into);
  void Real(const char* key, double low, double high, double* into);
  /// A number of milliseconds.
  void Time(const char* key, std::int64_t low, std::int64_t high, Milliseconds* into);
  void Time(const char* key, const IntegerRange& range, Milliseconds* into);
  /// An absent address is a fault if it is `required`.
  void Address(const char* key, bool required, boost::asio::ip::udp::endpoint* into);
  void Addresses(const char* key, std::vector<boost::asio::ip::udp::endpoint>* into);

  /// Reports a fault if `value`, which was read from `key`, is under `factor` times the value of `other_key`.
  void RequireMultiple(const char* key, Milliseconds value, int factor, const char* other_key,
                       Milliseconds other);

  /// The value of a key of any other type; null if it is absent.
  const nlohmann::json* Find(const char* key) const;
  /// Reports a fault of a key, or of the whole section if `key` is empty.
  void Fault(const std::string& key, const std::string& what);

 private:
  bool Integer(const char* key, const IntegerRange& range, std::int64_t* into);

  std::string name_;
  std::vector<std::string>* faults_;
  const nlohmann::json* object_ = nullptr;  // null if the section is absent or no object
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_BASE_CONFIG_SECTION_H_
