# A vote lasts for one term without the drift bound.
s/{vote, now + VoteDuration(),/{vote, now + terms_.term,/
