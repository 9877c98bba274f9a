# A vote read from the disk has run out.
s/votes_\[duty\] = {vote, now + .*};/votes_[duty] = {vote, now};/
