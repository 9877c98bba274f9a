// SPDX-License-Identifier: Apache-2.0
//
// The answers that this proxy gives by itself.
#ifndef LOAD_BALANCER_PROXY_CLIENT_REPLIES_H_
#define LOAD_BALANCER_PROXY_CLIENT_REPLIES_H_

#include <boost/beast/http/status.hpp>
#include <boost/system/error_code.hpp>
#include <string>

#include "load_balancer/balancer.h"
#include "request.h"

namespace load_balancer::proxy {

HttpResponse PlainReply(boost::beast::http::status status, std::string text);

// Trying again is harmless, and of use after `retry_after`; 0: no advice.
HttpResponse RefusedReply(Duration retry_after);
HttpResponse OverBudgetReply(Duration retry_after);

// To a request that could not be parsed.
HttpResponse UnreadableReply(const boost::system::error_code& failed);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CLIENT_REPLIES_H_
