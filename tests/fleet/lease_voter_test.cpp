// SPDX-License-Identifier: Apache-2.0
//
// What a voter refuses and keeps, and what a proof is good for.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "fleet/lease/failures.h"
#include "fleet/lease/fencing.h"
#include "fleet/lease/leases.h"
#include "fleet/lease/vote_file.h"
#include "fleet/wire/codec.h"
#include "harness.h"
#include "quota/allocator.h"

namespace load_balancer::testing::fleet {
namespace {

namespace fl = load_balancer::fleet;
using Type = fl::LeaseMessage::Type;
using DenialReason = fl::LeaseMessage::DenialReason;

const load_balancer::Time kNow{std::chrono::hours(1)};
const fl::LeaseTerms kTerms{milliseconds(3000), milliseconds(100), 7};

fl::LeaseMessage AskOf(const std::string& holder, fl::FencingToken token) {
  fl::LeaseMessage ask;
  ask.lease_name.assign(1, 'd');
  ask.holder = holder;
  ask.token = token;
  ask.request_number = 1;
  ask.term_ms = 3000;
  ask.drift_ms = 100;
  ask.voter_set_hash = 7;
  return ask;
}

struct Quiet : fl::Leases::Callbacks {
  void Send(const fl::Leases::Endpoint&, const fl::LeaseMessage& message) override {
    sent.push_back(message);
  }
  void OnLeaseStatus(const std::string&, fl::LeaseStatus, fl::FencingToken, load_balancer::Span,
                     std::string_view) override {}
  void OnFailure(const load_balancer::Failure& failure) override { failures.push_back(failure.Text()); }
  std::vector<fl::LeaseMessage> sent;
  std::vector<std::string> failures;
};

fl::LeaseOptions OptionsOf(unsigned short voters) {
  fl::LeaseOptions options;
  options.holder = "a/1";
  for (unsigned short v = 1; v <= voters; ++v)
    options.voters.emplace_back(boost::asio::ip::address_v4::loopback(), v);
  options.address = options.voters[0];
  options.leased_roles = {{"d", fl::LeasedRoleKind::kExclusive}};
  options.stored_votes.emplace();
  return options;
}

TEST(Voter, RefusesOtherFiguresAndTheAskerNamesMemberAndFigure) {
  struct Case {
    const char* name;
    void (*change)(fl::LeaseMessage&);
    DenialReason reason;
    const char* said;
  };
  for (const Case& c :
       {Case{"term", [](fl::LeaseMessage& m) { m.term_ms = 5000; }, DenialReason::kTermMismatch, "LEASE-1"},
        Case{"drift", [](fl::LeaseMessage& m) { m.drift_ms = 200; }, DenialReason::kDriftMismatch, "LEASE-2"},
        Case{"voters", [](fl::LeaseMessage& m) { m.voter_set_hash = 8; }, DenialReason::kVoterSetMismatch,
             "LEASE-3"},
        Case{"older version",
             [](fl::LeaseMessage& m) { m.request_number = m.term_ms = m.drift_ms = m.voter_set_hash = 0; },
             DenialReason::kTermMismatch, "LEASE-1"}}) {
    SCOPED_TRACE(c.name);
    fl::Voter voter(kTerms, kNow, fl::StoredVotes{}, nullptr);
    fl::LeaseMessage ask = AskOf("a/1", 5);
    c.change(ask);
    fl::LeaseMessage answer = voter.Answer(kNow, ask);
    EXPECT_EQ(answer.type, Type::kDenial);
    EXPECT_EQ(answer.denial_reason, c.reason);
    Quiet outlet;
    fl::Leases leases(OptionsOf(3), kNow, outlet);
    leases.Tick(kNow + milliseconds(1500), 1);
    ASSERT_FALSE(outlet.sent.empty());
    answer.requested_token = outlet.sent.front().token;
    for (int i = 0; i < 2; ++i) leases.Receive(kNow + milliseconds(1500), OptionsOf(3).voters[1], answer);
    ASSERT_EQ(outlet.failures.size(), 1u) << "once";
    EXPECT_TRUE(outlet.failures[0].starts_with(c.said)) << outlet.failures[0];
    EXPECT_NE(outlet.failures[0].find("127.0.0.1:2"), std::string::npos) << outlet.failures[0];
  }
}

TEST(Voter, AnOlderMembersMessageNamesNoRequestAndNoTerm) {
  fl::Message message;
  message.kind = fl::Message::Kind::kLease;
  message.sender = {"n1", {boost::asio::ip::address_v4::loopback(), 1}, fl::MemberState::kAlive, 1, ""};
  message.lease = AskOf("a/1", 5);
  auto packed = nlohmann::json::from_msgpack(fl::Encode("f", message));
  EXPECT_EQ(std::get<fl::Message>(fl::Decode("f", nlohmann::json::to_msgpack(packed))).lease->term_ms, 3000u);
  packed["l"].erase(packed["l"].begin() + 6, packed["l"].end());
  const auto older = std::get<fl::Message>(fl::Decode("f", nlohmann::json::to_msgpack(packed)));
  EXPECT_EQ(older.lease->request_number, 0u);
  fl::Voter voter(kTerms, kNow, fl::StoredVotes{}, nullptr);
  EXPECT_EQ(voter.Answer(kNow, *older.lease).type, Type::kDenial);
}

TEST(Voter, KeepsAVoteBeforeItGrantsAndIsBoundByItInItsNextLife) {
  const Folder folder;
  const std::string path = folder.path / "v.votes";
  const std::vector<std::string> voters{"a:1", "b:2", "c:3"};
  fl::VoteFile file(path, "n1", voters);
  const auto none = file.Load();
  ASSERT_TRUE(none);
  EXPECT_FALSE(none->has_value());
  {
    fl::Voter fresh(kTerms, kNow, *none, &file);
    EXPECT_EQ(fresh.Answer(kNow + milliseconds(3099), AskOf("a/1", 5)).denial_reason,
              DenialReason::kGracePeriod);
    EXPECT_FALSE(std::filesystem::exists(path)) << "a start within the silence is one without the file, too";
    EXPECT_EQ(fresh.Answer(kNow + milliseconds(3100), AskOf("a/1", 5)).type, Type::kGrant);
  }
  fl::VoteFile again(path, "n1", voters);
  const auto kept = again.Load();
  ASSERT_TRUE(kept && kept->has_value());
  fl::Voter voter(kTerms, kNow, *kept, &again);
  EXPECT_EQ(voter.Answer(kNow, AskOf("b/1", 6)).denial_reason, DenialReason::kLeaseHeld);
  EXPECT_EQ(voter.Answer(kNow, AskOf("a/1", 5)).type, Type::kGrant) << "a renewal needs no silence";
  EXPECT_EQ(voter.Answer(kNow + milliseconds(3100), AskOf("b/1", 5)).denial_reason, DenialReason::kLeaseHeld)
      << "tokens never fall";
  EXPECT_EQ(voter.Answer(kNow + milliseconds(3100), AskOf("b/1", 6)).type, Type::kGrant);
  // One less; then one more, told from the set of the last life; two at once; a flipped byte; no room.
  EXPECT_EQ(fl::VoteFile(path, "n1", {"a:1", "b:2"}).Load().value()->at("d").token, 6u);
  EXPECT_EQ(fl::VoteFile(path, "n1", {"a:1", "b:2", "d:4"}).Load().value()->at("d").token, 6u);
  EXPECT_EQ(&fl::VoteFile(path, "n1", voters).Load().error().kind(), &fl::kVoterSetLeap);
  std::fstream(path, std::ios::in | std::ios::out | std::ios::binary).seekp(-1, std::ios::end).put('\x7f');
  EXPECT_EQ(&fl::VoteFile(path, "n1", voters).Load().error().kind(), &fl::kVotesFileRejected);
  fl::VoteFile nowhere(folder.path / "no" / "such", "n1", voters);
  fl::Voter unkept(kTerms, kNow, fl::StoredVotes{}, &nowhere);
  EXPECT_EQ(unkept.Answer(kNow, AskOf("a/1", 5)).denial_reason, DenialReason::kNotPersisted);
}

TEST(LeaseProof, HoldsUntilItsDeadlineOrTheGiveBackAndTheResourceLooks) {
  Quiet outlet;
  fl::Leases leases(OptionsOf(1), kNow, outlet);
  EXPECT_FALSE(leases.ProveLease(kNow, "d")) << "nobody is alone in an exclusive duty";
  const auto then = kNow + milliseconds(1500);
  leases.Tick(then, 9);
  auto proof = leases.ProveLease(then, "d");
  ASSERT_TRUE(proof);
  fl::Fence fence;
  EXPECT_TRUE(fence.Admit(*proof, then + milliseconds(2899)));
  EXPECT_EQ(&fence.Admit(*proof, then + milliseconds(2900)).error().kind(), &fl::kLeaseExpired);
  EXPECT_TRUE(fence.Admit("d", proof->token() + 1));
  EXPECT_EQ(&fence.Admit(*proof, then).error().kind(), &fl::kStaleToken);
  leases.Release(then);
  EXPECT_FALSE(proof->IsValid(then));
  static_assert(!std::is_copy_constructible_v<fl::LeaseProof>);
}

TEST(LeaseProof, WhatHasEffectsRunsOutInPlaceOfBeingGivenBack) {
  for (const bool lasts : {false, true}) {
    Quiet outlet;
    fl::Leases leases(OptionsOf(3), kNow, outlet);
    const auto then = kNow + milliseconds(1500), end = then + milliseconds(2900);
    leases.Tick(then, 9);
    fl::LeaseMessage grant = outlet.sent.at(0);
    grant.type = Type::kGrant;
    leases.Receive(then, OptionsOf(3).voters[1], grant);
    const auto proof = leases.ProveLease(then, "d");
    ASSERT_TRUE(proof);
    if (lasts) proof->ExtendEffects(then + std::chrono::hours(1));  // which is to the deadline
    outlet.sent.clear();
    leases.Release(then);
    // A grant that comes late must not make it tell the voter either.
    leases.Receive(then, OptionsOf(3).voters[2], grant);
    EXPECT_FALSE(proof->IsValid(then));
    EXPECT_EQ(outlet.sent.empty(), lasts);
    // Nor does it ask for another token before: that ends the vote, too.
    leases.Resume(then);
    for (auto now = then; now < end; now += milliseconds(10)) leases.Tick(now, 9);
    const bool asked = std::any_of(outlet.sent.begin(), outlet.sent.end(),
                                   [](const fl::LeaseMessage& each) { return each.type == Type::kRequest; });
    EXPECT_EQ(asked, !lasts);
    leases.Tick(end + milliseconds(1100), 9);
    EXPECT_EQ(outlet.sent.back().type, Type::kRequest);
  }
}

// Until the grants that it has handed out have ended, whoever tells it to go.
TEST(LeaseProof, AnAllocatorWithGrantsOutDoesNotGiveItsLeaseBack) {
  namespace qt = load_balancer::quota;
  auto budgets = std::make_shared<qt::Budgets>();
  budgets->revision = 1;
  budgets->partners["isar"].rate = budgets->partners["isar"].burst = 300 * qt::kUnit;
  for (const bool asked : {false, true}) {
    Quiet outlet;
    fl::Leases leases(OptionsOf(3), kNow, outlet);
    const auto then = kNow + milliseconds(1500);
    leases.Tick(then, 9);
    fl::LeaseMessage grant = outlet.sent.at(0);
    grant.type = Type::kGrant;
    leases.Receive(then, OptionsOf(3).voters[1], grant);
    qt::Allocator allocator({0, 1, {{"muc", {"g"}}}, {}}, budgets);
    qt::AllocatorActions actions;
    const qt::AllocationRequest request{1, 1, 1, {{{"isar", {}, 0}, 100 * qt::kUnit, qt::kUnit}}, {}};
    if (asked) allocator.OnRequest(then, *leases.ProveLease(then, "d"), "g", request, &actions);
    EXPECT_EQ(allocator.GrantsExpireAt(then) > then, asked);
    outlet.sent.clear();
    leases.Release(then);
    EXPECT_EQ(outlet.sent.empty(), asked);
  }
}

TEST(Request, IsRepeatedToThoseThatHaveNotAnsweredUnderItsNumberAndFirstMoment) {
  Quiet outlet;
  fl::LeaseOptions options = OptionsOf(5);
  fl::Leases leases(options, kNow, outlet);
  const auto then = kNow + milliseconds(1500);
  leases.Tick(then, 9);
  ASSERT_EQ(outlet.sent.size(), 4u);
  fl::LeaseMessage grant = outlet.sent[0];
  const std::uint64_t number = grant.request_number;
  grant.type = Type::kGrant;
  leases.Receive(then, options.voters[1], grant);
  outlet.sent.clear();
  const auto later = then + milliseconds(125);
  leases.Tick(later, 9);
  ASSERT_EQ(outlet.sent.size(), 3u) << "one has answered, and the fifth is itself";
  for (const auto& each : outlet.sent) EXPECT_EQ(each.request_number, number);
  leases.Receive(later, options.voters[2], grant);
  const auto proof = leases.ProveLease(later, "d");
  ASSERT_TRUE(proof);
  EXPECT_EQ(proof->deadline(), then + milliseconds(2900)) << "from the first sending";
  outlet.sent.clear();
  leases.Tick(later + milliseconds(125), 9);
  EXPECT_TRUE(outlet.sent.empty()) << "a majority has answered";
}

TEST(Voter, LeavesAVoteThatItsHolderHasGivenUpForALargerTokenOfTheSame) {
  fl::Voter voter(kTerms, kNow, fl::StoredVotes{}, nullptr);
  EXPECT_EQ(voter.Answer(kNow, AskOf("a/1", 5)).type, Type::kGrant);
  const fl::LeaseMessage denial = voter.Answer(kNow, AskOf("b/1", 6));
  EXPECT_EQ(denial.denial_reason, DenialReason::kLeaseHeld);
  EXPECT_EQ(denial.retry_after_ms, 500u) << "a sixth of the term, by when it is a lease or given back";
  EXPECT_EQ(voter.Answer(kNow, AskOf("a/1", 7)).type, Type::kGrant);
  EXPECT_EQ(voter.Answer(kNow, AskOf("a/1", 5)).denial_reason, DenialReason::kLeaseHeld) << "a late request";
  EXPECT_EQ(voter.Answer(kNow + milliseconds(600), AskOf("b/1", 8)).retry_after_ms, 2500u);
}

}  // namespace
}  // namespace load_balancer::testing::fleet
