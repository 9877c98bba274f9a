# Only the first slot of a draw is looked at.
s/if (begin >= most) break;/if (begin > now) break;/
