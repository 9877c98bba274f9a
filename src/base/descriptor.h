// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// An owned file descriptor.
#ifndef LOAD_BALANCER_BASE_DESCRIPTOR_H_
#define LOAD_BALANCER_BASE_DESCRIPTOR_H_

#include <unistd.h>

#include <utility>

namespace load_balancer {

/// Closes its file descriptor when it is destroyed or assigned to.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() { Close(); }
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, kNone)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    if (this == &other) return *this;
    Close();
    fd_ = std::exchange(other.fd_, kNone);
    return *this;
  }

  /// Whether there is a descriptor: false after a failed open.
  explicit operator bool() const { return fd_ >= 0; }
  int get() const { return fd_; }

 private:
  static constexpr int kNone = -1;

  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = kNone;
  }

  int fd_ = kNone;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_BASE_DESCRIPTOR_H_
