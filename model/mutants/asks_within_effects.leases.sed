# A holder whose lease runs out asks anew before, and ends its own vote so.
s/std::max(duty\.next_try, duty\.effects_until)/duty.next_try/
