// SPDX-License-Identifier: Apache-2.0
//
// The configuration file, as it is found while others may replace it.
#ifndef LOAD_BALANCER_PROXY_CONFIG_FILE_H_
#define LOAD_BALANCER_PROXY_CONFIG_FILE_H_

#include <sys/stat.h>

#include <string>

#include "base/descriptor.h"

namespace load_balancer::proxy {

// A regular file, open for reading. All but the destructor throw BadConfig.
class ConfigFile {
 public:
  // Never waits: what is a pipe or a device is turned down.
  explicit ConfigFile(const std::string& path);

  // From its beginning to its end.
  std::string ReadAll() const;
  // As it was when it was opened: what ReadAll read is one state of it, not parts of two.
  bool Unchanged() const;

 private:
  struct stat Status() const;
  [[noreturn]] void Refuse(const std::string& why) const;

  const std::string path_;
  Descriptor descriptor_;
  struct stat opened_;
};

// The whole of the file under `path`; one that changes meanwhile is read again, a few times. Throws
// BadConfig.
std::string ReadConfigFile(const std::string& path);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CONFIG_FILE_H_
