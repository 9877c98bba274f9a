// SPDX-License-Identifier: Apache-2.0
//
// The processes that are one proxy: two for the time in which one replaces the other. They know of each other
// by a page that all of them map.
#ifndef BRACKENSPOKE_PROXY_OVERLAP_H_
#define BRACKENSPOKE_PROXY_OVERLAP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "base/descriptor.h"

namespace brackenspoke::proxy {

class Overlap {
 public:
  // What a process holds of the limits of all.
  struct Use {
    std::size_t clients = 0, backends = 0;  // connections
    std::size_t buffers = 0;                // bytes
  };

  // `path` names the file of the page; empty for a proxy that is never replaced beside itself. Throws
  // std::system_error if there is no such file to be had.
  Overlap(boost::asio::io_context& io, const std::string& path);
  ~Overlap();
  Overlap(const Overlap&) = delete;
  Overlap& operator=(const Overlap&) = delete;

  // From now on `on_look` is called each time this has looked at the others.
  void Watch(std::function<void()> on_look);

  // As last looked: that are alive, this one included.
  int processes() const { return processes_; }
  // What the others hold, now.
  Use Others() const;
  void Publish(const Use& use);

  // This process listens for clients from now on. Called in the order of the listeners' places in the kernel.
  void Listening();
  // Whether this process takes clients, and whether another one does.
  void SetTaking(bool taking);
  bool OtherTakes() const;
  // Whether the listener of the other one came after this one's.
  bool OtherIsLater() const;

  // The version of the file that `Maintenance` keeps; it stands at 0 until the first change.
  std::uint64_t version() const;
  // Held while that file is changed.
  class Lock {
   public:
    explicit Lock(int fd);
    ~Lock();
    Lock(const Lock&) = delete;
    Lock& operator=(const Lock&) = delete;

   private:
    int fd_;
  };
  Lock LockChanges() const { return Lock(file_.get()); }
  std::uint64_t NextVersion();
  void Seen(std::uint64_t version);
  // Every process has seen this version or a later one.
  bool SeenByAll(std::uint64_t version) const;

 private:
  struct Page;
  struct Slot;

  void Look();
  bool Alive(int slot) const;
  template <typename Function>
  void EachOther(Function function) const;

  boost::asio::steady_timer timer_;
  Descriptor file_;
  Page* page_ = nullptr;
  int me_ = -1, processes_ = 1;
  std::function<void()> on_look_;
};

}  // namespace brackenspoke::proxy

#endif  // BRACKENSPOKE_PROXY_OVERLAP_H_
