# A holder whose lease expires requests anew while its acts have effects, and so ends its own vote.
s/std::max(next_attempt, effects_until)/next_attempt/
