# A token that has been granted is granted to another.
s/ask\.token > vote\.kept\.largest/ask.token >= vote.kept.largest/
