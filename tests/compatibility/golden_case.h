// SPDX-License-Identifier: Apache-2.0
//
// One value whose encoding other processes, or a later start of this one, rely on. The bytes that a former
// version of the program wrote for it are kept under golden/.
#ifndef LOAD_BALANCER_TESTS_COMPATIBILITY_GOLDEN_CASE_H_
#define LOAD_BALANCER_TESTS_COMPATIBILITY_GOLDEN_CASE_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace load_balancer::testing {

using Bytes = std::vector<std::uint8_t>;

struct GoldenCase {
  std::string name;  ///< of the file under golden/, without ".hex"
  /// The values that went in, by the names of their fields.
  nlohmann::json fields;
  /// The bytes that the program writes for these values.
  std::function<Bytes()> encode;
  /// The fields that the program reads from `bytes`. Throws std::runtime_error if it refuses them.
  std::function<nlohmann::json(const Bytes& bytes)> decode;
};

/// How a test framework prints a case.
inline void PrintTo(const GoldenCase& golden, std::ostream* out) { *out << golden.name; }

/// The cases of each protocol, each in a source of its own that alone names the program's types.
std::vector<GoldenCase> FleetDatagramCases();
std::vector<GoldenCase> QuotaMessageCases();
std::vector<GoldenCase> EstimateMessageCases();
std::vector<GoldenCase> NameCases();
std::vector<GoldenCase> StoredFileCases();
std::vector<GoldenCase> RestartPageCases();

/// All of the above.
std::vector<GoldenCase> AllGoldenCases();

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_COMPATIBILITY_GOLDEN_CASE_H_
