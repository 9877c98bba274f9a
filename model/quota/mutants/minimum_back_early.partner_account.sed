# The reserved minimum is used again when the grant has expired, though a longer one was acknowledged.
s/^  LendReservedMinimum(expires_at);/  minimum_.available_from = expires_at;/
