# The guard is not checked.
s/^  if (!guard\.Holds(now)) return;//
