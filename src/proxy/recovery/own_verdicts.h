// SPDX-License-Identifier: Apache-2.0
//
// Servers that this process has taken out on its own answers, and those of a life before whose servers no
// list has named yet.
#ifndef LOAD_BALANCER_PROXY_RECOVERY_OWN_VERDICTS_H_
#define LOAD_BALANCER_PROXY_RECOVERY_OWN_VERDICTS_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace load_balancer::proxy {

class ModuleDriver;
class ServerDirectory;

class OwnVerdicts {
 public:
  // `module` outlives the last call; it need not be made yet.
  explicit OwnVerdicts(ModuleDriver& module) : module_(module) {}
  OwnVerdicts(const OwnVerdicts&) = delete;
  OwnVerdicts& operator=(const OwnVerdicts&) = delete;

  // The module has taken the server out until then, so many times in a row.
  void Note(const std::string& server, double until_unix_ms, int multiplier);

  // An array of those in force, for the next life.
  nlohmann::json Keep() const;
  // Of a life before. Throws json::exception on what is out of form; what came before it holds.
  void Load(const nlohmann::json& kept);
  // Tells the module those of a life before whose servers are listed now: before any request can see one.
  void Restore(const ServerDirectory& servers);

 private:
  struct Verdict {
    double until_unix_ms = 0;
    int multiplier = 1;
    bool waits = false;  // for its server to be listed
  };

  ModuleDriver& module_;
  std::map<std::string, Verdict> verdicts_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_RECOVERY_OWN_VERDICTS_H_
