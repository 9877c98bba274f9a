# A voter forgets its votes when the voters change.
s/return std::move(persisted\.votes);/return persisted.voters == voters ? std::move(persisted.votes) : StoredVotes{};/
