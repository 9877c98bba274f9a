// SPDX-License-Identifier: Apache-2.0
//
// Hot restart: for a while two processes are one proxy, and the new one replaces the old one. The processes
// coordinate through a page of shared memory, a file that each of them maps.
#ifndef LOAD_BALANCER_PROXY_HOT_RESTART_H_
#define LOAD_BALANCER_PROXY_HOT_RESTART_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "base/descriptor.h"

namespace load_balancer::proxy {

// This process's slot on the shared page, and what the other processes have in theirs. A slot belongs to its
// process for as long as that holds a lock on it, which the kernel releases however the process ends.
class HotRestart {
 public:
  // What a process uses of the limits that all processes of the proxy share.
  struct ResourceUsage {
    std::size_t clients = 0;   // connections of clients
    std::size_t backends = 0;  // connections to backends
    std::size_t memory = 0;    // bytes of the heap, used or set aside
  };

  // Maps the file at `path`, and takes a slot. An empty path means a proxy without hot restart: it has one
  // process. Throws std::system_error if the file cannot be mapped or has no free slot.
  HotRestart(boost::asio::io_context& io, const std::string& path);
  ~HotRestart();
  HotRestart(const HotRestart&) = delete;
  HotRestart& operator=(const HotRestart&) = delete;

  // Counts the live processes periodically from now on, and calls `on_poll` after each time.
  void StartPolling(std::function<void()> on_poll);

  // Live processes as of the last poll, including this one.
  int processes() const { return processes_; }
  // The sum of what the other processes use now.
  ResourceUsage UsageOfOthers() const;
  void PublishUsage(const ResourceUsage& usage);

  // This process listens for clients from now on. Call it in the order in which the kernel has the listeners.
  void RegisterListener();
  // Whether this process accepts clients.
  void SetAccepting(bool accepting);
  // Whether another process accepts clients.
  bool OtherAccepts() const;
  // Whether another process registered its listener after this one.
  bool OtherListensLater() const;

  // The version of the maintenance file (`Maintenance`), 0 until its first change.
  std::uint64_t maintenance_version() const;
  // Held while the maintenance file is changed. Throws std::system_error if it cannot be locked.
  class MaintenanceLock {
   public:
    explicit MaintenanceLock(int fd);
    ~MaintenanceLock();
    MaintenanceLock(const MaintenanceLock&) = delete;
    MaintenanceLock& operator=(const MaintenanceLock&) = delete;

   private:
    int fd_;
  };
  MaintenanceLock LockMaintenance() const { return MaintenanceLock(file_.get()); }
  // Returns the new version.
  std::uint64_t AdvanceMaintenanceVersion();
  // This process has applied the given version.
  void AcknowledgeMaintenance(std::uint64_t version);
  // Whether every process has applied the given version or a later one.
  bool MaintenanceAcknowledgedByAll(std::uint64_t version) const;

 private:
  struct SharedPage;
  struct Slot;

  void ClaimSlot(const std::string& path);
  void ScheduleNextPoll();
  void CountProcesses();
  bool IsAlive(int slot) const;
  template <typename Function>
  void ForEachOther(Function function) const;

  boost::asio::steady_timer timer_;
  Descriptor file_;
  SharedPage* page_ = nullptr;  // null: no hot restart
  int own_slot_ = -1;
  int processes_ = 1;
  std::function<void()> on_poll_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_HOT_RESTART_H_
