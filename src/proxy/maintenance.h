// SPDX-License-Identifier: Apache-2.0
//
// The ids of the servers that operators have taken out, kept in a file for the next process.
#ifndef LOAD_BALANCER_PROXY_MAINTENANCE_H_
#define LOAD_BALANCER_PROXY_MAINTENANCE_H_

#include <cstdint>
#include <set>
#include <string>

#include "hot_restart.h"

namespace load_balancer::proxy {

class Maintenance {
 public:
  // `path` names the file; empty to keep nothing. Throws std::system_error if it is there and cannot be read.
  Maintenance(std::string path, HotRestart& hot_restart);

  const std::set<std::string>& out() const { return out_; }
  std::uint64_t version() const { return version_; }

  // Takes a server out or puts it back; false, and nothing has changed, if that cannot be kept.
  bool Change(const std::string& id, bool out);
  // All that are out, in place of what was; false, and nothing has changed, if that cannot be kept.
  bool Replace(std::set<std::string> out);
  // Reads what another process has changed; false if nothing.
  bool Refresh();

 private:
  template <typename Edit>
  bool Keep(Edit edit);
  std::set<std::string> Read() const;
  void Write(const std::set<std::string>& out) const;

  std::string path_;
  HotRestart& hot_restart_;
  std::set<std::string> out_;
  std::uint64_t version_ = 0;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_MAINTENANCE_H_
