// SPDX-License-Identifier: Apache-2.0
//
// One section of the configuration under check, key by key. Every fault is found, not only the first, and
// carries the section's name: an unknown key, a value of the wrong type, a figure out of range, an address
// that is none.
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

class Section {
 public:
  // The member `name` of the object `root`, which may be absent; it may hold `keys` alone. `faults` and
  // `root` outlive this.
  Section(const nlohmann::json& root, std::string name, const std::set<std::string>& keys,
          std::vector<std::string>* faults);

  // As above, of a section that others may add keys to.
  Section(const nlohmann::json& root, std::string name, std::vector<std::string>* faults);

  bool present() const { return object_ != nullptr; }

  // Each reads a key's value, or leaves `into` as it is where the key is absent or its value at fault.
  void Text(const char* key, std::string* into);
  void Flag(const char* key, bool* into);
  template <typename Number>
  void Whole(const char* key, Number low, Number high, Number* into) {
    std::int64_t got = 0;
    if (Integer(key, static_cast<std::int64_t>(low), static_cast<std::int64_t>(high), &got))
      *into = static_cast<Number>(got);
  }
  // A figure with a fraction.
  void Real(const char* key, double low, double high, double* into);
  void Time(const char* key, std::int64_t low, std::int64_t high, Milliseconds* into);
  // Absent is a fault where `required`.
  void Address(const char* key, bool required, boost::asio::ip::udp::endpoint* into);
  void Addresses(const char* key, std::vector<boost::asio::ip::udp::endpoint>* into);

  // The value of a key, for what is no plain figure; null where it is absent.
  const nlohmann::json* Find(const char* key) const;
  void Fault(const std::string& key, const std::string& what);

 private:
  bool Integer(const char* key, std::int64_t low, std::int64_t high, std::int64_t* into);

  std::string name_;
  std::vector<std::string>* faults_;
  const nlohmann::json* object_ = nullptr;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_BASE_CONFIG_SECTION_H_
