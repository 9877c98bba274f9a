# A voter grants while another's lease is live.
s/IsVoteFor(vote\.stored, request) || is_reacquired;/IsVoteFor(vote.stored, request) || is_reacquired || true;/
