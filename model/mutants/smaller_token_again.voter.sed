# A late request of the holder sets the vote back to an earlier token.
s/ && is_larger;/;/
