# A voter that has lost its votes grants without a grace period.
s/grace_period_end_(stored ? now : now + VoteDuration())/grace_period_end_(now)/
