# A lease is released while acts under it have effects.
s/ || now < lease\.effects_until) return;/) return;/
