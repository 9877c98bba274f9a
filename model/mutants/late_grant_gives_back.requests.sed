# A late grant makes the holder give back what it must let run out.
s/ \&\& now >= duty\.effects_until)/)/
