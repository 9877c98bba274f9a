# What has no grant in force has nothing, acknowledged or not.
s/held\.lent_until >= begin + slot_ ? granted : Larger(granted, floor)/held.lent_until >= begin + slot_ || granted.rate > 0 ? granted : floor/
