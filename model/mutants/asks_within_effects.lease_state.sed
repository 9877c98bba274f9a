# A holder whose lease expires sends a new request while its actions have effects, which ends its own vote.
s/std::max(next_attempt, effects_until)/next_attempt/
