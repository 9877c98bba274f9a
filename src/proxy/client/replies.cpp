// SPDX-License-Identifier: Apache-2.0
#include "client/replies.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <cstdio>
#include <utility>

namespace load_balancer::proxy {
namespace {

namespace http = boost::beast::http;

constexpr const char* kText = "text/plain";

HttpResponse WithRetryAfter(HttpResponse rejection, Duration retry_after) {
  if (retry_after.count() > 0) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", retry_after.count() / 1000);
    rejection.set(http::field::retry_after, seconds);
  }
  return rejection;
}

}  // namespace

HttpResponse PlainReply(http::status status, std::string text) {
  HttpResponse response{status, 11};
  response.set(http::field::content_type, kText);
  response.body() = std::move(text);
  return response;
}

HttpResponse RejectedReply(Duration retry_after) {
  return WithRetryAfter(PlainReply(http::status::service_unavailable, "refused; trying again is harmless\n"),
                        retry_after);
}

HttpResponse OverBudgetReply(Duration retry_after) {
  return WithRetryAfter(
      PlainReply(http::status::too_many_requests, "over the budget; trying again is harmless\n"),
      retry_after);
}

HttpResponse ParseErrorReply(const boost::system::error_code& error) {
  if (error == http::error::body_limit) return PlainReply(http::status::payload_too_large, "too large\n");
  if (error == http::error::header_limit || error == http::error::buffer_overflow)
    return PlainReply(http::status::request_header_fields_too_large, "header too large\n");
  return PlainReply(http::status::bad_request, "malformed\n");
}

}  // namespace load_balancer::proxy
