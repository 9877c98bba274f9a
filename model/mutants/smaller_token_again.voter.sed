# A late request of the vote's holder takes the vote back to a token before.
s/ && ask\.token > vote\.kept\.largest;/;/
