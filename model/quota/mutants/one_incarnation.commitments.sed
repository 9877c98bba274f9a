# The allocator does not count the grants of other incarnations of the gateway.
s/if (excluded_incarnation && incarnation == \*excluded_incarnation) continue;/if (incarnation != grants.back().incarnation || (excluded_incarnation \&\& incarnation == *excluded_incarnation)) continue;/
