// SPDX-License-Identifier: Apache-2.0
#include "model/lease/cluster.h"

#include <xxhash.h>

#include <algorithm>

#include "fleet/lease/fingerprint.h"

namespace load_balancer::model {
namespace {

using fleet::LeaseMessage;
using Kind = Step::Kind;

constexpr char kDuty[] = "d";
constexpr std::chrono::milliseconds kSixth(500);  // of three seconds of true time

fleet::Leases::Endpoint AddressOf(std::size_t index) {
  return {boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(index + 1)};
}

bool Equal(const LeaseMessage& a, const LeaseMessage& b) {
  return a.type == b.type && a.token == b.token && a.holder == b.holder &&
         a.request_number == b.request_number && a.requested_token == b.requested_token &&
         a.retry_after_ms == b.retry_after_ms && a.denial_reason == b.denial_reason;
}

std::string NameOf(std::size_t index) { return std::string(1, static_cast<char>('A' + index)); }

}  // namespace

Table::Table(const TableOptions& options) : options_(options) {
  for (std::size_t i = 0; i < kSeats; ++i) {
    seats_[i].table = this;
    seats_[i].index = i;
    if (options_.disks) seats_[i].disk.emplace();
    Sit(i);
  }
}

Time Table::Now(std::size_t index) const {
  return Time(std::chrono::hours(1)) + passed_ * options_.sixths[index] * kSixth;
}

std::uint64_t Table::Wall(std::size_t index) const {
  return options_.walls_run ? static_cast<std::uint64_t>(1 + passed_) : 1 + 2 * index;
}

void Table::Seat::Send(const fleet::Leases::Endpoint& to, const LeaseMessage& message) {
  if (message.type == LeaseMessage::Type::kDenial) return;
  const std::size_t other = to.port() - 1u;
  const bool known = std::any_of(table->letters_.begin(), table->letters_.end(), [&](const Letter& each) {
    return each.from == index && each.to == other && Equal(each.message, message);
  });
  if (!known) table->letters_.push_back({index, other, message});
}

void Table::Seat::OnLeaseStatus(const std::string&, fleet::LeaseStatus status, fleet::FencingToken token,
                                Span, std::string_view) {
  if (status != fleet::LeaseStatus::kHolder) return;
  if (token == table->newest_ && table->newest_of_ != index) table->broken_ = "two have had one token";
  table->newest_ = token;
  table->newest_of_ = index;
}

bool Table::Seat::Save(const fleet::StoredVotes& votes) {
  disk = votes;
  return true;
}

void Table::Sit(std::size_t index) {
  Seat& seat = seats_[index];
  fleet::LeaseOptions options;
  options.holder = NameOf(index) + "/" + std::to_string(++seat.life);
  options.address = AddressOf(index);
  for (std::size_t i = 0; i < kSeats; ++i) options.voters.push_back(AddressOf(i));
  options.term = index == 0 ? options_.first_term : options_.term;
  options.drift = options_.drift;
  options.leased_roles = {{kDuty, fleet::LeasedRoleKind::kExclusive}};
  options.seed = index;
  options.stored_votes = seat.disk;
  options.vote_store = &seat;
  seat.proof.reset();
  seat.released = false;
  seat.leases = std::make_unique<fleet::Leases>(std::move(options), Now(index), seat);
}

std::vector<Step> Table::Steps() const {
  std::vector<Step> steps{{Kind::kTime, 1}, {Kind::kTime, 5}};
  for (std::uint8_t i = 0; i < kSeats; ++i) {
    const Seat& seat = seats_[i];
    if (seat.leases->Next() <= Now(i)) steps.push_back({Kind::kTick, i});
    if (seat.proof) steps.push_back({Kind::kAct, i});
    if (seat.leases->status(Now(i), kDuty) == fleet::LeaseStatus::kHolder) {
      if (!seat.proof && proofs_ < options_.max_proofs) steps.push_back({Kind::kCheck, i});
      if (faults_ < options_.most_faults) steps.push_back({Kind::kGiveBack, i});
    }
    if (seat.released) steps.push_back({Kind::kResume, i});
    if (faults_ == options_.most_faults) continue;
    steps.push_back({Kind::kRestart, i});
    steps.push_back({Kind::kRestartWithoutDisk, i});
  }
  for (std::uint8_t i = 0; i < letters_.size(); ++i) {
    steps.push_back({Kind::kDeliver, i});
    if (faults_ < options_.most_faults) steps.push_back({Kind::kDouble, i});
  }
  return steps;
}

void Table::Do(const Step& step) {
  if (step.kind == Kind::kTime) {
    passed_ += step.which;
  } else if (step.kind <= Kind::kLose && step.which >= letters_.size()) {
    return;  // a beginning's message that was never sent
  } else if (step.kind == Kind::kLose) {
    letters_.erase(letters_.begin() + step.which);
  } else if (step.kind == Kind::kDeliver || step.kind == Kind::kDouble) {
    const Letter letter = letters_[step.which];
    if (step.kind == Kind::kDouble)
      ++faults_;
    else
      letters_.erase(letters_.begin() + step.which);
    seats_[letter.to].leases->Receive(Now(letter.to), AddressOf(letter.from), letter.message);
  } else {
    Seat& seat = seats_[step.which];
    const Time now = Now(step.which);
    switch (step.kind) {
      case Kind::kTick:
        seat.leases->Tick(now, Wall(step.which));
        break;
      case Kind::kCheck:
        ++proofs_;
        seat.proof = seat.leases->ProveLease(now, kDuty);
        break;
      case Kind::kAct:
        Act(step.which);
        break;
      case Kind::kGiveBack:
        ++faults_;
        seat.released = true;
        seat.leases->Release(now);
        break;
      case Kind::kResume:
        seat.released = false;
        seat.leases->Resume(now);
        break;
      default:
        if (step.kind == Kind::kRestartWithoutDisk) seat.disk.reset();
        ++faults_;
        Sit(step.which);
    }
  }
}

// By the clock or by a proof that holds.
bool Table::Acts(std::size_t index) const {
  const Seat& seat = seats_[index];
  return seat.leases->status(Now(index), kDuty) == fleet::LeaseStatus::kHolder ||
         (seat.proof && seat.proof->IsValid(Now(index)));
}

void Table::Act(std::size_t index) {
  Seat& seat = seats_[index];
  const fleet::LeaseProof proof = *std::exchange(seat.proof, std::nullopt);
  if (!resource_.Admit(proof, Now(index))) return;
  for (std::size_t i = 0; i < kSeats; ++i)
    if (i != index && Acts(i)) broken_ = NameOf(index) + " was let act while " + NameOf(i) + " holds";
  if (proof.token() < written_) broken_ = "a token at the resource fell";
  if (proof.token() == written_ && writer_ != index) broken_ = "two have written with one token";
  written_ = proof.token();
  writer_ = index;
}

std::optional<std::string> Table::Broken() const {
  if (broken_) return broken_;
  for (std::size_t i = 0; i < kSeats; ++i)
    for (std::size_t j = 0; j < i; ++j)
      if (Acts(i) && Acts(j)) return NameOf(j) + " and " + NameOf(i) + " act at once";
  return std::nullopt;
}

std::uint64_t Table::Fingerprint() const {
  std::vector<std::uint64_t> words{written_, writer_, newest_, newest_of_,
                                   static_cast<std::uint64_t>(faults_ * 16 + proofs_)};
  for (std::size_t i = 0; i < kSeats; ++i) {
    const Seat& seat = seats_[i];
    const bool holds = seat.proof && seat.proof->IsValid(Now(i));
    words.insert(words.end(), {static_cast<std::uint64_t>(seat.life), seat.released, seat.disk.has_value(),
                               seat.proof.has_value(), holds ? seat.proof->token() : 0,
                               holds ? fleet::FingerprintOf(Now(i), seat.proof->deadline()) : 0});
    if (seat.disk)
      for (const auto& [duty, vote] : *seat.disk)
        words.insert(words.end(), {fleet::FingerprintOf(vote.holder), vote.token, vote.largest_token});
    seat.leases->AppendFingerprint(Now(i), &words);
  }
  // In whatever order they were sent.
  std::uint64_t under_way = 0;
  for (const Letter& letter : letters_) {
    const LeaseMessage& m = letter.message;
    const std::array<std::uint64_t, 8> each{
        letter.from * kSeats + letter.to,
        static_cast<std::uint64_t>(m.type) * 16 + static_cast<std::uint64_t>(m.denial_reason),
        m.token,
        fleet::FingerprintOf(m.holder),
        m.request_number,
        m.requested_token,
        m.retry_after_ms,
        0};
    under_way += XXH64(each.data(), sizeof each, 1);
  }
  words.push_back(under_way);
  return XXH64(words.data(), words.size() * sizeof words[0], 0);
}

std::string Table::Text(const Step& step) const {
  const std::string who = NameOf(step.which % kSeats);
  switch (step.kind) {
    case Kind::kTime:
      return std::to_string(3 * step.which) + " s pass";
    case Kind::kTick:
      return who + "'s timers";
    case Kind::kCheck:
      return who + " takes a proof";
    case Kind::kAct:
      return who + "'s act reaches the resource";
    case Kind::kGiveBack:
      return who + " gives back";
    case Kind::kResume:
      return who + " resumes";
    case Kind::kRestart:
      return who + " restarts";
    case Kind::kRestartWithoutDisk:
      return who + " restarts without its disk";
    case Kind::kDeliver:
    case Kind::kDouble:
    case Kind::kLose:
      break;
  }
  const Letter& letter = letters_.at(step.which);
  const LeaseMessage& m = letter.message;
  constexpr std::array<const char*, fleet::kLeaseMessageTypes> kVerbs{"ask", "grant", "denial", "release"};
  return NameOf(letter.to) +
         (step.kind == Kind::kDouble ? " gets a copy of "
          : step.kind == Kind::kLose ? " misses "
                                     : " gets ") +
         NameOf(letter.from) + "'s " + kVerbs[static_cast<std::size_t>(m.type)] +
         " token=" + std::to_string(m.token) + " holder=" + m.holder + " request=..." +
         std::to_string(m.request_number % 1000);
}

}  // namespace load_balancer::model
