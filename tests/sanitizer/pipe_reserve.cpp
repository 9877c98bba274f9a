// SPDX-License-Identifier: Apache-2.0
//
// Linked into the proxy where it is built with sanitizers, and nowhere else. The check of an object's type
// (UBSan, -fsanitize=vptr) opens a pipe to learn whether the memory may be read; without a free descriptor it
// takes the object for a wrong one and ends the process. Here two descriptors of the process's limit are set
// aside for it. All else in the process has two fewer than it was allowed.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace {

constexpr rlim_t kPipeDescriptors = 2;

// Before main, so that the program finds the smaller limit.
[[gnu::constructor]] void SetDescriptorsAside() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur <= kPipeDescriptors) return;
  limit.rlim_cur -= kPipeDescriptors;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

bool IsSanitizer(const void* code) {
  Dl_info object{};
  if (::dladdr(code, &object) == 0 || object.dli_fname == nullptr) return false;
  return std::strstr(object.dli_fname, "libubsan") != nullptr ||
         std::strstr(object.dli_fname, "libasan") != nullptr;
}

int OpenPipe(int* ends) { return static_cast<int>(::syscall(SYS_pipe2, ends, 0)); }

// With the descriptors that were set aside.
int OpenReservedPipe(int* ends) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  rlimit raised = limit;
  raised.rlim_cur = limit.rlim_cur + kPipeDescriptors;
  ::setrlimit(RLIMIT_NOFILE, &raised);
  const int result = OpenPipe(ends);
  const int error = errno;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  errno = error;
  return result;
}

}  // namespace

// In place of the C library's.
extern "C" int pipe(int ends[2]) noexcept {
  const int result = OpenPipe(ends);
  if (result == 0 || errno != EMFILE || !IsSanitizer(__builtin_return_address(0))) return result;
  return OpenReservedPipe(ends);
}
