// SPDX-License-Identifier: Apache-2.0
#include "quota/messages.h"

#include <stdexcept>

#include "quota/failures.h"

namespace brackenspoke::quota {
namespace {

using nlohmann::json;

constexpr std::uint64_t kMostMs = 600'000;
constexpr std::size_t kMostEntries = 256;  // of one list in a message
// Bytes of JSON text beside the entries; and of an entry beside its name: brackets, commas, quotes and six
// figures of at most 20 digits.
constexpr std::size_t kMessageBytes = 140;
constexpr std::size_t kEntryBytes = 12 + 6 * 21;

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

Draw DrawIn(const json& value) {
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

  template <typename Entry, typename Name>
  void Add(const std::vector<Entry>& entries, std::vector<Entry> Message::*list, Name name) {
    for (const Entry& entry : entries) {
      const std::size_t bytes = kEntryBytes + json(name(entry)).dump().size();
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

const auto kPartner = [](const auto& entry) -> const std::string& { return entry.partner; };

}  // namespace

json ToJson(const Request& request) {
  json asks = json::array(), acks = json::array();
  for (const Ask& ask : request.asks)
    asks.push_back({ask.held.partner, ask.held.draw.token, ask.held.draw.number, ask.held.away_ms,
                    static_cast<std::uint64_t>(ask.demand), static_cast<std::uint64_t>(ask.least)});
  for (const Ack& ack : request.acks)
    acks.push_back({ack.partner, ack.draw.token, ack.draw.number, ack.away_ms});
  return {{"l", request.life}, {"r", request.revision}, {"i", request.ask}, {"a", asks}, {"k", acks}};
}

json ToJson(const Answer& answer) {
  json draws = json::array(), floors = json::array();
  for (const Draw& draw : answer.draws)
    draws.push_back({draw.partner, draw.ask, draw.number, static_cast<std::uint64_t>(draw.part.rate),
                     static_cast<std::uint64_t>(draw.part.depth), draw.life_ms});
  for (const Floor& floor : answer.floors)
    floors.push_back({floor.partner, static_cast<std::uint64_t>(floor.part.rate),
                      static_cast<std::uint64_t>(floor.part.depth)});
  return {{"l", answer.life}, {"r", answer.revision}, {"t", answer.token}, {"g", answer.agreed},
          {"d", draws},       {"c", answer.calls},    {"f", floors}};
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
    answer.draws = ListIn<Draw>(root, "d", DrawIn);
    answer.calls = ListIn<std::string>(root, "c", NameIn);
    answer.floors = ListIn<Floor>(root, "f", FloorIn);
    return answer;
  });
}

std::vector<Request> Split(const Request& request) {
  Packer<Request> packer({request.life, request.revision, request.ask, {}, {}});
  packer.Add(request.asks, &Request::asks, [](const Ask& ask) { return ask.held.partner; });
  packer.Add(request.acks, &Request::acks, kPartner);
  return packer.Done();
}

std::vector<Answer> Split(const Answer& answer) {
  Packer<Answer> packer({answer.life, answer.revision, answer.token, answer.agreed, {}, {}, {}});
  packer.Add(answer.draws, &Answer::draws, kPartner);
  packer.Add(answer.calls, &Answer::calls, [](const std::string& partner) { return partner; });
  packer.Add(answer.floors, &Answer::floors, kPartner);
  return packer.Done();
}

}  // namespace brackenspoke::quota
