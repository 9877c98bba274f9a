# What another incarnation of the gateway may have in force is not counted.
s/if (excluded_incarnation && incarnation == \*excluded_incarnation) continue;/if (incarnation != grants.back().incarnation || (excluded_incarnation \&\& incarnation == *excluded_incarnation)) continue;/
