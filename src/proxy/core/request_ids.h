// SPDX-License-Identifier: Apache-2.0
//
// The ids of requests that must not run twice, so that none is forwarded a second time.
#ifndef LOAD_BALANCER_PROXY_CORE_REQUEST_IDS_H_
#define LOAD_BALANCER_PROXY_CORE_REQUEST_IDS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "clock.h"

namespace load_balancer::proxy {

// RequestIds is a table of limited size in a file that the processes of a hot restart map, and that a process
// finds again after a crash. An id is claimed when its request has arrived, and released when that has not
// run. Otherwise it stays until it expires, whether or not its client has had the response: a process may be
// killed before it learns that the client left without reading. If the table is full, the id that expires
// first gives way.
class RequestIds {
 public:
  using Key = std::uint64_t;  // of a Req-Id; never 0

  // Maps the file at `path`. Without a path, or if that fails, the table belongs to this process alone.
  // Throws std::bad_alloc if there is no memory for that.
  explicit RequestIds(const std::string& path);
  ~RequestIds();
  RequestIds(const RequestIds&) = delete;
  RequestIds& operator=(const RequestIds&) = delete;

  static Key KeyOf(std::string_view request_id);

  // Adds an id and returns true, or returns false if the table holds it. `due` is when the response is due.
  // Of two processes that claim an id at the same time, no more than one succeeds.
  bool Claim(Key key, Steady::time_point due);
  // Removes the id of a request that has not run.
  void Release(Key key);
  // Keeps an id, for a shorter time, whose client has been sent the response. That was due at `due`.
  void OnAnswered(Key key, Steady::time_point due);
  // Keeps an id, unless it was released, whose client has left without reading the response.
  void OnUnread(Key key);

 private:
  struct Table;
  class Slot;

  // Returns the slot that holds the key, or null.
  Slot* Find(Key key) const;
  int CountSlotsOf(Key key) const;
  std::pair<Slot*, std::uint64_t> SlotToReplace(Key key) const;
  void ExpireAt(Key key, Steady::time_point expires_at);

  Table* table_ = nullptr;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CORE_REQUEST_IDS_H_
