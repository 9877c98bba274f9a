// SPDX-License-Identifier: Apache-2.0
//
// What can go wrong, as operators meet it: each kind has a code that never changes, says what happened and
// what an operator can do, and is listed in docs/errors.md. Each subsystem names its kinds in a header of its
// own, `<subsystem>/failures.h`.
#ifndef LOAD_BALANCER_BASE_ERROR_FAILURE_H_
#define LOAD_BALANCER_BASE_ERROR_FAILURE_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace load_balancer {

// A constant of the program: compared by address.
struct FailureKind {
  std::string_view code;    // subsystem and number, as LEASE-3
  std::string_view what;    // what happened, one clause without a full stop
  std::string_view advice;  // what an operator can do, one sentence without a full stop
};

// One case of a kind.
class [[nodiscard]] Failure {
 public:
  // `where` names what it is about: a file, a peer, a duty; `detail` is what else is known; may be empty.
  Failure(const FailureKind& kind, std::string where, std::string detail = "")
      : kind_(&kind), where_(std::move(where)), detail_(std::move(detail)) {}

  const FailureKind& kind() const { return *kind_; }
  const std::string& where() const { return where_; }
  const std::string& detail() const { return detail_; }

  // "LEASE-3 what happened: where (detail); advice", for a log line or an answer to an operator.
  std::string Text() const;

 private:
  const FailureKind* kind_;
  std::string where_, detail_;
};

template <typename T>
using Result = tl::expected<T, Failure>;

}  // namespace load_balancer

#endif  // LOAD_BALANCER_BASE_ERROR_FAILURE_H_
