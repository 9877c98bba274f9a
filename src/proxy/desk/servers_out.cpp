// SPDX-License-Identifier: Apache-2.0
#include "desk/servers_out.h"

#include <chrono>
#include <cstddef>
#include <utility>

#include "backends.h"
#include "core/module_driver.h"
#include "core/server_directory.h"
#include "overlap.h"
#include "proxy/failures.h"

namespace brackenspoke::proxy {
namespace {

constexpr std::chrono::milliseconds kSeenBy{700};  // for the other process to obey an operators' call

}  // namespace

ServersOut::ServersOut(const std::string& path, Overlap& overlap, ServerDirectory& servers,
                       ModuleDriver& module, Backends& backends)
    : overlap_(overlap),
      servers_(servers),
      module_(module),
      backends_(backends),
      maintenance_(path, overlap) {}

void ServersOut::Obey() {
  const std::set<std::string> before = std::exchange(told_, maintenance_.out());
  servers_.Learn(std::vector<std::string>(told_.begin(), told_.end()));
  const ServerNumbers& numbers = servers_.numbers();
  for (const std::string& id : told_) {
    if (before.contains(id)) continue;
    module_.Feed(Detach{numbers.Of(id)});
    backends_.Detach(numbers.Of(id));
  }
  for (const std::string& id : before) {
    if (told_.contains(id)) continue;
    backends_.Attach(numbers.Of(id));
    module_.Feed(Attach{numbers.Of(id)});
  }
}

void ServersOut::Look() {
  if (maintenance_.Refresh()) Obey();
  overlap_.Seen(maintenance_.version());
  AnswerSeen();
}

void ServersOut::Replace(std::set<std::string> out) {
  if (out != maintenance_.out() && maintenance_.Replace(std::move(out))) Obey();
}

void ServersOut::Change(const std::string& id, bool out, const Publish& publish, OnReply reply) {
  if (maintenance_.Refresh()) Obey();
  if (!servers_.numbers().Has(id)) return reply(OperatorReply::No(Failure(kUnknownServer, "unknown ID")));
  const std::set<std::string> before = maintenance_.out();
  if (!maintenance_.Change(id, out)) return reply(OperatorReply::No(Failure(kNotKept, "cannot be kept")));
  if (publish) {
    if (const auto published = publish(); !published) {
      maintenance_.Replace(before);
      return reply(OperatorReply::No(published.error()));
    }
  }
  Obey();
  unseen_.push_back({maintenance_.version(), Steady::now() + kSeenBy,
                     OperatorReply::Yes(out ? "detached" : "attached"), std::move(reply)});
  AnswerSeen();
}

void ServersOut::AnswerSeen() {
  for (std::size_t i = 0; i < unseen_.size();) {
    const bool seen = overlap_.SeenByAll(unseen_[i].version);
    if (!seen && Steady::now() < unseen_[i].until) {
      ++i;
      continue;
    }
    const Unseen answered = std::move(unseen_[i]);
    unseen_.erase(unseen_.begin() + static_cast<std::ptrdiff_t>(i));
    answered.on_reply(seen ? answered.reply
                           : OperatorReply::No(Failure(kNotSeen, "not seen by the other process")));
  }
}

}  // namespace brackenspoke::proxy
