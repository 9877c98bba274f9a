// SPDX-License-Identifier: Apache-2.0
#include "quota/message_split.h"

#include <utility>

#include "quota/message_codec.h"

namespace load_balancer::quota {
namespace {

// An upper bound of the length of a message's JSON text, without the message's entries.
constexpr std::size_t kHeaderBytes = 140;

// Distributes entries over messages, each of which starts as a copy of an empty message.
template <typename Message>
class Packer {
 public:
  explicit Packer(Message empty) : empty_(std::move(empty)) {}

  template <typename Entry>
  void Add(const std::vector<Entry>& entries, std::vector<Entry> Message::*list) {
    for (const Entry& entry : entries) {
      const std::size_t bytes = EntryToJson(entry).dump().size() + 1;  // 1 for the comma
      if (messages_.empty() || used_bytes_ + bytes > kMaxMessageBytes) {
        messages_.push_back(empty_);
        used_bytes_ = kHeaderBytes;
      }
      used_bytes_ += bytes;
      (messages_.back().*list).push_back(entry);
    }
  }

  std::vector<Message> TakeMessages() { return std::move(messages_); }

 private:
  Message empty_;
  std::vector<Message> messages_;
  std::size_t used_bytes_ = 0;  // upper bound of the size of the last message
};

}  // namespace

std::vector<AllocationRequest> Split(const AllocationRequest& request) {
  Packer<AllocationRequest> packer({request.incarnation, request.revision, request.number, {}, {}});
  packer.Add(request.grant_requests, &AllocationRequest::grant_requests);
  packer.Add(request.acks, &AllocationRequest::acks);
  return packer.TakeMessages();
}

std::vector<AllocationResponse> Split(const AllocationResponse& response) {
  Packer<AllocationResponse> packer(
      {response.incarnation, response.revision, response.token, response.is_agreed, {}, {}, {}});
  packer.Add(response.grants, &AllocationResponse::grants);
  packer.Add(response.recalls, &AllocationResponse::recalls);
  packer.Add(response.reserved_minimums, &AllocationResponse::reserved_minimums);
  return packer.TakeMessages();
}

}  // namespace load_balancer::quota
