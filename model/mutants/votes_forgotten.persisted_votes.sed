# A voter forgets its votes when the voters change.
s/return std::move(kept\.votes);/return kept.voters == voters ? std::move(kept.votes) : StoredVotes{};/
