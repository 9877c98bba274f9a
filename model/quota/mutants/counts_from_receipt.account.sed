# A grant's lifetime counts from its receipt.
s/const Time expires_at = requested_at->second + lifetime;/const Time expires_at = now + lifetime;/
