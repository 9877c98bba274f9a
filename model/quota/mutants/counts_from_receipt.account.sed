# The lifetime of a grant counts from the time of its receipt instead of the request.
s/const Time expires_at = requested_at->second + lifetime;/const Time expires_at = now + lifetime;/
