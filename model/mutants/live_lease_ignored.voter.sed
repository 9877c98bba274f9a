# A voter grants a lease while the lease of another holder is valid.
s/IsVoteFor(vote\.stored, request) || is_reacquired;/IsVoteFor(vote.stored, request) || is_reacquired || true;/
