// SPDX-License-Identifier: Apache-2.0
//
// Unit tests of the admission queue, the attempts in flight and the retry budget.
#include <gtest/gtest.h>

#include "policy/admission_queue.h"
#include "policy/attempts_in_flight.h"
#include "policy/retry_budget.h"

namespace load_balancer {
namespace {

TimePoint At(double ms) { return TimePoint(Duration(ms)); }

Request Queued(RequestId id, double value, double arrived_ms, double reject_ms) {
  Request request;
  request.id = id;
  request.value = value;
  request.arrived = At(arrived_ms);
  request.reject_at = At(reject_ms);
  return request;
}

TEST(AdmissionQueue, OrdersByValueThenByLatestArrivalThenById) {
  AdmissionQueue queue;
  Request early = Queued(1, 5, 10, 100);
  Request late = Queued(2, 5, 20, 100);
  Request valuable = Queued(3, 9, 5, 100);
  Request same_time = Queued(4, 5, 20, 100);
  for (Request* request : {&early, &late, &valuable, &same_time}) queue.Add(*request);
  std::vector<RequestId> order;
  for (auto position = queue.First(); position; position = queue.After(*position))
    order.push_back(position->request);
  EXPECT_EQ(order, (std::vector<RequestId>{3, 2, 4, 1}));
  EXPECT_EQ(queue.size(), 4u);
}

TEST(AdmissionQueue, SetsIsQueuedAndIgnoresTheRemovalOfARequestThatIsNotQueued) {
  AdmissionQueue queue;
  Request request = Queued(1, 5, 10, 100);
  queue.Remove(request);
  EXPECT_TRUE(queue.empty());
  queue.Add(request);
  EXPECT_TRUE(request.is_queued);
  queue.Remove(request);
  EXPECT_FALSE(request.is_queued);
  EXPECT_TRUE(queue.empty());
  EXPECT_FALSE(queue.First());
}

TEST(AdmissionQueue, TakesExpiriesInOrderOnceTheyHavePassed) {
  AdmissionQueue queue;
  EXPECT_EQ(queue.next_expiry(), kNever);
  Request second = Queued(1, 5, 10, 200);
  Request first = Queued(2, 5, 10, 100);
  queue.Add(second);
  queue.Add(first);
  EXPECT_EQ(queue.next_expiry(), At(100));
  EXPECT_FALSE(queue.TakeExpired(At(99)));
  EXPECT_EQ(queue.TakeExpired(At(100)), 2u);
  EXPECT_FALSE(queue.TakeExpired(At(199)));
  EXPECT_EQ(queue.TakeExpired(At(500)), 1u);
  EXPECT_FALSE(queue.TakeExpired(At(500)));
}

Request Sent(RequestId id, double overdue_ms) {
  Request request;
  request.id = id;
  request.attempts.push_back({.overdue_at = At(overdue_ms)});
  return request;
}

TEST(AttemptsInFlight, CountsUntilTheResponseBeginsOrIsOverdue) {
  AttemptsInFlight in_flight;
  EXPECT_EQ(in_flight.next_overdue(), kNever);
  const Request first = Sent(1, 50);
  const Request second = Sent(2, 80);
  in_flight.Add(first);
  in_flight.Add(second);
  EXPECT_EQ(in_flight.size(), 2u);
  EXPECT_EQ(in_flight.next_overdue(), At(50));
  EXPECT_FALSE(in_flight.RemoveOverdue(At(49)));
  EXPECT_TRUE(in_flight.RemoveOverdue(At(50)));
  EXPECT_FALSE(in_flight.Remove(first, 0)) << "it was overdue";
  EXPECT_TRUE(in_flight.Remove(second, 0));
  EXPECT_TRUE(in_flight.empty());
}

TEST(AttemptsInFlight, OverflowIsCountedSeparately) {
  AttemptsInFlight in_flight;
  in_flight.AddOverflow();
  in_flight.AddOverflow();
  in_flight.RemoveOverflow();
  EXPECT_EQ(in_flight.overflow(), 1);
  EXPECT_EQ(in_flight.size(), 0u);
}

TEST(RetryBudget, StartsFullAndIsFilledByFirstAttempts) {
  RetryBudget budget;
  int retries = 0;
  for (; budget.HasToken(); ++retries) budget.RecordRetry();
  EXPECT_EQ(retries, 20);
  // A retry that adds no load is made without a token, and the number of tokens stays at 0.
  budget.RecordRetry();
  for (int attempt = 0; attempt < 9; ++attempt) budget.RecordFirstAttempt();
  EXPECT_FALSE(budget.HasToken());
  budget.RecordFirstAttempt();
  budget.RecordFirstAttempt();
  EXPECT_TRUE(budget.HasToken());
  for (int attempt = 0; attempt < 1000; ++attempt) budget.RecordFirstAttempt();
  for (retries = 0; budget.HasToken(); ++retries) budget.RecordRetry();
  EXPECT_EQ(retries, 20) << "the budget stores no more than 20 tokens";
}

}  // namespace
}  // namespace load_balancer
