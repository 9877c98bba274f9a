# A grant is forgotten a slot before it has expired.
s/grant\.expires_at <= now;/grant.expires_at <= now + slot_;/
