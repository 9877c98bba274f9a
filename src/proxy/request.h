// SPDX-License-Identifier: Apache-2.0
//
// Requests as clients send them.
#ifndef LOAD_BALANCER_PROXY_REQUEST_H_
#define LOAD_BALANCER_PROXY_REQUEST_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "body.h"
#include "clock.h"
#include "config.h"

namespace load_balancer::proxy {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// A request as read from a client, its headers understood.
struct ClientRequest {
  HttpRequest message;               // what goes on to backends
  Buffers::Hold hold;                // of its body, where that is whole
  std::shared_ptr<BodySource> body;  // where it is not: it follows
  Duration patience{0};              // that the client has, from the last byte on
  Steady::time_point due{};
  int request_class = 0;
  int tenant = 0;
  std::uint64_t key = 0;
  bool has_hint = false, client_retry = false;
  bool spilled = false;  // here, by another site's gateway
  double work_ms = 0;
  std::shared_ptr<const Config> config;  // in force when it came
};

struct Complaint {
  boost::beast::http::status status = boost::beast::http::status::bad_request;
  std::string text;
};

// Understands the headers of a request, whose body may yet have to come; a complaint if it can't.
std::optional<Complaint> Understand(HttpRequest message, std::shared_ptr<const Config> in_force,
                                    ClientRequest* request);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_REQUEST_H_
