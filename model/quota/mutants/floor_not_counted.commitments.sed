# What has no draw in force has nothing, acknowledged or not.
s/held\.lent_until >= begin + slot_ ? drawn : Larger(drawn, floor)/held.lent_until >= begin + slot_ || drawn.rate > 0 ? drawn : floor/
