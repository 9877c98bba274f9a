# What another process of the gateway may have in force is not counted.
s/if ((but \&\& life == \*but)/if (life != held.grants.back().life || (but \&\& life == *but)/
