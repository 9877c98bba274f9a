# A late request of the vote's holder takes the vote back to an earlier token.
s/ && is_larger;/;/
