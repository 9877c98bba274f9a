# A lease is given back while what was done under it has its effects.
s/ || now < duty\.effects_until) return;/) return;/
