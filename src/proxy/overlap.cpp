// SPDX-License-Identifier: Apache-2.0
#include "overlap.h"

#include <fcntl.h>
#include <sys/mman.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

namespace brackenspoke::proxy {
namespace {

constexpr int kSlots = 4;              // processes at a time; an upgrade has two
constexpr off_t kChangeLock = kSlots;  // the byte that is locked for changes of the maintenance file
constexpr std::chrono::milliseconds kLook{20};

struct flock LockOf(short type, off_t byte) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = byte;
  lock.l_len = 1;
  return lock;
}

[[noreturn]] void Fail(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), what);
}

}  // namespace

struct Overlap::Slot {
  std::atomic<std::uint64_t> clients, backends, buffers, listening, taking, seen;
};

// A new file is all zero, which is how a page begins.
struct Overlap::Page {
  std::atomic<std::uint64_t> version, listeners;
  Slot slots[kSlots];
};

Overlap::Overlap(boost::asio::io_context& io, const std::string& path) : timer_(io) {
  static_assert(std::atomic<std::uint64_t>::is_always_lock_free, "shared by processes");
  if (path.empty()) return;
  file_ = Descriptor(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!file_) Fail(path);
  if (::ftruncate(file_.get(), sizeof(Page)) != 0) Fail(path);
  void* const mapped = ::mmap(nullptr, sizeof(Page), PROT_READ | PROT_WRITE, MAP_SHARED, file_.get(), 0);
  if (mapped == MAP_FAILED) Fail(path);
  page_ = static_cast<Page*>(mapped);
  for (int slot = 0; slot < kSlots && me_ < 0; ++slot) {
    struct flock lock = LockOf(F_WRLCK, slot);
    if (::fcntl(file_.get(), F_OFD_SETLK, &lock) == 0) me_ = slot;
  }
  if (me_ < 0) {
    ::munmap(page_, sizeof(Page));
    errno = EBUSY;
    Fail(path);
  }
  // Whoever had the slot before has ended.
  Slot& mine = page_->slots[me_];
  for (auto* figure : {&mine.clients, &mine.backends, &mine.buffers, &mine.listening, &mine.taking})
    figure->store(0);
  mine.seen = page_->version.load();
  EachOther([this](const Slot&) { ++processes_; });
}

Overlap::~Overlap() {
  if (page_) ::munmap(page_, sizeof(Page));
}

void Overlap::Watch(std::function<void()> on_look) {
  on_look_ = std::move(on_look);
  if (page_) Look();
}

void Overlap::Look() {
  timer_.expires_after(kLook);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    processes_ = 1;
    EachOther([this](const Slot&) { ++processes_; });
    on_look_();
    Look();
  });
}

bool Overlap::Alive(int slot) const {
  struct flock lock = LockOf(F_WRLCK, slot);
  return ::fcntl(file_.get(), F_OFD_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
}

template <typename Function>
void Overlap::EachOther(Function function) const {
  for (int slot = 0; page_ && slot < kSlots; ++slot) {
    if (slot != me_ && Alive(slot)) function(page_->slots[slot]);
  }
}

Overlap::Use Overlap::Others() const {
  Use sum;
  if (processes_ == 1) return sum;
  EachOther([&sum](const Slot& other) {
    sum.clients += other.clients;
    sum.backends += other.backends;
    sum.buffers += other.buffers;
  });
  return sum;
}

void Overlap::Publish(const Use& use) {
  if (!page_) return;
  Slot& mine = page_->slots[me_];
  mine.clients = use.clients;
  mine.backends = use.backends;
  mine.buffers = use.buffers;
}

void Overlap::Listening() {
  if (page_) page_->slots[me_].listening = ++page_->listeners;
}

void Overlap::SetTaking(bool taking) {
  if (page_) page_->slots[me_].taking = taking;
}

bool Overlap::OtherTakes() const {
  bool takes = false;
  EachOther([&takes](const Slot& other) { takes |= other.taking != 0; });
  return takes;
}

bool Overlap::OtherIsLater() const {
  bool later = false;
  EachOther([&](const Slot& other) { later |= other.listening > page_->slots[me_].listening; });
  return later;
}

std::uint64_t Overlap::version() const { return page_ ? page_->version.load() : 0; }

Overlap::Lock::Lock(int fd) : fd_(fd) {
  struct flock lock = LockOf(F_WRLCK, kChangeLock);
  while (fd_ >= 0 && ::fcntl(fd_, F_OFD_SETLKW, &lock) != 0) {
    if (errno != EINTR) Fail("maintenance lock");
  }
}

Overlap::Lock::~Lock() {
  struct flock lock = LockOf(F_UNLCK, kChangeLock);
  if (fd_ >= 0) ::fcntl(fd_, F_OFD_SETLK, &lock);
}

std::uint64_t Overlap::NextVersion() { return page_ ? ++page_->version : 0; }

void Overlap::Seen(std::uint64_t version) {
  if (page_) page_->slots[me_].seen = version;
}

bool Overlap::SeenByAll(std::uint64_t version) const {
  bool all = true;
  EachOther([&](const Slot& other) { all &= other.seen >= version; });
  return all;
}

}  // namespace brackenspoke::proxy
