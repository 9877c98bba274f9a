# A late grant makes the holder release a lease that it must let expire, because actions still have effects.
s/ \&\& now >= lease\.effects_until)/)/
