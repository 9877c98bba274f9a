// SPDX-License-Identifier: Apache-2.0
//
// The ids of requests that may be running at a server, so that none is forwarded a second time.
#ifndef LOAD_BALANCER_PROXY_CORE_REQUEST_IDS_H_
#define LOAD_BALANCER_PROXY_CORE_REQUEST_IDS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "clock.h"

namespace load_balancer::proxy {

// RequestIds is a table of limited size in a file that the processes of a hot restart map. An id is added
// when its request has arrived, and removed when it has not run or its client has the response. If the client
// leaves before, or without reading the response, the id stays until it expires. If the table is full, the id
// that expires first gives way.
class RequestIds {
 public:
  using Key = std::uint64_t;  // of a Req-Id; never 0

  // Maps the file at `path`. Without a path, or if that fails, the table belongs to this process alone.
  explicit RequestIds(const std::string& path);
  ~RequestIds();
  RequestIds(const RequestIds&) = delete;
  RequestIds& operator=(const RequestIds&) = delete;

  static Key KeyOf(std::string_view request_id);

  // Adds an id. `due` is when the response is due.
  void Add(Key key, Steady::time_point due);
  void Remove(Key key);
  bool Contains(Key key) const;

 private:
  struct Slot;
  struct Table;

  // Returns the slot that holds the key, or null.
  Slot* Find(Key key) const;

  Table* table_ = nullptr;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CORE_REQUEST_IDS_H_
