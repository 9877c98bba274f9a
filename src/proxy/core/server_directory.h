// SPDX-License-Identifier: Apache-2.0
//
// ServerDirectory applies endpoint lists to the decision module and to the connection pool.
#ifndef LOAD_BALANCER_PROXY_CORE_SERVER_DIRECTORY_H_
#define LOAD_BALANCER_PROXY_CORE_SERVER_DIRECTORY_H_

#include <cstddef>
#include <string>
#include <unordered_set>
#include <vector>

#include "load_balancer/balancer.h"
#include "members.h"

namespace load_balancer::proxy {

class Backends;
class ModuleDriver;
class OwnVerdicts;

class ServerDirectory {
 public:
  // `zones` and `kinds` are the names in the settings. The other arguments must outlive this object. They may
  // be constructed after it. Servers beyond `max_servers` in the list are left out.
  ServerDirectory(std::vector<std::string> zones, std::vector<std::string> kinds, ModuleDriver& module,
                  Backends& backends, OwnVerdicts& verdicts, std::size_t max_servers);
  ServerDirectory(const ServerDirectory&) = delete;
  ServerDirectory& operator=(const ServerDirectory&) = delete;

  void Take(const MemberList& list, ListKind kind);

  // Returns whether any list so far contained a server.
  bool AnyListed() const { return listed_; }
  // Returns whether the current list contains the server.
  bool Listed(const std::string& server) const { return in_list_.contains(server); }

  // Returns how many servers the current list contains.
  std::size_t listed() const { return in_list_.size(); }

  const ServerNumbers& numbers() const { return numbers_; }
  // Assigns numbers to servers that no list has contained yet.
  void Learn(std::vector<std::string> ids) { numbers_.Learn(std::move(ids)); }

 private:
  ServerEntry Entry(const Member& member) const;
  int ZoneOf(const std::string& name) const;
  bool IsTooMany(const Member& member) const;
  void ForgetUnlisted();

  const std::vector<std::string> zones_, kinds_;
  ModuleDriver& module_;
  Backends& backends_;
  OwnVerdicts& verdicts_;
  ServerNumbers numbers_;
  const std::size_t max_servers_;
  std::unordered_set<std::string> in_list_;
  bool listed_ = false;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CORE_SERVER_DIRECTORY_H_
