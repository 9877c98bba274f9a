# Only the first slot of a grant is looked at.
s/if (begin >= most) break;/if (begin > now) break;/
