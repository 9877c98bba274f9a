// SPDX-License-Identifier: Apache-2.0
#ifndef LOAD_BALANCER_TESTS_COMPATIBILITY_TEMPORARY_FOLDER_H_
#define LOAD_BALANCER_TESTS_COMPATIBILITY_TEMPORARY_FOLDER_H_

#include <cstdlib>
#include <filesystem>
#include <string>
#include <system_error>

namespace load_balancer::testing {

/// A folder of its own, removed with all that is in it.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = std::filesystem::temp_directory_path() / "compatibility-XXXXXX";
    if (!::mkdtemp(name.data())) throw std::system_error(errno, std::generic_category(), name);
    path_ = name;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_COMPATIBILITY_TEMPORARY_FOLDER_H_
