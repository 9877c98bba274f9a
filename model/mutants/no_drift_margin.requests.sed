# The holder acts for the whole term by its own clock.
s/ + terms_\.term - terms_\.drift/ + terms_.term/
