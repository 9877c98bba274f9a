// SPDX-License-Identifier: Apache-2.0
//
// The servers that operators have taken out: kept, told to the module and to the connections, and an
// operator's call answered when each process of this proxy has taken notice.
#ifndef BRACKENSPOKE_PROXY_DESK_SERVERS_OUT_H_
#define BRACKENSPOKE_PROXY_DESK_SERVERS_OUT_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/error/failure.h"
#include "clock.h"
#include "maintenance.h"
#include "operators.h"

namespace brackenspoke::proxy {

class Backends;
class ModuleDriver;
class Overlap;
class ServerDirectory;

class ServersOut {
 public:
  // `path` as for Maintenance, which throws std::system_error. All else outlives the last call; all but
  // `overlap` need not be made yet.
  ServersOut(const std::string& path, Overlap& overlap, ServerDirectory& servers, ModuleDriver& module,
             Backends& backends);

  const std::set<std::string>& out() const { return maintenance_.out(); }
  // Tells the module, and the connections, what has changed.
  void Obey();
  // Takes notice of what the other process has changed, and answers the calls that it has seen.
  void Look();
  // All that are out, as the fleet's holder of the duty says.
  void Replace(std::set<std::string> out);

  // Takes a server out or puts it back; replies once each process has seen it, or after a while with the
  // failure. What `publish` refuses, if there is one, is taken back.
  using Publish = std::function<Result<void>()>;
  void Change(const std::string& id, bool out, const Publish& publish, OnReply reply);

 private:
  // A change that is kept, but not seen by every process yet.
  struct Unseen {
    std::uint64_t version = 0;
    Steady::time_point until{};
    OperatorReply reply;
    OnReply on_reply;
  };

  void AnswerSeen();

  Overlap& overlap_;
  ServerDirectory& servers_;
  ModuleDriver& module_;
  Backends& backends_;
  Maintenance maintenance_;
  std::set<std::string> told_;  // that the module was told of
  std::vector<Unseen> unseen_;
};

}  // namespace brackenspoke::proxy

#endif  // BRACKENSPOKE_PROXY_DESK_SERVERS_OUT_H_
