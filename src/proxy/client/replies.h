// SPDX-License-Identifier: Apache-2.0
//
// Responses that the proxy creates itself, without a server.
#ifndef LOAD_BALANCER_PROXY_CLIENT_REPLIES_H_
#define LOAD_BALANCER_PROXY_CLIENT_REPLIES_H_

#include <boost/beast/http/status.hpp>
#include <boost/system/error_code.hpp>
#include <string>

#include "load_balancer/balancer.h"
#include "request.h"

namespace load_balancer::proxy {

// Returns a response with `text` as its plain-text body.
HttpResponse PlainReply(boost::beast::http::status status, std::string text);

// Returns a 503 (RejectedReply) or a 429 (OverBudgetReply). The request has not run on any server, so a retry
// is safe. `retry_after` becomes the Retry-After header; 0 omits the header.
HttpResponse RejectedReply(Duration retry_after);
HttpResponse OverBudgetReply(Duration retry_after);

// Returns the response to a request that could not be parsed because of `error`.
HttpResponse ParseErrorReply(const boost::system::error_code& error);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CLIENT_REPLIES_H_
