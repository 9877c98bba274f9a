// SPDX-License-Identifier: Apache-2.0
//
// A file descriptor and its owner.
#ifndef LOAD_BALANCER_BASE_DESCRIPTOR_H_
#define LOAD_BALANCER_BASE_DESCRIPTOR_H_

#include <unistd.h>

#include <utility>

namespace load_balancer {

class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() { Close(); }
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    if (this != &other) Close(), fd_ = std::exchange(other.fd_, -1);
    return *this;
  }

  explicit operator bool() const { return fd_ >= 0; }
  int get() const { return fd_; }

 private:
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

  int fd_ = -1;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_BASE_DESCRIPTOR_H_
