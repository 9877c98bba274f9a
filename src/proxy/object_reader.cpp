// SPDX-License-Identifier: Apache-2.0
#include "object_reader.h"

#include <utility>

#include "free_memory.h"

namespace load_balancer::proxy {

ObjectReader::Result ObjectReader::Next(std::string* object) {
  while (scanned_ < text_.size()) {
    const bool within = depth_ > 0;
    const char c = text_[scanned_];
    if (!(in_string_ ? TakeInString(c) : TakeBetweenTokens(c))) return Result::kGarbled;
    if (!within) begin_ = scanned_;
    ++scanned_;
    if (!within || depth_ > 0) continue;
    object->assign(text_, begin_, scanned_ - begin_);
    ++whole_;
    return Result::kObject;
  }
  text_.erase(0, depth_ > 0 ? begin_ : scanned_);
  scanned_ = text_.size();
  begin_ = 0;
  if (text_.empty()) FreeMemory(text_);
  return text_.size() > most_bytes_ ? Result::kGarbled : Result::kNeedMore;
}

bool ObjectReader::TakeInString(char c) {
  if (c == '\n') return false;
  if (escaped_) {
    escaped_ = false;
  } else if (c == '\\') {
    escaped_ = true;
  } else if (c == '"') {
    in_string_ = false;
  }
  return true;
}

bool ObjectReader::TakeBetweenTokens(char c) {
  if (c == '\n') {
    if (depth_ == 0) ++whole_;
    return !(std::exchange(line_empty_, true) && depth_ > 0);
  }
  if (c == ' ' || c == '\t' || c == '\r') return true;
  line_empty_ = false;
  if (depth_ == 0 && c != '{') return false;
  if (c == '"') in_string_ = true;
  if (c == '{' || c == '[') ++depth_;
  if (c == '}' || c == ']') --depth_;
  return true;
}

}  // namespace load_balancer::proxy
