// SPDX-License-Identifier: Apache-2.0
//
// Tests which requests a voter denies, which votes it stores, and when a proof is valid.
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

fl::LeaseMessage MakeRequest(const std::string& holder, fl::FencingToken token) {
  fl::LeaseMessage request;
  request.lease_name.assign(1, 'd');
  request.holder = holder;
  request.token = token;
  request.request_number = 1;
  request.term_ms = 3000;
  request.drift_ms = 100;
  request.voter_set_hash = 7;
  return request;
}

struct RecordingCallbacks : fl::Leases::Callbacks {
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

TEST(LeaseVoter, DeniesRequestsWithOtherTermsAndTheRequesterReportsVoterAndTerm) {
  struct Case {
    const char* name;
    void (*change)(fl::LeaseMessage&);
    DenialReason reason;
    const char* code;
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
    fl::LeaseMessage request = MakeRequest("a/1", 5);
    c.change(request);
    fl::LeaseMessage answer = voter.Answer(kNow, request);
    EXPECT_EQ(answer.type, Type::kDenial);
    EXPECT_EQ(answer.denial_reason, c.reason);
    RecordingCallbacks callbacks;
    fl::Leases leases(OptionsOf(3), kNow, callbacks);
    leases.Tick(kNow + milliseconds(1500), 1);
    ASSERT_FALSE(callbacks.sent.empty());
    answer.requested_token = callbacks.sent.front().token;
    for (int i = 0; i < 2; ++i) leases.Receive(kNow + milliseconds(1500), OptionsOf(3).voters[1], answer);
    ASSERT_EQ(callbacks.failures.size(), 1u) << "the failure was not reported exactly once";
    EXPECT_TRUE(callbacks.failures[0].starts_with(c.code)) << callbacks.failures[0];
    EXPECT_NE(callbacks.failures[0].find("127.0.0.1:2"), std::string::npos) << callbacks.failures[0];
  }
}

TEST(LeaseVoter, DeniesRequestsOfOlderVersionsWithoutRequestNumberAndTerm) {
  fl::Message message;
  message.kind = fl::Message::Kind::kLease;
  message.sender = {"n1", {boost::asio::ip::address_v4::loopback(), 1}, fl::MemberState::kAlive, 1, ""};
  message.lease = MakeRequest("a/1", 5);
  auto packed = nlohmann::json::from_msgpack(fl::Encode("f", message));
  EXPECT_EQ(std::get<fl::Message>(fl::Decode("f", nlohmann::json::to_msgpack(packed))).lease->term_ms, 3000u);
  packed["l"].erase(packed["l"].begin() + 6, packed["l"].end());
  const auto older = std::get<fl::Message>(fl::Decode("f", nlohmann::json::to_msgpack(packed)));
  EXPECT_EQ(older.lease->request_number, 0u);
  fl::Voter voter(kTerms, kNow, fl::StoredVotes{}, nullptr);
  EXPECT_EQ(voter.Answer(kNow, *older.lease).type, Type::kDenial);
}

TEST(LeaseVoter, StoresAVoteBeforeItGrantsAndIsBoundByItAfterARestart) {
  const Folder folder;
  const std::string path = folder.path / "v.votes";
  const std::vector<std::string> voters{"a:1", "b:2", "c:3"};
  fl::VoteFile file(path, "n1", voters);
  const auto absent = file.Load();
  ASSERT_TRUE(absent);
  EXPECT_FALSE(absent->has_value());
  {
    fl::Voter fresh(kTerms, kNow, *absent, &file);
    EXPECT_EQ(fresh.Answer(kNow + milliseconds(3099), MakeRequest("a/1", 5)).denial_reason,
              DenialReason::kGracePeriod);
    EXPECT_FALSE(std::filesystem::exists(path))
        << "a file written during the grace period would skip the next one";
    EXPECT_EQ(fresh.Answer(kNow + milliseconds(3100), MakeRequest("a/1", 5)).type, Type::kGrant);
  }
  fl::VoteFile reopened(path, "n1", voters);
  const auto loaded = reopened.Load();
  ASSERT_TRUE(loaded && loaded->has_value());
  fl::Voter voter(kTerms, kNow, *loaded, &reopened);
  EXPECT_EQ(voter.Answer(kNow, MakeRequest("b/1", 6)).denial_reason, DenialReason::kLeaseHeld);
  EXPECT_EQ(voter.Answer(kNow, MakeRequest("a/1", 5)).type, Type::kGrant)
      << "a renewal must not wait for a grace period";
  EXPECT_EQ(voter.Answer(kNow + milliseconds(3100), MakeRequest("b/1", 5)).denial_reason,
            DenialReason::kLeaseHeld)
      << "a smaller token was granted";
  EXPECT_EQ(voter.Answer(kNow + milliseconds(3100), MakeRequest("b/1", 6)).type, Type::kGrant);
  // Loads the file with one voter less, then with one voter more than in the rewritten file, then with two
  // changes at once, and then with a damaged byte. Finally uses a path that cannot be written.
  EXPECT_EQ(fl::VoteFile(path, "n1", {"a:1", "b:2"}).Load().value()->at("d").token, 6u);
  EXPECT_EQ(fl::VoteFile(path, "n1", {"a:1", "b:2", "d:4"}).Load().value()->at("d").token, 6u);
  EXPECT_EQ(&fl::VoteFile(path, "n1", voters).Load().error().kind(), &fl::kVoterSetChangeTooLarge);
  std::fstream(path, std::ios::in | std::ios::out | std::ios::binary).seekp(-1, std::ios::end).put('\x7f');
  EXPECT_EQ(&fl::VoteFile(path, "n1", voters).Load().error().kind(), &fl::kVotesFileRejected);
  fl::VoteFile unwritable(folder.path / "no" / "such", "n1", voters);
  fl::Voter voter_without_store(kTerms, kNow, fl::StoredVotes{}, &unwritable);
  EXPECT_EQ(voter_without_store.Answer(kNow, MakeRequest("a/1", 5)).denial_reason,
            DenialReason::kNotPersisted);
}

TEST(LeaseProof, IsValidUntilItsDeadlineOrTheReleaseAndTheResourceChecksIt) {
  RecordingCallbacks callbacks;
  fl::Leases leases(OptionsOf(1), kNow, callbacks);
  EXPECT_FALSE(leases.ProveLease(kNow, "d")) << "a member acts in an exclusive role without a lease";
  const auto start = kNow + milliseconds(1500);
  leases.Tick(start, 9);
  auto proof = leases.ProveLease(start, "d");
  ASSERT_TRUE(proof);
  fl::Fence fence;
  EXPECT_TRUE(fence.Admit(*proof, start + milliseconds(2899)));
  EXPECT_EQ(&fence.Admit(*proof, start + milliseconds(2900)).error().kind(), &fl::kLeaseExpired);
  EXPECT_TRUE(fence.Admit("d", proof->token() + 1));
  EXPECT_EQ(&fence.Admit(*proof, start).error().kind(), &fl::kStaleToken);
  leases.Release(start);
  EXPECT_FALSE(proof->IsValid(start));
  static_assert(!std::is_copy_constructible_v<fl::LeaseProof>);
}

TEST(LeaseProof, ALeaseWithLastingEffectsExpiresInsteadOfBeingReleased) {
  for (const bool has_effects : {false, true}) {
    RecordingCallbacks callbacks;
    fl::Leases leases(OptionsOf(3), kNow, callbacks);
    const auto start = kNow + milliseconds(1500), end = start + milliseconds(2900);
    leases.Tick(start, 9);
    fl::LeaseMessage grant = callbacks.sent.at(0);
    grant.type = Type::kGrant;
    leases.Receive(start, OptionsOf(3).voters[1], grant);
    const auto proof = leases.ProveLease(start, "d");
    ASSERT_TRUE(proof);
    if (has_effects) proof->ExtendEffects(start + std::chrono::hours(1));  // capped at the deadline
    callbacks.sent.clear();
    leases.Release(start);
    // A late grant must not make the member send a release either.
    leases.Receive(start, OptionsOf(3).voters[2], grant);
    EXPECT_FALSE(proof->IsValid(start));
    EXPECT_EQ(callbacks.sent.empty(), has_effects);
    // The member must not request another token before the effects end, since voters treat such a request as
    // a release of the previous token.
    leases.Resume(start);
    for (auto now = start; now < end; now += milliseconds(10)) leases.Tick(now, 9);
    const bool has_requested =
        std::any_of(callbacks.sent.begin(), callbacks.sent.end(),
                    [](const fl::LeaseMessage& each) { return each.type == Type::kRequest; });
    EXPECT_EQ(has_requested, !has_effects);
    leases.Tick(end + milliseconds(1100), 9);
    EXPECT_EQ(callbacks.sent.back().type, Type::kRequest);
  }
}

// An allocator keeps its lease until its quota grants have ended, even after a call of Leases::Release.
TEST(LeaseProof, AnAllocatorWithOutstandingGrantsDoesNotReleaseItsLease) {
  namespace qt = load_balancer::quota;
  auto budgets = std::make_shared<qt::Budgets>();
  budgets->revision = 1;
  budgets->partners["isar"].rate = budgets->partners["isar"].burst = 300 * qt::kUnit;
  for (const bool has_grants : {false, true}) {
    RecordingCallbacks callbacks;
    fl::Leases leases(OptionsOf(3), kNow, callbacks);
    const auto start = kNow + milliseconds(1500);
    leases.Tick(start, 9);
    fl::LeaseMessage grant = callbacks.sent.at(0);
    grant.type = Type::kGrant;
    leases.Receive(start, OptionsOf(3).voters[1], grant);
    qt::Allocator allocator({0, 1, {{"muc", {"g"}}}, {}}, budgets);
    qt::AllocatorActions actions;
    const qt::AllocationRequest request{1, 1, 1, {{{"isar", {}, 0}, 100 * qt::kUnit, qt::kUnit}}, {}};
    if (has_grants) allocator.OnRequest(start, *leases.ProveLease(start, "d"), "g", request, &actions);
    EXPECT_EQ(allocator.GrantsExpireAt(start) > start, has_grants);
    callbacks.sent.clear();
    leases.Release(start);
    EXPECT_EQ(callbacks.sent.empty(), has_grants);
  }
}

TEST(LeaseRequest, IsRetransmittedToVotersWithoutAnswerUnderItsNumberAndStartTime) {
  RecordingCallbacks callbacks;
  fl::LeaseOptions options = OptionsOf(5);
  fl::Leases leases(options, kNow, callbacks);
  const auto start = kNow + milliseconds(1500);
  leases.Tick(start, 9);
  ASSERT_EQ(callbacks.sent.size(), 4u);
  fl::LeaseMessage grant = callbacks.sent[0];
  const std::uint64_t number = grant.request_number;
  grant.type = Type::kGrant;
  leases.Receive(start, options.voters[1], grant);
  callbacks.sent.clear();
  const auto later = start + milliseconds(125);
  leases.Tick(later, 9);
  ASSERT_EQ(callbacks.sent.size(), 3u) << "one voter has answered, and the fifth is this member";
  for (const auto& each : callbacks.sent) EXPECT_EQ(each.request_number, number);
  leases.Receive(later, options.voters[2], grant);
  const auto proof = leases.ProveLease(later, "d");
  ASSERT_TRUE(proof);
  EXPECT_EQ(proof->deadline(), start + milliseconds(2900))
      << "the term must start with the first transmission";
  callbacks.sent.clear();
  leases.Tick(later + milliseconds(125), 9);
  EXPECT_TRUE(callbacks.sent.empty()) << "the request was repeated after a majority had granted";
}

TEST(LeaseVoter, GrantsALargerTokenToTheHolderOfTheCurrentVote) {
  fl::Voter voter(kTerms, kNow, fl::StoredVotes{}, nullptr);
  EXPECT_EQ(voter.Answer(kNow, MakeRequest("a/1", 5)).type, Type::kGrant);
  const fl::LeaseMessage denial = voter.Answer(kNow, MakeRequest("b/1", 6));
  EXPECT_EQ(denial.denial_reason, DenialReason::kLeaseHeld);
  EXPECT_EQ(denial.retry_after_ms, 500u)
      << "must be a sixth of the term, in which a majority grants the token or it is released";
  EXPECT_EQ(voter.Answer(kNow, MakeRequest("a/1", 7)).type, Type::kGrant);
  EXPECT_EQ(voter.Answer(kNow, MakeRequest("a/1", 5)).denial_reason, DenialReason::kLeaseHeld)
      << "a late request with a smaller token was granted";
  EXPECT_EQ(voter.Answer(kNow + milliseconds(600), MakeRequest("b/1", 8)).retry_after_ms, 2500u);
}

}  // namespace
}  // namespace load_balancer::testing::fleet
