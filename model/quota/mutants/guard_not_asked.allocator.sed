# The guard is not asked.
s/^  if (!guard\.Holds(now)) return;//
