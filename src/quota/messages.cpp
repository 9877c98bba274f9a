// SPDX-License-Identifier: Apache-2.0
#include "quota/messages.h"

#include <stdexcept>

#include "quota/failures.h"

namespace load_balancer::quota {
namespace {

using nlohmann::json;

constexpr std::uint64_t kMostMs = 600'000;
constexpr std::size_t kMostEntries = 256;   // of one list in a message
constexpr std::size_t kMessageBytes = 140;  // of JSON text beside the entries, at most

json EntryOf(const Ask& ask) {
  return {ask.held.partner,
          ask.held.grant.token,
          ask.held.grant.number,
          ask.held.away_ms,
          static_cast<std::uint64_t>(ask.demand),
          static_cast<std::uint64_t>(ask.least)};
}
json EntryOf(const Ack& ack) { return {ack.partner, ack.grant.token, ack.grant.number, ack.away_ms}; }
json EntryOf(const Grant& grant) {
  return {grant.partner,
          grant.ask,
          grant.number,
          static_cast<std::uint64_t>(grant.part.rate),
          static_cast<std::uint64_t>(grant.part.depth),
          grant.life_ms};
}
json EntryOf(const Floor& floor) {
  return {floor.partner, static_cast<std::uint64_t>(floor.part.rate),
          static_cast<std::uint64_t>(floor.part.depth)};
}
json EntryOf(const std::string& partner) { return partner; }

template <typename Entry>
json ListOf(const std::vector<Entry>& entries) {
  json list = json::array();
  for (const Entry& entry : entries) list.push_back(EntryOf(entry));
  return list;
}

// What follows throws json::exception or std::invalid_argument on anything out of form.
std::uint64_t FigureIn(const json& value) {
  if (!value.is_number_unsigned()) throw std::invalid_argument("figure");
  return value.get<std::uint64_t>();
}

std::uint64_t FigureIn(const json& value, std::uint64_t most) {
  const std::uint64_t figure = FigureIn(value);
  if (figure > most) throw std::invalid_argument("figure out of range");
  return figure;
}

Milli MilliIn(const json& value, Milli most) {
  return static_cast<Milli>(FigureIn(value, static_cast<std::uint64_t>(most)));
}

std::string NameIn(const json& value) {
  auto name = value.get<std::string>();
  if (name.empty() || name.size() > kMostPartner) throw std::invalid_argument("name");
  return name;
}

const json& EntryIn(const json& value, std::size_t fields) {
  if (!value.is_array() || value.size() != fields) throw std::invalid_argument("entry");
  return value;
}

template <typename Entry, typename Read>
std::vector<Entry> ListIn(const json& root, const char* key, Read read) {
  const json& list = root.at(key);
  if (!list.is_array() || list.size() > kMostEntries) throw std::invalid_argument("list");
  std::vector<Entry> entries;
  entries.reserve(list.size());
  for (const json& entry : list) entries.push_back(read(entry));
  return entries;
}

Ack AckIn(const json& value) {
  EntryIn(value, 4);
  return {NameIn(value[0]), {FigureIn(value[1]), FigureIn(value[2])}, FigureIn(value[3], kMostMs)};
}

Ask AskIn(const json& value) {
  EntryIn(value, 6);
  Ask ask{{NameIn(value[0]), {FigureIn(value[1]), FigureIn(value[2])}, FigureIn(value[3], kMostMs)}};
  ask.demand = MilliIn(value[4], kMostRate);
  ask.least = MilliIn(value[5], kMostBurst);
  return ask;
}

Grant GrantIn(const json& value) {
  EntryIn(value, 6);
  return {NameIn(value[0]),
          FigureIn(value[1]),
          FigureIn(value[2]),
          {MilliIn(value[3], kMostRate), MilliIn(value[4], kMostBurst)},
          FigureIn(value[5], kMostMs)};
}

Floor FloorIn(const json& value) {
  EntryIn(value, 3);
  return {NameIn(value[0]), {MilliIn(value[1], kMostRate), MilliIn(value[2], kMostBurst)}};
}

template <typename Message, typename Read>
Result<Message> Checked(const json& root, std::size_t keys, const std::string& from, Read read) {
  try {
    if (!root.is_object() || root.size() != keys) throw std::invalid_argument("keys");
    return read();
  } catch (const json::exception& fault) {
    return tl::unexpected(Failure(kBadMessage, from, fault.what()));
  } catch (const std::invalid_argument& fault) {
    return tl::unexpected(Failure(kBadMessage, from, fault.what()));
  }
}

// Moves entries of `all` into messages that begin as copies of `empty`, as many into each as have room.
template <typename Message>
class Packer {
 public:
  explicit Packer(Message empty) : empty_(std::move(empty)) {}

  template <typename Entry>
  void Add(const std::vector<Entry>& entries, std::vector<Entry> Message::*list) {
    for (const Entry& entry : entries) {
      const std::size_t bytes = EntryOf(entry).dump().size() + 1;  // and a comma
      if (messages_.empty() || taken_ + bytes > kMostMessage) {
        messages_.push_back(empty_);
        taken_ = kMessageBytes;
      }
      taken_ += bytes;
      (messages_.back().*list).push_back(entry);
    }
  }

  std::vector<Message> Done() { return std::move(messages_); }

 private:
  Message empty_;
  std::vector<Message> messages_;
  std::size_t taken_ = 0;
};

}  // namespace

json ToJson(const Request& request) {
  return {{"l", request.life},
          {"r", request.revision},
          {"i", request.ask},
          {"a", ListOf(request.asks)},
          {"k", ListOf(request.acks)}};
}

json ToJson(const Answer& answer) {
  return {{"l", answer.life},          {"r", answer.revision},       {"t", answer.token},
          {"g", answer.agreed},        {"d", ListOf(answer.grants)}, {"c", ListOf(answer.calls)},
          {"f", ListOf(answer.floors)}};
}

Result<Request> RequestFromJson(const json& root, const std::string& from) {
  return Checked<Request>(root, 5, from, [&root] {
    Request request;
    request.life = FigureIn(root.at("l"));
    request.revision = FigureIn(root.at("r"));
    request.ask = FigureIn(root.at("i"));
    request.asks = ListIn<Ask>(root, "a", AskIn);
    request.acks = ListIn<Ack>(root, "k", AckIn);
    return request;
  });
}

Result<Answer> AnswerFromJson(const json& root, const std::string& from) {
  return Checked<Answer>(root, 7, from, [&root] {
    Answer answer;
    answer.life = FigureIn(root.at("l"));
    answer.revision = FigureIn(root.at("r"));
    answer.token = FigureIn(root.at("t"));
    answer.agreed = root.at("g").get<bool>();
    answer.grants = ListIn<Grant>(root, "d", GrantIn);
    answer.calls = ListIn<std::string>(root, "c", NameIn);
    answer.floors = ListIn<Floor>(root, "f", FloorIn);
    return answer;
  });
}

std::vector<Request> Split(const Request& request) {
  Packer<Request> packer({request.life, request.revision, request.ask, {}, {}});
  packer.Add(request.asks, &Request::asks);
  packer.Add(request.acks, &Request::acks);
  return packer.Done();
}

std::vector<Answer> Split(const Answer& answer) {
  Packer<Answer> packer({answer.life, answer.revision, answer.token, answer.agreed, {}, {}, {}});
  packer.Add(answer.grants, &Answer::grants);
  packer.Add(answer.calls, &Answer::calls);
  packer.Add(answer.floors, &Answer::floors);
  return packer.Done();
}

}  // namespace load_balancer::quota
