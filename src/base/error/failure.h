// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Failures as operators see them. Each kind has a code that never changes, a description and advice, and is
/// listed in docs/errors.md. Each subsystem defines its kinds in `<subsystem>/failures.h`.
#ifndef LOAD_BALANCER_BASE_ERROR_FAILURE_H_
#define LOAD_BALANCER_BASE_ERROR_FAILURE_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace load_balancer {

/// A kind of failure: a constant of the program, compared by address.
struct FailureKind {
  std::string_view code;    ///< subsystem and number, such as LEASE-3
  std::string_view what;    ///< what happened: one clause without a full stop
  std::string_view advice;  ///< what an operator can do: one sentence without a full stop
};

/// An occurrence of a kind.
class [[nodiscard]] Failure {
 public:
  /// `where` names the subject, such as a file, a peer or a duty; `detail` is further information. Both may
  /// be empty.
  Failure(const FailureKind& kind, std::string where, std::string detail = "")
      : kind_(&kind), where_(std::move(where)), detail_(std::move(detail)) {}

  const FailureKind& kind() const { return *kind_; }
  const std::string& where() const { return where_; }
  const std::string& detail() const { return detail_; }

  /// "LEASE-3 what happened: where (detail); advice", for a log line or an answer to an operator.
  std::string Text() const;

 private:
  const FailureKind* kind_;
  std::string where_;
  std::string detail_;
};

/// A value, or the failure to obtain one.
template <typename T>
using Result = tl::expected<T, Failure>;

}  // namespace load_balancer

#endif  // LOAD_BALANCER_BASE_ERROR_FAILURE_H_
