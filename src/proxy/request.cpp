// SPDX-License-Identifier: Apache-2.0
#include "request.h"

#include <algorithm>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <cmath>
#include <string_view>
#include <utility>
#include <vector>

#include "members.h"

namespace load_balancer::proxy {
namespace {

namespace http = boost::beast::http;

constexpr double kMaxDeadlineMs = 3600 * 1000;
constexpr double kMaxCostUs = 1e12;
constexpr const char* kMissingHost = "unnamed";  // an HTTP/1.0 request may omit the Host header

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

// Returns the hash of the object id in the cookie `obj`, or 0 if there is none.
std::uint64_t ObjectKey(boost::beast::string_view cookie) {
  std::string list("; ");
  list.append(cookie.data(), cookie.size());
  for (const auto& [name, value] : http::param_list(list)) {
    if (name == "obj") return value.empty() ? 0 : std::max<std::uint64_t>(1, StableHash(View(value)));
  }
  return 0;
}

std::string_view FirstPathSegment(std::string_view target) {
  if (!target.empty() && target.front() == '/') target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// Returns the names in all Connection headers of the message.
std::vector<std::string> ConnectionOptions(const HttpRequest& message) {
  std::vector<std::string> options;
  const auto [first, last] = message.equal_range(http::field::connection);
  for (auto header = first; header != last; ++header)
    for (const auto& option : http::token_list(header->value())) options.emplace_back(option);
  return options;
}

// Removes the headers that apply to one connection only and must not be forwarded (RFC 9110, section 7.6.1).
void EraseHopByHop(HttpRequest& message) {
  for (const std::string& name : ConnectionOptions(message)) message.erase(name);
  for (const http::field field :
       {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
        http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect})
    message.erase(field);
}

}  // namespace

RequestRules ClientRequest::rules() const {
  return {config->settings.classes.at(static_cast<std::size_t>(request_class)),
          config->settings.max_attempts};
}

const std::string& ClientRequest::class_name() const {
  return config->classes.at(static_cast<std::size_t>(request_class));
}

std::string_view ClientRequest::tenant_name() const {
  if (config->tenants.empty()) return {};
  return config->tenants.at(static_cast<std::size_t>(tenant));
}

std::optional<RequestError> ParseRequest(HttpRequest message, std::shared_ptr<const Config> in_force,
                                         ClientRequest* request) {
  const Config& config = *in_force;
  const auto bad = [](const char* what) { return RequestError{http::status::bad_request, what}; };
  const auto coding = message.find(http::field::transfer_encoding);
  const bool has_transfer_encoding = coding != message.end();
  if (has_transfer_encoding && !boost::beast::iequals(coding->value(), "chunked"))
    return RequestError{http::status::not_implemented, "unknown Transfer-Encoding"};
  if (has_transfer_encoding && message.version() < 11) return bad("Transfer-Encoding before HTTP/1.1");
  EraseHopByHop(message);  // done first, as these headers describe only the connection
  for (const char* name : {"Host", "Req-Id", "Req-Kind", "Req-Owner", "Req-Deadline-Ms", "Req-Cost"})
    if (message.count(name) > 1) return bad("a header that may come once came twice");
  const std::string_view kind = FirstPathSegment(View(message.target()));
  request->request_class = IndexOf(config.classes, kind);
  if (request->request_class < 0) return RequestError{http::status::not_found, "unknown class"};
  const ClassSettings& c = config.settings.classes[request->request_class];
  const http::verb method = c.idempotency == Idempotency::kIdempotent ? http::verb::get : http::verb::post;
  if (message.method() != method) return RequestError{http::status::method_not_allowed, "wrong method"};
  if (message[http::field::host].empty()) {
    if (message.version() >= 11) return bad("Host is missing");
    message.set(http::field::host, kMissingHost);
  }
  if (message["Req-Id"].empty()) return bad("Req-Id is missing");
  if (const auto named = message.find("Req-Kind"); named != message.end() && View(named->value()) != kind)
    return bad("Req-Kind and the path name two classes");
  const auto length = message.find(http::field::content_length);
  if (c.idempotency == Idempotency::kIdempotent && length != message.end() && length->value() != "0")
    return bad("a body where none belongs");
  if (c.idempotency == Idempotency::kIdempotencyKey && message["Idempotency-Key"].empty())
    return bad("Idempotency-Key is missing");

  double deadline_ms = c.deadline.count();
  if (const auto text = message.find("Req-Deadline-Ms"); text != message.end()) {
    const auto value = ParseNumber(View(text->value()));
    if (!value || *value < 0) return bad("Req-Deadline-Ms is no number");
    deadline_ms = std::min(*value, kMaxDeadlineMs);
  }
  request->client_timeout = Duration(deadline_ms);
  if (const auto text = message.find("Req-Cost"); text != message.end()) {
    const auto value = ParseNumber(View(text->value()));
    if (!value || *value < 0) return bad("Req-Cost is no number");
    request->has_hint = true;
    request->work_ms = std::min(*value, kMaxCostUs) / 1000;
  }
  if (!config.tenants.empty()) {
    request->tenant = IndexOf(config.tenants, View(message["Req-Owner"]));
    if (request->tenant < 0) return bad("unknown Req-Owner");
  }
  request->client_retry = message["Req-Retry"] == "1";
  request->key = ObjectKey(message[http::field::cookie]);

  message.version(11);
  request->message = std::move(message);
  request->config = std::move(in_force);
  return std::nullopt;
}

}  // namespace load_balancer::proxy
