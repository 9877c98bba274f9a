# A release ends whatever vote there is.
s/ || !IsVoteFor(found->second\.stored, release))/)/
