// SPDX-License-Identifier: Apache-2.0
//
// The proxy: turns what happens on sockets into events for its Balancer, and carries out the actions. Every
// decision is the Balancer's.
#ifndef BRACKENSPOKE_PROXY_PROXY_H_
#define BRACKENSPOKE_PROXY_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "backends.h"
#include "brackenspoke/balancer.h"
#include "clients.h"
#include "clock.h"
#include "config.h"
#include "discovery.h"
#include "federation/federation.h"
#include "fleet/node/node.h"
#include "maintenance.h"
#include "members.h"
#include "operators.h"
#include "overlap.h"
#include "state/keeper.h"

namespace brackenspoke::proxy {

class Proxy : public RequestHandler, public OperatorHandler, public fleet::Facts, private SpillHost {
 public:
  // Watches discovery from here on, and listens: at once, or beside another process of this proxy once the
  // list is fresh.
  Proxy(boost::asio::io_context& io, Config config);
  ~Proxy() override;

  const Config& config() const { return *config_; }
  // From now on; requests that are open keep what was in force when they came.
  void Reconfigure(Config config);

  // Serves what comes for a while yet; `done` is called when nothing is held any more.
  void Stop(std::function<void()> done);

  RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) override;
  void OnUploaded(RequestId request, Steady::time_point due) override;
  void OnClientGone(RequestId request) override;
  bool Ready() const override;
  std::shared_ptr<const Config> InForce() const override { return config_; }
  bool TakeMark(HttpRequest* message, const boost::asio::ip::address& peer) override;
  std::string EstimateText() const override;
  void OnCall(const OperatorCall& call, OnReply reply) override;
  bool Listed(const std::string& server) const override { return in_list_.contains(server); }
  void OnVerdict(const fleet::Verdict& verdict) override;
  void OnKey(const fleet::KeySite& site, fleet::UnixMs met) override;
  void OnShare(int most_in_flight) override;
  void OnJoined() override;
  void OnRole(const std::string& duty, fleet::Role role) override;
  void OnDutyFact(const fleet::DutyFact& fact) override;

  boost::asio::ip::tcp::endpoint address() const { return clients_->address(); }
  // Where operators call; of a configuration that names it.
  boost::asio::ip::tcp::endpoint operators_address() const { return operators_->address(); }
  std::size_t backend_connections() const { return backends_->connections(); }
  std::size_t client_connections() const { return clients_->connections(); }
  std::size_t held() const { return pending_.size(); }
  std::size_t buffered() const { return buffers_.held(); }  // bytes of messages held whole

 private:
  // From its Submit until it has its answer and no attempt is out.
  struct Pending {
    std::shared_ptr<const HttpRequest> message;
    Buffers::Hold hold;                // of its body; or
    std::shared_ptr<BodySource> body;  // what follows of it
    std::shared_ptr<const Config> config;
    Steady::time_point due{};
    std::shared_ptr<Responder> responder;  // null once answered
    std::uint64_t key = 0;
    quota::Ticket ticket;  // of what was charged to its owner's budget
    Submit submit;         // as the module was told
    TimePoint came{};
    int attempts = 0;
    bool may_have_run = false;  // an attempt that ended, or a neighbour that has it, may have run it
    bool attempt_out = false;
    Steady::time_point sent_at{};  // the attempt, or the request's last byte
    Duration first_bytes{0};       // until an answer that is passed on began
  };

  // A change of the servers in maintenance that is kept, but not seen by every process yet.
  struct Unseen {
    std::uint64_t version = 0;
    Steady::time_point until{};
    OperatorReply reply;
    OnReply on_reply;
  };

  OperatorReply Ping();
  OperatorReply Lameduck();
  OperatorReply Rejoin();
  void ChangeMaintenance(const OperatorCall& call, OnReply reply);
  void ObeyMaintenance();
  void AnswerSeen();

