// SPDX-License-Identifier: Apache-2.0
//
// Finds the JSON objects in a stream, wherever its reads cut it.
#ifndef LOAD_BALANCER_PROXY_OBJECT_READER_H_
#define LOAD_BALANCER_PROXY_OBJECT_READER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace load_balancer::proxy {

// Objects follow one another, each on one line or over several (RFC 8259 allows whitespace between tokens),
// and empty lines come between them. An empty line within an object, or a line's end within a string, is a
// fault: the writer began anew, and what would follow could never be told from the rest of the broken one.
class ObjectReader {
 public:
  enum class Result { kObject, kNeedMore, kGarbled };

  // `most_bytes`: of one object.
  explicit ObjectReader(std::size_t most_bytes) : most_bytes_(most_bytes) {}

  void Add(std::string_view bytes) { text_ += bytes; }
  // How many bytes are held.
  std::size_t size() const { return text_.size(); }
  // The next object that has come whole, into `object`. Only its outermost braces are certain to match. After
  // kGarbled the stream has no use any more.
  Result Next(std::string* object);
  // How many objects, and line ends between objects, Next has found so far.
  std::size_t whole() const { return whole_; }

 private:
  bool TakeInString(char c);
  bool TakeBetweenTokens(char c);

  std::size_t most_bytes_;
  std::string text_;
  std::size_t begin_ = 0;    // of the open object
  std::size_t scanned_ = 0;  // up to here
  std::size_t whole_ = 0;
  int depth_ = 0;  // of braces and brackets
  bool in_string_ = false, escaped_ = false;
  bool line_empty_ = true;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_OBJECT_READER_H_
