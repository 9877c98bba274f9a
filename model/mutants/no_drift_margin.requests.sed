# The holder does not subtract the drift bound from the lease term.
s/ + terms_\.term - terms_\.drift/ + terms_.term/
