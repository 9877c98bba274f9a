# A release ends the vote even if the vote has another holder or token.
s/ || !IsVoteFor(found->second\.stored, release))/)/
