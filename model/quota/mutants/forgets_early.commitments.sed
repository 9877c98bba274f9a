# A grant is forgotten a slot before it has ended.
s/grant\.until <= now;/grant.until <= now + slot_;/
