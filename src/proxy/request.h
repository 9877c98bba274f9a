// SPDX-License-Identifier: Apache-2.0
//
// Requests of clients and the parsing of their headers.
#ifndef LOAD_BALANCER_PROXY_REQUEST_H_
#define LOAD_BALANCER_PROXY_REQUEST_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "body.h"
#include "clock.h"
#include "config.h"
#include "memory_budget.h"

namespace load_balancer::proxy {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// ClientRequest is a request of a client with its parsed headers.
struct ClientRequest {
  HttpRequest message;                    // what is sent to servers
  MemoryBudget::Reservation reservation;  // memory of a completely buffered body
  std::shared_ptr<BodySource> body;       // a streamed body; null if the body is buffered
  Duration client_timeout{0};             // how long the client waits after sending its last byte
  Steady::time_point due{};               // when the response is due
  int request_class = 0;                  // index in config->classes
  int tenant = 0;                         // index in config->tenants, if there are any
  std::uint64_t key = 0;
  bool has_hint = false, client_retry = false;
  bool is_overflow = false;              // sent here by the gateway of another site
  double work_ms = 0;                    // from Req-Cost, if has_hint
  std::shared_ptr<const Config> config;  // the configuration in force when the head was complete

  // The rules that apply to the request whatever configuration comes into force later.
  RequestRules rules() const;
  const std::string& class_name() const;
  std::string_view tenant_name() const;  // empty if the configuration has no tenants
};

// RequestError is the response to a request that cannot be handled.
struct RequestError {
  boost::beast::http::status status = boost::beast::http::status::bad_request;
  std::string text;
};

// Parses the headers of a request, whose body may not have been received yet. Returns an error if they are
// not valid.
std::optional<RequestError> ParseRequest(HttpRequest message, std::shared_ptr<const Config> in_force,
                                         ClientRequest* request);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_REQUEST_H_
