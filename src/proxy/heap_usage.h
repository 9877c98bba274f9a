// SPDX-License-Identifier: Apache-2.0
//
// The heap of this process: how much of it is in use, and how free memory goes back to the system.
#ifndef LOAD_BALANCER_PROXY_HEAP_USAGE_H_
#define LOAD_BALANCER_PROXY_HEAP_USAGE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>

namespace load_balancer::proxy {

// Returns the bytes that operator new has given out and that have not been deleted, with the allocator's own
// overhead. Linking this function replaces operator new and delete of the program.
std::size_t HeapInUse();

// Makes the allocator return freed memory to the system early, and use one arena for all threads. To be
// called before the first thread starts.
void ConfigureHeap();

// HeapTrimmer returns free pages of the heap to the system once the process uses much less than before.
class HeapTrimmer {
 public:
  explicit HeapTrimmer(boost::asio::io_context& io);

 private:
  void ScheduleNextLook();
  void Look();

  boost::asio::steady_timer timer_;
  std::size_t most_in_use_ = 0;  // bytes, at the looks since the last trim
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_HEAP_USAGE_H_
