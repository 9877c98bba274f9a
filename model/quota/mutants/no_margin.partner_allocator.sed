# The allocator counts a grant as expired after its lifetime by its own clock, without a margin for the difference of the clocks.
s/expires_at = received + lifetime + margin/expires_at = received + lifetime/
