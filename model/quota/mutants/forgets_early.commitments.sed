# The allocator forgets a grant one slot before it has expired.
s/grant\.expires_at <= now;/grant.expires_at <= now + slot_;/
