// SPDX-License-Identifier: Apache-2.0
#include "base/error/failure.h"

namespace load_balancer {

std::string Failure::Text() const {
  std::string text(kind_->code);
  text.append(" ").append(kind_->what);
  if (!where_.empty()) text.append(": ").append(where_);
  if (!detail_.empty()) text.append(" (").append(detail_).append(")");
  return text.append("; ").append(kind_->advice);
}

}  // namespace load_balancer
