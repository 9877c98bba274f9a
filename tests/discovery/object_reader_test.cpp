// SPDX-License-Identifier: Apache-2.0
//
// Lists on one line or on several, cut anywhere.
#include "object_reader.h"

#include <gtest/gtest.h>

#include "loopback.h"

namespace load_balancer::testing {
namespace {

using proxy::ObjectReader;

const char kGarbled[] = "garbled";

// The objects that are found in a stream that comes in these pieces; kGarbled last, if the stream is.
std::vector<std::string> Read(const std::vector<std::string>& pieces, std::size_t most_bytes = 1 << 20) {
  ObjectReader reader(most_bytes);
  std::vector<std::string> found;
  for (const std::string& piece : pieces) {
    reader.Add(piece);
    std::string object;
    auto result = reader.Next(&object);
    for (; result == ObjectReader::Result::kObject; result = reader.Next(&object))
      found.push_back(nlohmann::json::parse(object).dump());
    if (result != ObjectReader::Result::kGarbled) continue;
    found.emplace_back(kGarbled);
    break;
  }
  return found;
}

// Expects the same of it whole, of it in two at every place, and byte by byte.
void ExpectAtEveryCut(const std::string& stream, const std::vector<std::string>& found) {
  EXPECT_EQ(Read({stream}), found) << stream;
  std::vector<std::string> bytes;
  for (std::size_t cut = 0; cut < stream.size(); ++cut) {
    EXPECT_EQ(Read({stream.substr(0, cut), stream.substr(cut)}), found) << cut << " of " << stream;
    bytes.push_back(stream.substr(cut, 1));
  }
  EXPECT_EQ(Read(bytes), found) << stream;
}

TEST(ObjectReader, AListCutAtAnyByteIsTheSameList) {
  const Tcp::endpoint at(kAnyPort.address(), 9);
  auto odd = MemberJson("s-\"1\\", at);
  odd["locality"] = "}]{[\\\"\t\n";
  const auto first = ListJson(42, true, Members(odd, MemberJson("s-2", at)));
  const auto second = ListJson(43, false, Members(MemberJson("s-2", at, "terminating")));
  const auto none = ListJson(44, false, {});
  std::string windows = first.dump(1, '\t');
  for (std::size_t end = 0; (end = windows.find('\n', end)) != std::string::npos; end += 2)
    windows.replace(end, 1, "\r\n");
  const std::vector<std::string> found{first.dump(), second.dump(), none.dump(), first.dump()};
  std::string stream = "\n";
  for (const std::string& text :
       {first.dump(2) + "\n\n\n", second.dump() + "\n", none.dump(0) + "\r\n\r\n", windows})
    stream += text;
  ExpectAtEveryCut(stream, found);
}

TEST(ObjectReader, WhatIsNoStreamOfObjectsIsToldAtEveryCut) {
  for (const char* stream : {"[]\n", "}\n", "x\n", "\"{}\"\n", "{\"revision\":\n\n",
                             "{\"members\":[ \n \t\r\n", "{\"revision\":\"4\n2\"}\n"})
    ExpectAtEveryCut(stream, {kGarbled});
  ExpectAtEveryCut("{\"a\":1}\n{\"b\":\n\n{\"c\":3}\n", {"{\"a\":1}", kGarbled});
}

TEST(ObjectReader, AnObjectWithoutEndIsGivenUp) {
  EXPECT_EQ(Read({"{\"a\":1234567", "89"}, 12), std::vector<std::string>{kGarbled});
  EXPECT_EQ(Read({"{\"a\":1}\n{\"b\":2}\n", "{\"c\":3}\n"}, 12).size(), 3u);
}

}  // namespace
}  // namespace load_balancer::testing
