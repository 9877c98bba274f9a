# A voter that has lost its votes grants at once.
s/silent_until_(stored ? now : now + span())/silent_until_(now)/
