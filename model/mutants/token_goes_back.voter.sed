# Any token will do once a vote has ended.
s/is_larger ? DenialReason::kNone : DenialReason::kLeaseHeld/DenialReason::kNone/
