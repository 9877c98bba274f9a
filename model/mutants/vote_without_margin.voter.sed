# A vote lasts for the term alone by the voter's clock.
s/{vote, now + VoteDuration(),/{vote, now + terms_.term,/