  OperatorReply AskFleet(const OperatorCall& call);
  bool Does(const char* duty) const { return !fleet_ || fleet_->Does(duty); }
  void BeginState();
  nlohmann::json Collect() const;
  void Take(const nlohmann::json& body);
  void RestoreListed();
  void WatchDiscovery();
  void OnNews(const MemberList& list);
  void Record(const MemberList& list);
  void PublishServer(const std::string& id);
  Result<void> PublishMaintenance(const fleet::LeaseGuard& guard);
  Failure NotTheHolder() const;
  void OnFleetServer(const fleet::DutyFact& fact);

  bool Taking() const;
  void OpenWhenListed();
  void OnLook();
  void ShareLimits();
  std::size_t MostClients();
  std::size_t MostBackends();

  bool Admit(const ClientRequest& request, Responder& responder, Pending* pending, Submit* submit);
  brackenspoke::Spare SpareNow() const override { return balancer_.Spare(clock_.Now()); }
  void OnSpillBegun(RequestId request, AnswerHead head) override;
  void OnSpillServed(RequestId request, HttpResponse answer, Buffers::Hold hold) override;
  void OnSpillRefused(RequestId request, Duration retry_after) override;
  void OnSpillFailed(RequestId request) override;
  bool Spill(RequestId request, Duration retry_after);
  void BeginFederation();
  double MeanWork() const;
  void CreditIfNotRun(const Pending& pending);
  void AnswerRefused(RequestId request, Duration retry_after);
  void Feed(Event event);
  void HandleQueued();
  void OnList(const MemberList& list, ListKind kind);
  int ZoneOf(const std::string& name) const;

  void Do(const Dispatch& action);
  void Do(const Refuse& action);
  void Do(const Fail& action);
  void Do(const SetTimer& action);
  void Do(const Subscribe& action);
  void Do(const struct CloseIdle& action);
  void Do(const Log& action);
  void Do(const Ejected& action);

  void OnAttemptBegun(RequestId request, int attempt, AnswerHead head);
  void OnAttemptDone(RequestId request, int attempt, ServerId server, AttemptResult result);
  std::shared_ptr<Responder> Conclude(RequestId request);
  void ForgetIfOver(RequestId request);
  void ArmTimer();

  boost::asio::io_context& io_;
  std::shared_ptr<const Config> config_;  // in force
  ModuleClock clock_;
  Overlap overlap_;
  int processes_ = 1;  // that the module was told of
  Maintenance maintenance_;
  std::set<std::string> detached_;  // that the module was told of
  std::vector<Unseen> unseen_;
  Balancer balancer_;
  ServerNumbers numbers_;
  RequestId last_request_ = 0;
  std::deque<Event> events_;
  bool handling_ = false;
  bool listed_ = false;
  // Of this process and, until its server is listed, of a life before.
  struct OwnVerdict {
    double until_unix_ms = 0;
    int multiplier = 1;
    bool waits = false;  // for its server to be listed
  };
  std::map<std::string, OwnVerdict> own_verdicts_;
  bool recovering_ = false;  // a peer's state is waited for
  boost::asio::steady_timer recovery_timer_;
  std::unordered_set<std::string> in_list_;      // servers that discovery's list has now
  std::map<std::string, Member> known_servers_;  // with a fleet: as last told, those that are gone among them
  std::map<std::string, bool> held_;             // duties, whether this process holds their leases
  std::uint64_t revision_ = 0;                   // of discovery's list, as last told
  std::multimap<TimePoint, std::uint64_t> timers_;
  TimePoint armed_for_;
  boost::asio::steady_timer timer_, open_timer_;
  Buffers buffers_;
  std::unordered_map<RequestId, Pending> pending_;
  std::unique_ptr<Backends> backends_;
  std::unique_ptr<Clients> clients_;
  std::unique_ptr<Discovery> discovery_;
  std::unique_ptr<Operators> operators_;
  std::unique_ptr<fleet::Node> fleet_;      // where the configuration has a fleet
  std::unique_ptr<Federation> federation_;  // where it has sites
  std::unique_ptr<state::Keeper> keeper_;   // where it has a state section
};

}  // namespace brackenspoke::proxy

#endif  // BRACKENSPOKE_PROXY_PROXY_H_
