# A vote that was read from disk counts as expired.
s/votes_\[lease_name\] = {vote, now + .*};/votes_[lease_name] = {vote, now};/
