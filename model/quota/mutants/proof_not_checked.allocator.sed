# The allocator does not check the proof of its lease.
s/^  if (!proof\.IsValid(now)) return;//
