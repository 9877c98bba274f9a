# A voter grants to a requester with a different lease term.
/return DenialReason::kTermMismatch;/d
