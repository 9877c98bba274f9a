# A lease is released while actions under it have effects.
s/ || now < lease\.effects_until) return;/) return;/
