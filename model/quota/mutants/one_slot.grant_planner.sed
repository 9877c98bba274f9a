# The planner checks only the first slot of a grant.
s/if (begin >= max_end) break;/if (begin > first_slot_) break;/
