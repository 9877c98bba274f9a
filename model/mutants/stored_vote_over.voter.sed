# A vote read from disk has expired.
s/votes_\[lease_name\] = {vote, now + .*};/votes_[lease_name] = {vote, now};/
