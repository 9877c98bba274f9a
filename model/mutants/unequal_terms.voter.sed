# A voter grants to a requester whose term is another.
/return DenialReason::kTermMismatch;/d
