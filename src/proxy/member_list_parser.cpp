// SPDX-License-Identifier: Apache-2.0
//
// Parses the text of an endpoint list entry by entry, so that a list of any content needs little memory.
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "members.h"

namespace load_balancer::proxy {
namespace {

using nlohmann::json;

bool IsListField(const std::string& key) { return key == "revision" || key == "complete"; }

bool IsEntryField(const std::string& key) {
  return key == "id" || key == "phase" || key == "host_port" || key == "locality" || key == "flavor" ||
         key == "cell" || key == "size" || key == "up_since_ms";
}

// Gets the events of the parser. Each function returns false in order to end the parsing.
class MemberListHandler : public nlohmann::json_sax<json> {
 public:
  MemberListHandler(std::size_t max_entries, std::string* why) : max_entries_(max_entries), why_(*why) {}

  // Returns the list, or nothing and the reason in `why`, after the last event.
  std::optional<MemberList> Finish() {
    if (!has_members_) {
      Fail("members is no list");
      return std::nullopt;
    }
    MemberList list = ReadListHead(head_, &why_);
    if (!why_.empty()) return std::nullopt;
    list.members = std::move(members_);
    return list;
  }

  bool null() override { return OnValue(nullptr); }
  bool boolean(bool value) override { return OnValue(value); }
  bool number_integer(number_integer_t value) override { return OnValue(value); }
  bool number_unsigned(number_unsigned_t value) override { return OnValue(value); }
  bool number_float(number_float_t value, const string_t&) override { return OnValue(value); }
  bool string(string_t& value) override { return OnValue(std::move(value)); }
  bool binary(binary_t&) override { return OnValue(nullptr); }
  bool key(string_t& name) override {
    key_ = std::move(name);
    return true;
  }
  bool start_object(std::size_t) override {
    if (depth_ == kMembersDepth && in_members_) {
      entry_ = json::object();
    } else if (!OnNested(json::object())) {
      return false;
    }
    ++depth_;
    return true;
  }
  bool end_object() override {
    --depth_;
    return depth_ != kMembersDepth || !in_members_ || AddMember();
  }
  bool start_array(std::size_t) override {
    if (depth_ == kListDepth && key_ == "members") {
      in_members_ = has_members_ = true;
      members_.clear();
    } else if (!OnNested(json::array())) {
      return false;
    }
    ++depth_;
    return true;
  }
  bool end_array() override {
    --depth_;
    if (depth_ == kListDepth) in_members_ = false;
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return Fail("not JSON");
  }

 private:
  // How many objects and lists are open around the fields of the list, its entries, and their fields.
  static constexpr int kListDepth = 1, kMembersDepth = 2, kEntryDepth = 3;

  bool Fail(const char* why) {
    why_ = why;
    return false;
  }
  bool OnValue(json value) {
    if (depth_ == kListDepth && IsListField(key_)) head_[key_] = std::move(value);
    if (depth_ == kListDepth && key_ == "members") has_members_ = false;
    if (!in_members_) return true;
    if (depth_ == kMembersDepth) return Fail("an entry is no object");
    if (depth_ == kEntryDepth && IsEntryField(key_)) entry_[key_] = std::move(value);
    return true;
  }
  // Keeps no more of a list or object than that it is one, for the check of types.
  bool OnNested(json empty) { return OnValue(std::move(empty)); }
  bool AddMember() {
    if (members_.size() >= max_entries_) return Fail("too many entries");
    members_.push_back(ReadMember(entry_, &why_));
    return why_.empty();
  }

  const std::size_t max_entries_;
  std::string& why_;
  std::vector<Member> members_;
  json head_ = json::object(), entry_;
  std::string key_;
  int depth_ = 0;
  bool in_members_ = false, has_members_ = false;
};

}  // namespace

std::optional<MemberList> ParseMembers(std::string_view text, std::size_t max_entries, std::string* why) {
  why->clear();
  MemberListHandler handler(max_entries, why);
  try {
    if (!json::sax_parse(text, &handler)) return std::nullopt;
    return handler.Finish();
  } catch (const json::exception& error) {
    *why = error.what();
    return std::nullopt;
  }
}

}  // namespace load_balancer::proxy
