# A voter discards its votes when the set of voters changes.
s/return std::move(persisted\.votes);/return persisted.voters == voters ? std::move(persisted.votes) : StoredVotes{};/
