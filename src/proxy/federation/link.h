// SPDX-License-Identifier: Apache-2.0
//
// FederationLink connects the requests of this proxy with the federation: it charges them to their tenants'
// budgets, returns the charge of requests that did not run, and offers rejected requests to other sites.
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
  // The arguments must outlive this object. They may be constructed after it.
  FederationLink(ModuleDriver& module, PendingRequests& pending) : module_(module), pending_(pending) {}
  FederationLink(const FederationLink&) = delete;
  FederationLink& operator=(const FederationLink&) = delete;

  // Joins the federation if the configuration has the section `sites`. `votes` is the file for the votes of
  // this process, `site` is the fleet of this site, and `backends` returns the limit of connections to
  // servers. All arguments but `config` must outlive this object.
  void Begin(boost::asio::io_context& io, const Config& config, const std::string& votes, fleet::Node* site,
             std::function<std::size_t()> backends, MemoryBudget& memory);
  void End() { federation_.reset(); }

  // Returns null if the configuration has no section `sites`, before Begin and after End.
  Federation* federation() { return federation_.get(); }
  const Federation* federation() const { return federation_.get(); }

  // Charges the request to its tenant's budget. Returns false if the budget is exceeded and the request has
  // been answered for that reason.
  bool Admit(const ClientRequest& request, Responder& responder, PendingRequest* pending,
             RequestReceived* received);
  // Returns the charge unless an attempt or another site may have run the request.
  void CreditIfNotRun(const PendingRequest& pending);
  // Offers a request that the module has rejected to other sites. Returns false if its body is not buffered
  // or if it may have run here.
  bool Spill(RequestId request, Duration retry_after);
  // Answers a request that no site accepts.
  void AnswerRefused(RequestId request, Duration retry_after);
  // Handles the end of the client's connection.
  void Gone(RequestId request);

  // See RequestHandler::TakeOverflowMark and RequestHandler::EstimateText.
  bool TakeMark(HttpRequest* message, const boost::asio::ip::address& peer);
  std::string EstimateText() const;

  // Returns the number of connections to gateways of other sites.
  std::size_t connections() const;

 private:
  SpillService* spill() { return federation_ ? federation_->spill() : nullptr; }
  const SpillService* spill() const { return federation_ ? std::as_const(*federation_).spill() : nullptr; }

  load_balancer::SpareCapacity SpareNow() const override;
  void OnSpillBegun(RequestId request, ResponseHead head) override;
  void OnSpillServed(RequestId request, HttpResponse answer, MemoryBudget::Reservation hold) override;
  void OnSpillRefused(RequestId request, Duration retry_after) override;
  void OnSpillFailed(RequestId request) override;

  ModuleDriver& module_;
  PendingRequests& pending_;
  std::unique_ptr<Federation> federation_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FEDERATION_LINK_H_
