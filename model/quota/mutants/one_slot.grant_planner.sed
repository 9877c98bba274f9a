# Only the first slot of a grant is checked.
s/if (begin >= max_end) break;/if (begin > first_slot_) break;/
