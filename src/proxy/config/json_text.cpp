// SPDX-License-Identifier: Apache-2.0
#include "config/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

#include "config.h"

namespace load_balancer::proxy {
namespace {

using nlohmann::json;

constexpr int kMostDepth = 32;  // of lists and objects within one another; readers follow them by recursion

std::string Place(std::string_view text, std::size_t byte) {
  const std::string_view before = text.substr(0, byte > 0 ? byte - 1 : 0);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t line_end = before.rfind('\n');
  const std::size_t column = before.size() - (line_end == std::string_view::npos ? 0 : line_end + 1) + 1;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

}  // namespace

json ParseObject(std::string_view text) {
  if (text.empty()) throw BadConfig("the configuration is no JSON object: it is empty");
  bool too_deep = false;
  const auto within_depth = [&too_deep](int depth, json::parse_event_t, const json&) {
    too_deep |= depth > kMostDepth;
    return depth <= kMostDepth;
  };
  json root;
  try {
    root = json::parse(text, within_depth);
  } catch (const json::parse_error& error) {
    throw BadConfig("the configuration is no JSON object: it breaks off or is garbled at " +
                    Place(text, error.byte));
  } catch (const json::out_of_range&) {
    throw BadConfig("the configuration is no JSON object: a number in it is too large");
  }
  if (too_deep) throw BadConfig("the configuration is nested too deep");
  if (!root.is_object()) throw BadConfig("the configuration is no JSON object");
  return root;
}

}  // namespace load_balancer::proxy
