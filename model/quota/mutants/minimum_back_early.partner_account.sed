# The gateway uses its reserved minimum once the grant in force has expired, although it acknowledged a longer grant before.
s/^  LendReservedMinimum(expires_at);/  minimum_.available_from = expires_at;/
