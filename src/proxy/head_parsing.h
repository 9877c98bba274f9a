// SPDX-License-Identifier: Apache-2.0
//
// Limits on the heads of requests and responses.
#ifndef LOAD_BALANCER_PROXY_HEAD_PARSING_H_
#define LOAD_BALANCER_PROXY_HEAD_PARSING_H_

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <iterator>

namespace load_balancer::proxy {

inline constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
inline constexpr std::size_t kMaxChunkHeaderBytes = 4 * 1024;
// Fields of a head with its trailer. A field takes up to a hundred bytes beside its text.
inline constexpr std::size_t kMaxFields = 100;
// First read of a head. Each further read may be as large as what the buffer holds.
inline constexpr std::size_t kFirstReadBytes = 1024;

// Returns how many bytes the next read into `buffer` may have. A buffer grows only as its peer sends.
inline std::size_t NextReadBytes(const boost::beast::flat_buffer& buffer) {
  return std::min(std::max(kFirstReadBytes, buffer.size()), buffer.max_size() - buffer.size());
}

inline bool HasTooManyFields(const boost::beast::http::fields& fields) {
  return static_cast<std::size_t>(std::distance(fields.begin(), fields.end())) > kMaxFields;
}

// Parses bytes of a head until it is complete or the buffer is empty, and returns whether it is complete. A
// head with too many fields is an error.
template <typename Parser>
bool ParseBufferedHead(boost::beast::flat_buffer& buffer, Parser& parser, boost::system::error_code* error) {
  namespace http = boost::beast::http;
  while (!parser.is_header_done() && buffer.size() > 0 && !*error)
    buffer.consume(parser.put(buffer.data(), *error));
  if (*error == http::error::need_more) *error = {};
  if (!*error && HasTooManyFields(parser.get().base())) *error = http::error::header_limit;
  return parser.is_header_done();
}

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_HEAD_PARSING_H_
