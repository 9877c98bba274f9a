// SPDX-License-Identifier: Apache-2.0
//
// write_golden FOLDER
//
// Writes the files under golden/, as golden/README.md describes. Each encoding must be read as the values
// that went in, or nothing is written.
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

#include "configuration_fields.h"
#include "golden_case.h"

namespace load_balancer::testing {
namespace {

constexpr std::size_t kBytesPerLine = 32;

void WriteHex(const std::filesystem::path& path, const Bytes& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::ofstream file(path);
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    if (i > 0 && i % kBytesPerLine == 0) file << '\n';
    file << kDigits[bytes[i] >> 4] << kDigits[bytes[i] & 0xf];
  }
  file << '\n';
}

bool WriteCases(const std::filesystem::path& folder) {
  bool all_agree = true;
  for (const GoldenCase& each : AllGoldenCases()) {
    const Bytes bytes = each.encode();
    const nlohmann::json fields = each.decode(bytes);
    if (fields == each.fields) {
      WriteHex(folder / (each.name + ".hex"), bytes);
      continue;
    }
    all_agree = false;
    std::cerr << each.name << " went in as " << each.fields << " and is read as " << fields << '\n';
  }
  return all_agree;
}

bool WriteConfigurationFields(const std::filesystem::path& folder) {
  const std::filesystem::path path = folder / "configuration.json";
  const auto faults = ConfigurationFaults(path);
  for (const std::string& fault : faults) std::cerr << fault << '\n';
  if (!faults.empty()) return false;
  std::ifstream file(path);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  std::ofstream(folder / "configuration.fields.json") << ConfigurationFields(text).dump(2) << '\n';
  return true;
}

}  // namespace
}  // namespace load_balancer::testing

int main(int count, char** arguments) {
  if (count != 2) {
    std::cerr << "usage: write_golden FOLDER\n";
    return 2;
  }
  const bool cases_written = load_balancer::testing::WriteCases(arguments[1]);
  const bool configuration_written = load_balancer::testing::WriteConfigurationFields(arguments[1]);
  return cases_written && configuration_written ? 0 : 1;
}
