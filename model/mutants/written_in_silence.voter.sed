# A voter without votes writes a file at once, and therefore skips the grace period after its next start.
s/if (!stored) return;/if (!stored \&\& store) store->Save({});\n  if (!stored) return;/
