# A gateway accepts a late grant in place of a newer one.
s/if (id <= grant_id_ || /if (id == grant_id_ || /
