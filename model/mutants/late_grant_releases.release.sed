# A late grant makes the holder release what it must let expire.
s/ \&\& now >= lease\.effects_until)/)/
