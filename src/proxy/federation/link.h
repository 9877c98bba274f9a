// SPDX-License-Identifier: Apache-2.0
//
// Requests between the module and the federation: charged when they come, offered to neighbours when the
// module has refused them, credited back when they have not run.
#ifndef LOAD_BALANCER_PROXY_FEDERATION_LINK_H_
#define LOAD_BALANCER_PROXY_FEDERATION_LINK_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "config.h"
#include "core/pending.h"
#include "federation/federation.h"
#include "federation/spill_service.h"
#include "fleet/node/node.h"

namespace load_balancer::proxy {

class ModuleDriver;

class FederationLink : private SpillHost {
 public:
  // Both outlive the last call; they need not be made yet.
  FederationLink(ModuleDriver& module, PendingRequests& pending) : module_(module), pending_(pending) {}
  FederationLink(const FederationLink&) = delete;
  FederationLink& operator=(const FederationLink&) = delete;

  // With a section `sites`. `votes` is the file for this voter's votes, `site` the site's own fleet;
  // `backends` tells how many connections there may be to servers. All but `config` outlives this.
  void Begin(boost::asio::io_context& io, const Config& config, const std::string& votes, fleet::Node* site,
             std::function<std::size_t()> backends, Buffers& buffers);
  void End() { federation_.reset(); }

  // Null where the configuration has no section `sites`, before Begin and after End.
  Federation* federation() { return federation_.get(); }
  const Federation* federation() const { return federation_.get(); }

  // Charges the request to its owner's budget. False if it has had its answer: that budget is used up and
  // refuses.
  bool Admit(const ClientRequest& request, Responder& responder, Pending* pending, RequestReceived* received);
  // Gives the charge back unless an attempt, or a neighbour, may have run the request.
  void CreditIfNotRun(const Pending& pending);
  // Offers what the module has refused; false if it is not to be had whole, or may have run here.
  bool Spill(RequestId request, Duration retry_after);
  // The final answer to what nobody takes.
  void AnswerRefused(RequestId request, Duration retry_after);
  // Its client is not there any more.
  void Gone(RequestId request);

  // Of requests that neighbours have spilled here, as RequestHandler says.
  bool TakeMark(HttpRequest* message, const boost::asio::ip::address& peer);
  std::string EstimateText() const;

  // To neighbours' gateways.
  std::size_t connections() const;

 private:
  SpillService* spill() { return federation_ ? federation_->spill() : nullptr; }
  const SpillService* spill() const { return federation_ ? std::as_const(*federation_).spill() : nullptr; }

  load_balancer::SpareCapacity SpareNow() const override;
  void OnSpillBegun(RequestId request, ResponseHead head) override;
  void OnSpillServed(RequestId request, HttpResponse answer, Buffers::Reservation hold) override;
  void OnSpillRefused(RequestId request, Duration retry_after) override;
  void OnSpillFailed(RequestId request) override;

  ModuleDriver& module_;
  PendingRequests& pending_;
  std::unique_ptr<Federation> federation_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FEDERATION_LINK_H_
