# A voter grants any token after a vote has ended, even a smaller one.
s/is_larger ? DenialReason::kNone : DenialReason::kLeaseHeld/DenialReason::kNone/
