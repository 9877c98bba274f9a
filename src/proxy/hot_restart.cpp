// SPDX-License-Identifier: Apache-2.0
#include "hot_restart.h"

#include <fcntl.h>
#include <sys/mman.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

namespace load_balancer::proxy {
namespace {

constexpr int kMaxProcesses = 4;  // at a time; a hot restart has two
// The bytes of the file that are locked: one for each slot, and one for changes of the maintenance file.
constexpr off_t kMaintenanceLockByte = kMaxProcesses;
constexpr mode_t kFileMode = 0600;
constexpr std::chrono::milliseconds kPollInterval{20};

struct flock ByteLock(short type, off_t byte) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = byte;
  lock.l_len = 1;
  return lock;
}

[[noreturn]] void ThrowSystemError(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), what);
}

}  // namespace

// The layout of Slot and SharedPage is an interface: the other process may be of another version of the
// program.
struct HotRestart::Slot {
  std::atomic<std::uint64_t> clients, backends, memory;  // the process's usage
  std::atomic<std::uint64_t> listener;                   // its listener's number; 0: none
  std::atomic<std::uint64_t> accepting;                  // 0 or 1
  std::atomic<std::uint64_t> maintenance;                // the version that it has applied
};

// A new file is all zero, which is the initial state.
struct HotRestart::SharedPage {
  std::atomic<std::uint64_t> maintenance_version, listeners;
  Slot slots[kMaxProcesses];
};

HotRestart::HotRestart(boost::asio::io_context& io, const std::string& path) : timer_(io) {
  static_assert(std::atomic<std::uint64_t>::is_always_lock_free, "shared between processes");
  if (path.empty()) return;
  file_ = Descriptor(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (!file_) ThrowSystemError(path);
  if (::ftruncate(file_.get(), sizeof(SharedPage)) != 0) ThrowSystemError(path);
  void* const mapped =
      ::mmap(nullptr, sizeof(SharedPage), PROT_READ | PROT_WRITE, MAP_SHARED, file_.get(), 0);
  if (mapped == MAP_FAILED) ThrowSystemError(path);
  page_ = static_cast<SharedPage*>(mapped);
  ClaimSlot(path);
  CountProcesses();
}

HotRestart::~HotRestart() {
  if (page_) ::munmap(page_, sizeof(SharedPage));
}

void HotRestart::ClaimSlot(const std::string& path) {
  for (int slot = 0; slot < kMaxProcesses && own_slot_ < 0; ++slot) {
    struct flock lock = ByteLock(F_WRLCK, slot);
    if (::fcntl(file_.get(), F_OFD_SETLK, &lock) == 0) own_slot_ = slot;
  }
  if (own_slot_ < 0) {
    ::munmap(page_, sizeof(SharedPage));
    errno = EBUSY;
    ThrowSystemError(path);
  }
  // The process that had the slot before has ended.
  Slot& own = page_->slots[own_slot_];
  for (auto* figure : {&own.clients, &own.backends, &own.memory, &own.listener, &own.accepting})
    figure->store(0);
  own.maintenance = page_->maintenance_version.load();
}

void HotRestart::StartPolling(std::function<void()> on_poll) {
  on_poll_ = std::move(on_poll);
  if (page_) ScheduleNextPoll();
}

void HotRestart::ScheduleNextPoll() {
  timer_.expires_after(kPollInterval);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    CountProcesses();
    on_poll_();
    ScheduleNextPoll();
  });
}

void HotRestart::CountProcesses() {
  processes_ = 1;
  ForEachOther([this](const Slot&) { ++processes_; });
}

bool HotRestart::IsAlive(int slot) const {
  struct flock lock = ByteLock(F_WRLCK, slot);
  return ::fcntl(file_.get(), F_OFD_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
}

template <typename Function>
void HotRestart::ForEachOther(Function function) const {
  for (int slot = 0; page_ && slot < kMaxProcesses; ++slot) {
    if (slot != own_slot_ && IsAlive(slot)) function(page_->slots[slot]);
  }
}

HotRestart::ResourceUsage HotRestart::UsageOfOthers() const {
  ResourceUsage sum;
  if (processes_ == 1) return sum;
  ForEachOther([&sum](const Slot& other) {
    sum.clients += other.clients;
    sum.backends += other.backends;
    sum.memory += other.memory;
  });
  return sum;
}

void HotRestart::PublishUsage(const ResourceUsage& usage) {
  if (!page_) return;
  Slot& own = page_->slots[own_slot_];
  own.clients = usage.clients;
  own.backends = usage.backends;
  own.memory = usage.memory;
}

void HotRestart::RegisterListener() {
  if (page_) page_->slots[own_slot_].listener = ++page_->listeners;
}

void HotRestart::SetAccepting(bool accepting) {
  if (page_) page_->slots[own_slot_].accepting = accepting;
}

bool HotRestart::OtherAccepts() const {
  bool accepts = false;
  ForEachOther([&accepts](const Slot& other) { accepts |= other.accepting != 0; });
  return accepts;
}

bool HotRestart::OtherListensLater() const {
  bool later = false;
  ForEachOther([&](const Slot& other) { later |= other.listener > page_->slots[own_slot_].listener; });
  return later;
}

std::uint64_t HotRestart::maintenance_version() const {
  return page_ ? page_->maintenance_version.load() : 0;
}

HotRestart::MaintenanceLock::MaintenanceLock(int fd) : fd_(fd) {
  struct flock lock = ByteLock(F_WRLCK, kMaintenanceLockByte);
  while (fd_ >= 0 && ::fcntl(fd_, F_OFD_SETLKW, &lock) != 0) {
    if (errno != EINTR) ThrowSystemError("maintenance lock");
  }
}

HotRestart::MaintenanceLock::~MaintenanceLock() {
  struct flock lock = ByteLock(F_UNLCK, kMaintenanceLockByte);
  if (fd_ >= 0) ::fcntl(fd_, F_OFD_SETLK, &lock);
}

std::uint64_t HotRestart::AdvanceMaintenanceVersion() { return page_ ? ++page_->maintenance_version : 0; }

void HotRestart::AcknowledgeMaintenance(std::uint64_t version) {
  if (page_) page_->slots[own_slot_].maintenance = version;
}

bool HotRestart::MaintenanceAcknowledgedByAll(std::uint64_t version) const {
  bool all = true;
  ForEachOther([&](const Slot& other) { all &= other.maintenance >= version; });
  return all;
}

}  // namespace load_balancer::proxy
